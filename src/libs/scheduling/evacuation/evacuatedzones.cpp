#include "scheduling/evacuation/evacuatedzones.h"

#include <algorithm>
#include <iterator>

namespace WisteriaHill::Scheduling::Evacuation {

EvacuatedZones::Changes EvacuatedZones::update(std::set<std::string> requested, SteadyTime sentAt)
{
    Changes changes;
    std::ranges::set_difference(requested, this->zones, std::inserter(changes.begun, changes.begun.end()));
    std::ranges::set_difference(this->zones, requested, std::inserter(changes.takenBack, changes.takenBack.end()));
    this->zones = std::move(requested);
    this->readAt = sentAt;
    return changes;
}

std::optional<Duration> EvacuatedZones::age(SteadyTime now) const
{
    return this->readAt ? std::optional(std::chrono::duration_cast<Duration>(now - *this->readAt)) : std::nullopt;
}

} // namespace WisteriaHill::Scheduling::Evacuation
