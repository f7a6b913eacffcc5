#include "scheduling/serviceorder.h"

#include <string_view>
#include <tuple>

namespace WisteriaHill::Scheduling {

namespace {

/// Late work has about a fifth to a third of the value that it has on time: less than on-time work of the next
/// priority. A priority counts twice in the rank, so this penalty exceeds one priority.
constexpr int latePenalty = 3;
constexpr int tooLatePenalty = 100;

/// Rank by priority and outlook; lower goes first.
int rank(const PendingStep& pending)
{
    const int penalty = pending.forecast.outlook == Outlook::OnTime ? 0
        : pending.forecast.outlook == Outlook::Late                 ? latePenalty
                                                                    : tooLatePenalty;
    return 2 * pending.queue->priority + penalty;
}

/// Order among steps of the same rank; lower goes first.
SteadyTime::duration ageRank(const PendingStep& pending)
{
    const SteadyTime::duration accepted = pending.job->acceptedAt.time_since_epoch();
    const bool newestFirst = pending.urgency == Urgency::Ordinary && pending.forecast.outlook == Outlook::OnTime;
    return newestFirst ? -accepted : accepted;
}

} // namespace

bool servedBefore(const PendingStep& left, const PendingStep& right)
{
    const auto key = [](const PendingStep& pending) {
        return std::tuple(pending.urgency != Urgency::Guaranteed, rank(pending), ageRank(pending),
            std::string_view(pending.job->record.id), pending.occurrence->index, pending.step);
    };
    return key(left) < key(right);
}

} // namespace WisteriaHill::Scheduling
