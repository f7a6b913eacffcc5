/// What a configuration changes against another one.
#pragma once

#include "scheduling/fleetconfiguration.h"

#include <string>
#include <vector>

namespace WisteriaHill::Scheduling::ConfigCheck {

enum class ChangeKind { Added, Removed, Changed };

struct Change {
    ChangeKind kind = ChangeKind::Changed;
    std::string entry; ///< such as "queue 'cut'"
    std::vector<std::string> members; ///< of a changed entry: "priority: 1 -> 0"

    bool operator==(const Change&) const = default;
};

/// Changes from `before` to `after`, without the version. Queues, services and accounts are found again by their names.
/// Keys are counted, not shown. Any thread.
std::vector<Change> compare(const FleetConfiguration& before, const FleetConfiguration& after);

} // namespace WisteriaHill::Scheduling::ConfigCheck
