#include "controllers/placementplanner.h"

#include <algorithm>
#include <optional>

namespace WisteriaHill::Controllers {

namespace {

using Model::AcceleratorSet;
using Model::BackendServerId;

constexpr double borrowCost = 0.5; ///< per accelerator of a home, because the guarantee may reclaim it
constexpr double evictionCost = 4; ///< per accelerator whose work is evicted
constexpr double leftOverCost = 0.01; ///< per accelerator that stays free on the servers used

/// The accelerators that the planner may use; it searches the tiers in this order.
enum class Tier {
    FreeOutsideHomes,
    Free,
    EvictOutsideHomes,
    EvictAnywhere,
};

AcceleratorSet blockedOn(const PlacementRequest& request, const BackendServerId& server)
{
    const auto found = request.blocked.find(server);
    return found == request.blocked.end() ? 0 : found->second;
}

AcceleratorSet offered(const PlannerServer& server, Tier tier)
{
    switch (tier) {
    case Tier::FreeOutsideHomes:
        return server.free & ~server.home;
    case Tier::Free:
        return server.free;
    case Tier::EvictOutsideHomes:
        return (server.free | server.preemptible) & ~server.home;
    case Tier::EvictAnywhere:
        return server.free | server.preemptible;
    }
    return 0;
}

struct Candidate {
    PlacementPlan plan;
    double cost = 0;
};

double memberCost(const PlannerZone& zone, const PlannerServer& server, AcceleratorSet taken)
{
    const double lost = static_cast<double>(Model::largestAlignedBlock(server.free))
        - Model::largestAlignedBlock(server.free & ~taken);
    const std::uint32_t borrowed = Model::acceleratorCount(taken & server.home);
    const std::uint32_t evicted = Model::acceleratorCount(taken & ~server.free);
    const std::uint32_t leftOver = Model::acceleratorCount(server.free & ~taken);
    return zone.fragmentationWeight * lost + zone.completionWeight * (borrowCost * borrowed + evictionCost * evicted)
        + leftOverCost * leftOver;
}

std::optional<Candidate> candidateAt(
    const PlannerZone& zone, const PlacementRequest& request, std::size_t first, Tier tier)
{
    Candidate candidate;
    for (std::size_t index = first; index < first + request.shape.servers; ++index) {
        const PlannerServer& server = zone.servers[index];
        const BackendServerId& id = zone.zone.servers[index].id;
        if (!server.usable || request.avoid.contains(id))
            return std::nullopt;
        const AcceleratorSet available = offered(server, tier) & ~blockedOn(request, id);
        const std::optional<AcceleratorSet> block = Model::alignedBlock(available, request.shape.acceleratorsPerServer);
        if (!block)
            return std::nullopt;
        candidate.plan.members.push_back({ id, *block });
        candidate.plan.evicts |= (*block & ~server.free) != 0;
        candidate.plan.borrows |= (*block & server.home) != 0;
        candidate.cost += memberCost(zone, server, *block);
    }
    return candidate;
}

std::optional<PlacementPlan> bestInTier(
    const PlannerZone& zone, const PlacementRequest& request, const std::vector<std::size_t>& windows, Tier tier)
{
    std::optional<Candidate> best;
    for (const std::size_t first : windows) {
        std::optional<Candidate> candidate = candidateAt(zone, request, first, tier);
        if (candidate && (!best || candidate->cost < best->cost))
            best = std::move(candidate);
    }
    if (!best)
        return std::nullopt;
    return std::move(best->plan);
}

/// Places the gang on consecutive members of its home, from the member `first` on, inside the home's accelerators.
std::optional<PlacementPlan> planAtHomeFrom(
    const PlannerZone& zone, const PlacementRequest& request, std::size_t first, bool freeOnly)
{
    PlacementPlan plan { .atHome = true };
    for (std::size_t index = first; index < first + request.shape.servers; ++index) {
        const Model::PlacementMember& home = (*request.home)[index];
        const auto position = std::ranges::find(zone.zone.servers, home.server, &Model::BackendServer::id);
        const PlannerServer& server
            = zone.servers[static_cast<std::size_t>(std::distance(zone.zone.servers.begin(), position))];
        const auto siblings = request.heldBySiblings.find(home.server);
        const AcceleratorSet held = siblings == request.heldBySiblings.end() ? 0 : siblings->second;
        AcceleratorSet available = home.accelerators & ~held & ~blockedOn(request, home.server);
        if (freeOnly)
            available &= server.free;
        const std::optional<AcceleratorSet> block = Model::alignedBlock(available, request.shape.acceleratorsPerServer);
        if (!server.usable || !block || request.avoid.contains(home.server))
            return std::nullopt;
        plan.members.push_back({ home.server, *block });
        plan.evicts |= (*block & ~server.free) != 0;
    }
    return plan;
}

std::optional<PlacementPlan> planAtHome(const PlannerZone& zone, const PlacementRequest& request)
{
    for (const bool freeOnly : { true, false }) {
        for (std::size_t first = 0; first + request.shape.servers <= request.home->size(); ++first) {
            if (std::optional<PlacementPlan> plan = planAtHomeFrom(zone, request, first, freeOnly))
                return plan;
        }
    }
    return std::nullopt;
}

} // namespace

PlacementResult planPlacement(const PlannerZone& zone, const PlacementRequest& request)
{
    if (request.home) {
        if (std::optional<PlacementPlan> plan = planAtHome(zone, request))
            return *std::move(plan);
    }
    std::vector<Tier> tiers { Tier::FreeOutsideHomes, Tier::Free };
    if (request.mayEvict) {
        tiers.push_back(Tier::EvictOutsideHomes);
        tiers.push_back(Tier::EvictAnywhere);
    }
    const std::vector<std::size_t> windows = adjacentWindows(zone.zone, request.shape.servers);
    for (const Tier tier : tiers) {
        if (std::optional<PlacementPlan> plan = bestInTier(zone, request, windows, tier))
            return *std::move(plan);
    }
    return PlacementRefusal { "no " + std::to_string(request.shape.servers) + " adjacent servers have "
        + std::to_string(request.shape.acceleratorsPerServer) + " aligned accelerators "
        + (request.mayEvict ? "free or preemptible" : "free") };
}

PlannerZone makePlannerZone(const Model::Blackboard& blackboard)
{
    const Model::AvailabilityZone& zone = *blackboard.ownZone();
    PlannerZone view { .zone = zone,
        .completionWeight = blackboard.configuration->policy.completionWeight,
        .fragmentationWeight = blackboard.configuration->policy.fragmentationWeight };
    for (const Model::BackendServer& server : zone.servers) {
        const auto known = blackboard.servers.find(server.id);
        const auto home = blackboard.layout.reserved.find(server.id);
        PlannerServer entry { .usable = false };
        if (known != blackboard.servers.end()) {
            entry.usable = known->second.acceptsWork() && !known->second.ejected && known->second.incarnation != 0;
            entry.free = known->second.free;
            entry.preemptible = known->second.preemptible;
        }
        entry.home = home == blackboard.layout.reserved.end() ? 0 : home->second;
        view.servers.push_back(entry);
    }
    return view;
}

std::string infeasibilityReason(const Model::AvailabilityZone& zone, const Model::GangShape& shape)
{
    const std::vector<std::size_t> windows = adjacentWindows(zone, shape.servers);
    if (windows.empty())
        return "the zone has no " + std::to_string(shape.servers) + " adjacent backend servers";
    const bool fits = std::ranges::any_of(windows, [&](std::size_t first) {
        return std::all_of(zone.servers.begin() + static_cast<std::ptrdiff_t>(first),
            zone.servers.begin() + static_cast<std::ptrdiff_t>(first + shape.servers),
            [&](const Model::BackendServer& server) { return server.accelerators >= shape.acceleratorsPerServer; });
    });
    return fits ? std::string()
                : "no adjacent backend servers of the zone have " + std::to_string(shape.acceleratorsPerServer)
            + " accelerators each";
}

} // namespace WisteriaHill::Controllers
