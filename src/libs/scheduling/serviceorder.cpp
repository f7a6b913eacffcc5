#include "scheduling/serviceorder.h"

#include <string_view>
#include <tuple>

namespace WisteriaHill::Scheduling {

namespace {

/// Late work is worth about a fifth to a third of the same work on time: less than on-time work of the next priority.
constexpr int lateSetback = 3;
constexpr int tooLateSetback = 100;

/// Place by priority and outlook; lower goes first.
int standing(const WaitingUnit& unit)
{
    const int setback = unit.forecast.outlook == Outlook::OnTime ? 0
        : unit.forecast.outlook == Outlook::Late                 ? lateSetback
                                                                 : tooLateSetback;
    return 2 * unit.queue->priority + setback;
}

/// Lower goes first among units of one standing.
SteadyTime::duration agePlace(const WaitingUnit& unit)
{
    const SteadyTime::duration accepted = unit.job->acceptedAt.time_since_epoch();
    const bool newestFirst = unit.urgency == Urgency::Ordinary && unit.forecast.outlook == Outlook::OnTime;
    return newestFirst ? -accepted : accepted;
}

} // namespace

bool servedBefore(const WaitingUnit& left, const WaitingUnit& right)
{
    const auto key = [](const WaitingUnit& unit) {
        return std::tuple(unit.urgency != Urgency::Guaranteed, standing(unit), agePlace(unit),
            std::string_view(unit.job->record.id), unit.occurrence->index, unit.step);
    };
    return key(left) < key(right);
}

} // namespace WisteriaHill::Scheduling
