#include "model/guaranteelayout.h"

#include <algorithm>

namespace WisteriaHill::Model {

namespace {

using FreeAccelerators = std::vector<AcceleratorSet>;

std::uint32_t largestRack(const AvailabilityZone& zone)
{
    std::map<RackId, std::uint32_t> sizes;
    std::uint32_t largest = 0;
    for (const BackendServer& server : zone.servers)
        largest = std::max(largest, ++sizes[server.rack]);
    return largest;
}

std::optional<Placement> placeInWindow(
    const AvailabilityZone& zone, const GangShape& shape, const FreeAccelerators& free, std::size_t first)
{
    Placement placement;
    for (std::size_t index = first; index < first + shape.servers; ++index) {
        const std::optional<AcceleratorSet> block = alignedBlock(free[index], shape.acceleratorsPerServer);
        if (!block)
            return std::nullopt;
        placement.push_back({ zone.servers[index].id, *block });
    }
    return placement;
}

std::uint32_t leftOverAccelerators(const GangShape& shape, const FreeAccelerators& free, std::size_t first)
{
    std::uint32_t leftOver = 0;
    for (std::size_t index = first; index < first + shape.servers; ++index)
        leftOver += acceleratorCount(free[index]) - shape.acceleratorsPerServer;
    return leftOver;
}

std::optional<Placement> tightestPlacement(
    const AvailabilityZone& zone, const GangShape& shape, const FreeAccelerators& free)
{
    std::optional<Placement> best;
    std::uint32_t bestLeftOver = 0;
    for (const std::size_t first : adjacentWindows(zone, shape.servers)) {
        std::optional<Placement> placement = placeInWindow(zone, shape, free, first);
        if (!placement)
            continue;
        const std::uint32_t leftOver = leftOverAccelerators(shape, free, first);
        if (best && leftOver >= bestLeftOver)
            continue;
        best = std::move(placement);
        bestLeftOver = leftOver;
    }
    return best;
}

void allocate(const AvailabilityZone& zone, const Placement& placement, FreeAccelerators& free)
{
    std::size_t index = 0;
    for (const PlacementMember& member : placement) {
        while (zone.servers[index].id != member.server)
            ++index;
        free[index] &= ~member.accelerators;
    }
}

std::vector<const Guarantee*> largestFirst(const Configuration& configuration, const AvailabilityZoneId& zone)
{
    std::vector<const Guarantee*> ordered;
    for (const auto& [id, guarantee] : configuration.guarantees) {
        if (guarantee.zone == zone)
            ordered.push_back(&guarantee);
    }
    std::ranges::stable_sort(ordered, [](const Guarantee* left, const Guarantee* right) {
        return left->shape.accelerators() > right->shape.accelerators();
    });
    return ordered;
}

bool usesAnyOf(const Placement& placement, const std::set<BackendServerId>& unavailable)
{
    return std::ranges::any_of(
        placement, [&](const PlacementMember& member) { return unavailable.contains(member.server); });
}

/// The homes while every server is available. All daemons with the same configuration compute the same ones.
std::map<GuaranteeId, Placement> defaultHomes(
    const AvailabilityZone& zone, const std::vector<const Guarantee*>& guarantees, FreeAccelerators& free)
{
    std::map<GuaranteeId, Placement> homes;
    for (const Guarantee* guarantee : guarantees) {
        std::optional<Placement> home = tightestPlacement(zone, guarantee->shape, free);
        if (!home)
            continue;
        allocate(zone, *home, free);
        homes.emplace(guarantee->id, std::move(*home));
    }
    return homes;
}

std::optional<LayoutFault> checkWithUnavailable(
    const Configuration& configuration, const AvailabilityZoneId& zone, const std::set<BackendServerId>& unavailable)
{
    const GuaranteeLayout layout = layoutGuarantees(configuration, zone, unavailable);
    if (layout.uncovered.empty())
        return std::nullopt;
    std::string reason = "does not fit in zone " + zone.value() + " beside the other guarantees";
    for (const BackendServerId& server : unavailable)
        reason += (server == *unavailable.begin() ? " when these servers are unavailable: " : ", ") + server.value();
    return LayoutFault { layout.uncovered.front(), reason };
}

} // namespace

std::vector<std::size_t> adjacentWindows(const AvailabilityZone& zone, std::uint32_t servers)
{
    std::vector<std::size_t> windows;
    const bool mayCrossRacks = servers > largestRack(zone);
    for (std::size_t first = 0; first + servers <= zone.servers.size(); ++first) {
        bool adjacent = true;
        for (std::size_t index = first + 1; adjacent && index < first + servers; ++index) {
            const BackendServer& left = zone.servers[index - 1];
            const BackendServer& right = zone.servers[index];
            adjacent = left.rack == right.rack ? left.position + 1 == right.position : mayCrossRacks;
        }
        if (adjacent)
            windows.push_back(first);
    }
    return windows;
}

GuaranteeLayout layoutGuarantees(
    const Configuration& configuration, const AvailabilityZoneId& zoneId, const std::set<BackendServerId>& unavailable)
{
    const AvailabilityZone& zone = *configuration.zone(zoneId);
    const std::vector<const Guarantee*> guarantees = largestFirst(configuration, zoneId);

    FreeAccelerators free;
    for (const BackendServer& server : zone.servers)
        free.push_back(allAccelerators(server.accelerators));

    GuaranteeLayout layout;
    layout.homes = defaultHomes(zone, guarantees, free);
    std::erase_if(layout.homes, [&](const auto& home) { return usesAnyOf(home.second, unavailable); });
    for (std::size_t index = 0; index < zone.servers.size(); ++index) {
        if (unavailable.contains(zone.servers[index].id))
            free[index] = 0;
    }
    for (const Guarantee* guarantee : guarantees) {
        if (layout.homes.contains(guarantee->id))
            continue;
        std::optional<Placement> home = tightestPlacement(zone, guarantee->shape, free);
        if (!home) {
            layout.uncovered.push_back(guarantee->id);
            continue;
        }
        allocate(zone, *home, free);
        layout.homes.emplace(guarantee->id, std::move(*home));
    }
    for (const auto& [id, home] : layout.homes) {
        for (const PlacementMember& member : home)
            layout.reserved[member.server] |= member.accelerators;
    }
    return layout;
}

std::optional<LayoutFault> checkLayout(const Configuration& configuration, const AvailabilityZoneId& zoneId)
{
    const AvailabilityZone& zone = *configuration.zone(zoneId);
    if (std::optional<LayoutFault> fault = checkWithUnavailable(configuration, zoneId, {}))
        return fault;
    if (zone.spareServers == 0)
        return std::nullopt;
    for (std::size_t first = 0; first < zone.servers.size(); ++first) {
        const std::size_t last = zone.spareServers == 1 ? first + 1 : zone.servers.size();
        for (std::size_t second = first; second < last; ++second) {
            const std::set<BackendServerId> unavailable { zone.servers[first].id, zone.servers[second].id };
            if (std::optional<LayoutFault> fault = checkWithUnavailable(configuration, zoneId, unavailable))
                return fault;
        }
    }
    return std::nullopt;
}

} // namespace WisteriaHill::Model
