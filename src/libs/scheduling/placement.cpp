#include "scheduling/placement.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace WisteriaHill::Scheduling {

namespace {

using Choice = std::vector<std::optional<std::size_t>>;

bool fits(const PlacementServer& server, const StepSpecification& step, const Resources& need)
{
    return server.free.holds(need) && (step.maximumPerServer == 0 || server.tasksOfStep < step.maximumPerServer);
}

/// Sort key of a server that fits; the lowest is chosen. Avoided servers come last and, with `prefersUnreserved`,
/// reserved ones just before them; then the fewest free accelerators, the least free memory, the fewest free cores.
auto fitRank(const PlacementServer& server, bool prefersUnreserved)
{
    return std::tuple(server.avoided, server.reserved && prefersUnreserved, server.free.accelerators,
        server.free.memoryMb, server.free.milliCores);
}

/// Places up to `count` tasks among the candidates, best fit first.
Choice placeBestFit(std::vector<PlacementServer>& servers, const std::vector<std::size_t>& candidates,
    const StepSpecification& step, int count, bool prefersUnreserved)
{
    const Resources need = countedNeed(step);
    Choice choice(static_cast<std::size_t>(count));
    for (std::optional<std::size_t>& chosen : choice) {
        for (const std::size_t index : candidates) {
            if (fits(servers[index], step, need)
                && (!chosen
                    || fitRank(servers[index], prefersUnreserved) < fitRank(servers[*chosen], prefersUnreserved)))
                chosen = index;
        }
        if (!chosen)
            break;
        servers[*chosen].free -= need;
        ++servers[*chosen].tasksOfStep;
    }
    return choice;
}

bool isComplete(const Choice& choice)
{
    return std::ranges::all_of(choice, [](const auto& chosen) { return chosen.has_value(); });
}

void undo(std::vector<PlacementServer>& servers, const StepSpecification& step, const Choice& choice)
{
    for (const std::optional<std::size_t>& chosen : choice) {
        if (!chosen)
            continue;
        servers[*chosen].free += countedNeed(step);
        --servers[*chosen].tasksOfStep;
    }
}

/// Number of tasks of the step that fit on the candidates, or with `whenEmpty` on the candidates without any runs.
std::int64_t fittingTasks(const std::vector<PlacementServer>& servers, const std::vector<std::size_t>& candidates,
    const StepSpecification& step, bool whenEmpty = false)
{
    const Resources need = countedNeed(step);
    std::int64_t fitting = 0;
    for (const std::size_t index : candidates) {
        const Resources& free = whenEmpty ? servers[index].capacity : servers[index].free;
        std::int64_t tasks = step.taskCount;
        if (need.milliCores > 0)
            tasks = std::min(tasks, free.milliCores / need.milliCores);
        if (need.memoryMb > 0)
            tasks = std::min(tasks, free.memoryMb / need.memoryMb);
        if (need.accelerators > 0)
            tasks = std::min(tasks, free.accelerators / need.accelerators);
        if (step.maximumPerServer > 0)
            tasks = std::min<std::int64_t>(tasks, step.maximumPerServer - (whenEmpty ? 0 : servers[index].tasksOfStep));
        fitting += std::max<std::int64_t>(tasks, 0);
    }
    return fitting;
}

} // namespace

Resources countedNeed(const StepSpecification& step)
{
    Resources need = step.perTask;
    if (step.fillsIdleCapacity)
        need.milliCores = 0;
    return need;
}

bool hasRequiredLabel(const std::set<std::string>& labels, const StepSpecification& step)
{
    return step.requiredLabel.empty() || labels.contains(step.requiredLabel);
}

bool isEligible(const PlacementServer& server, const StepSpecification& step)
{
    return step.requiredLabel.empty() || (server.labels && hasRequiredLabel(*server.labels, step));
}

std::vector<std::optional<std::size_t>> placeTasks(
    std::vector<PlacementServer>& servers, const std::vector<std::size_t>& candidates, const PlacementRequest& request)
{
    const StepSpecification& step = *request.step;
    const auto mayUse = [&](std::size_t index) {
        const PlacementServer& server = servers[index];
        return isEligible(server, step) && (!server.reserved || request.mayUseReserved || server.rack == step.dataRack);
    };
    const bool byRack = (step.sameRack && request.allOrNone) || (!step.dataRack.empty() && !request.anyRack);
    std::vector<std::size_t> allowed;
    std::map<std::string, std::vector<std::size_t>> allowedByRack;
    std::map<std::string, std::vector<std::size_t>> eligibleByRack;
    for (const std::size_t index : candidates) {
        if (byRack && isEligible(servers[index], step))
            eligibleByRack[servers[index].rack].push_back(index);
        if (!mayUse(index))
            continue;
        allowed.push_back(index);
        if (byRack)
            allowedByRack[servers[index].rack].push_back(index);
    }
    const auto none = [&]() { return Choice(static_cast<std::size_t>(request.taskCount)); };
    const auto place = [&](const std::vector<std::size_t>& among) {
        Choice choice = placeBestFit(servers, among, step, request.taskCount, request.prefersUnreserved);
        if (!request.allOrNone || isComplete(choice))
            return choice;
        undo(servers, step, choice);
        return none();
    };

    if (!step.dataRack.empty() && !request.anyRack)
        return place(allowedByRack[step.dataRack]);

    if (step.sameRack && request.allOrNone) {
        // The gang goes to the rack with the least free capacity that still holds all of it.
        std::multimap<std::int64_t, const std::vector<std::size_t>*> racks;
        for (const auto& [rack, members] : allowedByRack) {
            const std::int64_t fitting = fittingTasks(servers, members, step);
            if (fitting >= request.taskCount)
                racks.emplace(fitting, &members);
        }
        for (const auto& [fitting, members] : racks) {
            Choice choice = place(*members);
            if (isComplete(choice))
                return choice;
        }
        // A gang that does not fit into any empty rack would wait for one in vain.
        const bool someRackSuffices = std::ranges::any_of(eligibleByRack,
            [&](const auto& rack) { return fittingTasks(servers, rack.second, step, true) >= request.taskCount; });
        if (!request.anyRack && someRackSuffices)
            return none();
    }
    return place(allowed);
}

} // namespace WisteriaHill::Scheduling
