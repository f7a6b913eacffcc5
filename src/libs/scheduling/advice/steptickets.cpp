#include "scheduling/advice/steptickets.h"

namespace WisteriaHill::Scheduling::Advice {

TicketState StepTickets::stateOf(const std::string& server, std::int64_t life, SteadyTime now) const
{
    if (const auto refused = this->denied.find(server); refused != this->denied.end() && refused->second == life)
        return TicketState::Denied;
    if (const auto rejection = this->rejections.find(server);
        rejection != this->rejections.end() && rejection->second.life == life && now < rejection->second.askAgainAt)
        return TicketState::Rejected;
    const auto ticket = this->tickets.find(server);
    if (ticket == this->tickets.end() || ticket->second.life != life)
        return TicketState::NotAsked;
    return now < ticket->second.usableUntil ? TicketState::Usable : TicketState::Expired;
}

std::string StepTickets::textFor(const std::string& server, std::int64_t life, SteadyTime now) const
{
    const auto ticket = this->tickets.find(server);
    const bool isValid = ticket != this->tickets.end() && ticket->second.life == life && now < ticket->second.end;
    return isValid ? ticket->second.text : std::string();
}

} // namespace WisteriaHill::Scheduling::Advice
