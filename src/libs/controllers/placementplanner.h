/// Where a gang goes: adjacent servers, aligned blocks of accelerators, large free sets left whole.
#pragma once

#include "model/blackboard.h"
#include "model/guaranteelayout.h"
#include "utils/result.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Controllers {

/// One backend server as the planner sees it.
struct PlannerServer {
    bool usable = true;
    Model::AcceleratorSet free = 0;
    Model::AcceleratorSet preemptible = 0; ///< held, but may be evicted by urgent and long-waiting work
    Model::AcceleratorSet home = 0; ///< in the home of some guarantee
};

/// A zone as the planner sees it; one planner server per server of the zone, in the same order.
struct PlannerZone {
    const Model::AvailabilityZone& zone;
    std::vector<PlannerServer> servers;
    double completionWeight = 1;
    double fragmentationWeight = 1;
};

/// What a gang needs.
struct PlacementRequest {
    Model::GangShape shape;
    const Model::Placement* home = nullptr; ///< of the guarantee it runs under; null for none
    std::map<Model::BackendServerId, Model::AcceleratorSet> heldBySiblings; ///< in the home, by the same guarantee
    bool mayEvict = false; ///< preemptible work outside its home
    std::set<Model::BackendServerId> avoid;
    std::map<Model::BackendServerId, Model::AcceleratorSet> blocked;
};

struct PlacementPlan {
    Model::Placement members;
    bool evicts = false; ///< some of the accelerators are held by others
    bool atHome = false;
    bool borrows = false; ///< some of them belong to the home of another guarantee
};

struct PlacementRefusal {
    std::string reason;
};

using PlacementResult = Utils::Result<PlacementPlan, PlacementRefusal>;

/// Plans one gang. Pure; any thread. Precondition: zone and servers match.
PlacementResult planPlacement(const PlannerZone& zone, const PlacementRequest& request);

/// The planner's view of this daemon's zone. Precondition: the zone is configured.
PlannerZone makePlannerZone(const Model::Blackboard& blackboard);

/// Why a gang of this shape could never run in the zone, or an empty string.
std::string infeasibilityReason(const Model::AvailabilityZone& zone, const Model::GangShape& shape);

} // namespace WisteriaHill::Controllers
