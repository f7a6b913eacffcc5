#include "scheduling/advice/validityevidence.h"

namespace WisteriaHill::Scheduling::Advice {

namespace {

constexpr Duration proofLifetime { 60'000 };

} // namespace

bool ValidityEvidence::learn(const Ticket& ticket, bool accepted, SteadyTime sentAt, SteadyTime now)
{
    if (ticket.validity.count() <= 0 || sentAt <= ticket.calledAt + ticket.validity
        || (!accepted && now >= ticket.answeredAt + ticket.validity))
        return false;
    this->start = accepted ? ValidityStart::Answer : ValidityStart::Call;
    this->learnedAt = now;
    return true;
}

std::optional<ValidityStart> ValidityEvidence::proven(SteadyTime now) const
{
    return this->start && now - this->learnedAt < proofLifetime ? this->start : std::nullopt;
}

} // namespace WisteriaHill::Scheduling::Advice
