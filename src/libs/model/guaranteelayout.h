/// The homes of the guarantees: the accelerators that are reserved for each of them. They depend only on the
/// configuration and on the set of unavailable servers.
#pragma once

#include "model/acceleratorset.h"
#include "model/configuration.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace WisteriaHill::Model {

/// The accelerators of one backend server that belong to a placement of a gang or to the home of a guarantee.
struct PlacementMember {
    BackendServerId server;
    AcceleratorSet accelerators = 0;

    bool operator==(const PlacementMember&) const = default;
};

/// Members in the order of the zone's servers, which is by rack and position.
using Placement = std::vector<PlacementMember>;

/// The homes of all guarantees of one availability zone.
struct GuaranteeLayout {
    std::map<GuaranteeId, Placement> homes;
    std::vector<GuaranteeId> uncovered; ///< guarantees that have no home because too few servers are available
    std::map<BackendServerId, AcceleratorSet> reserved; ///< the accelerators of all homes, by server
};

/// Why the guarantees of a configuration cannot all be covered at once.
struct LayoutFault {
    GuaranteeId guarantee;
    std::string reason;
};

/// Chooses a home for every guarantee of the zone. A home moves only when one of its servers is unavailable, so that
/// daemons that disagree about a few servers still agree on all other homes. May be called from any thread.
/// Precondition: the configuration has the zone.
GuaranteeLayout layoutGuarantees(
    const Configuration& configuration, const AvailabilityZoneId& zone, const std::set<BackendServerId>& unavailable);

/// Checks that all guarantees of the zone fit at once, whichever `spareServers` of its servers are unavailable.
/// Returns the first fault. Precondition: the configuration has the zone.
std::optional<LayoutFault> checkLayout(const Configuration& configuration, const AvailabilityZoneId& zone);

/// Returns the first index of every range [first, first + servers) of adjacent servers in the zone. A range stays
/// within one rack unless it is longer than the largest rack.
std::vector<std::size_t> adjacentWindows(const AvailabilityZone& zone, std::uint32_t servers);

} // namespace WisteriaHill::Model
