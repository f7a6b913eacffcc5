/// Homes of the guaranteed shapes: a pure function of the document and of the servers that are away.
#pragma once

#include "model/acceleratorset.h"
#include "model/configuration.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace WisteriaHill::Model {

/// Accelerators of one backend server that a gang or a home takes.
struct PlacementMember {
    BackendServerId server;
    AcceleratorSet accelerators = 0;

    bool operator==(const PlacementMember&) const = default;
};

/// Members in the canonical order of servers: zone order, which is by rack and position.
using Placement = std::vector<PlacementMember>;

/// The homes of one zone.
struct GuaranteeLayout {
    std::map<GuaranteeId, Placement> homes;
    std::vector<GuaranteeId> uncovered; ///< guarantees for which too few servers are left
    std::map<BackendServerId, AcceleratorSet> reserved; ///< union of the homes, by server
};

/// Why a document's guarantees can't all be kept.
struct LayoutFault {
    GuaranteeId guarantee;
    std::string reason;
};

/// Lays out every guarantee of the zone. A home moves only when one of its servers is away, so that daemons with
/// slightly different views agree on all other homes. Pure; any thread. Precondition: the zone exists.
GuaranteeLayout layoutGuarantees(
    const Configuration& configuration, const AvailabilityZoneId& zone, const std::set<BackendServerId>& unavailable);

/// Checks that all guarantees of the zone fit at once, whichever `spareServers` of its servers are away.
std::optional<LayoutFault> checkLayout(const Configuration& configuration, const AvailabilityZoneId& zone);

/// The sets of adjacent servers that can hold a gang of this shape, as index ranges [first, first + servers) into the
/// zone's servers. Ranges stay in one rack unless the shape is larger than any rack.
std::vector<std::size_t> adjacentWindows(const AvailabilityZone& zone, std::uint32_t servers);

} // namespace WisteriaHill::Model
