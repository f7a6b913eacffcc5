/// Places gangs on adjacent servers and aligned blocks of accelerators, and keeps large free blocks unfragmented.
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
    Model::AcceleratorSet preemptible = 0; ///< held by work that urgent and long-waiting gangs may evict
    Model::AcceleratorSet home = 0; ///< accelerators that belong to the home of any guarantee
};

/// A zone as the planner sees it. `servers` has one entry per server of the zone, in the same order.
struct PlannerZone {
    const Model::AvailabilityZone& zone;
    std::vector<PlannerServer> servers;
    double completionWeight = 1;
    double fragmentationWeight = 1;
};

/// The requirements of one gang.
struct PlacementRequest {
    Model::GangShape shape;
    const Model::Placement* home = nullptr; ///< the home of the gang's guarantee; null without a guarantee
    std::map<Model::BackendServerId, Model::AcceleratorSet> heldBySiblings; ///< held by other jobs of the guarantee
    bool mayEvict = false; ///< the gang may evict preemptible work outside its home
    std::set<Model::BackendServerId> avoid; ///< servers on which a task of the job failed
    std::map<Model::BackendServerId, Model::AcceleratorSet> blocked; ///< held by work that may not be evicted
};

struct PlacementPlan {
    Model::Placement members;
    bool evicts = false; ///< other work holds some of the accelerators and has to be evicted
    bool atHome = false; ///< all members are in the home of the gang's guarantee
    bool borrows = false; ///< the plan is not at home and uses accelerators of a guarantee's home
};

struct PlacementRefusal {
    std::string reason;
};

using PlacementResult = Utils::Result<PlacementPlan, PlacementRefusal>;

/// Plans one gang. Pure; callable from any thread. Precondition: zone.servers matches zone.zone.servers.
PlacementResult planPlacement(const PlannerZone& zone, const PlacementRequest& request);

/// The planner's view of this daemon's zone. Precondition: the configuration contains the zone.
PlannerZone makePlannerZone(const Model::Blackboard& blackboard);

/// Why no gang of this shape can ever run in the zone. Empty when one can.
std::string infeasibilityReason(const Model::AvailabilityZone& zone, const Model::GangShape& shape);

} // namespace WisteriaHill::Controllers
