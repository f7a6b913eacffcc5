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

using Estimates::SpeedClass;

/// How servers are ranked that fit.
struct Ranking {
    bool prefersUnreserved = false;
    SpeedPreference speed = SpeedPreference::None;
};

/// Place of a server's speed in a preference; lower goes first.
int speedRank(SpeedClass speedClass, SpeedPreference preference)
{
    switch (preference) {
    case SpeedPreference::None:
        return 0;
    case SpeedPreference::FastFirst:
        return speedClass == SpeedClass::Fast ? 0 : speedClass == SpeedClass::Unknown ? 1 : 2;
    case SpeedPreference::SlowFirst:
        return speedClass == SpeedClass::Slow ? 0 : speedClass == SpeedClass::Unknown ? 1 : 2;
    case SpeedPreference::UnknownFirst:
        return speedClass == SpeedClass::Unknown ? 0 : speedClass == SpeedClass::Slow ? 1 : 2;
    }
    return 0;
}

/// Sort key of a server that fits; the lowest is chosen. Avoided servers come last and, with `prefersUnreserved`,
/// reserved ones just before them; then the preferred speed, the fewest free accelerators, the least free memory, the
/// fewest free cores.
auto fitRank(const PlacementServer& server, const Ranking& ranking)
{
    return std::tuple(server.avoided, server.reserved && ranking.prefersUnreserved,
        speedRank(server.speedClass, ranking.speed), server.free.accelerators, server.free.memoryMb,
        server.free.milliCores);
}

/// Places up to `count` tasks among the candidates, best fit first.
Choice placeBestFit(std::vector<PlacementServer>& servers, const std::vector<std::size_t>& candidates,
    const StepSpecification& step, int count, const Ranking& ranking)
{
    const Resources need = countedNeed(step);
    Choice choice(static_cast<std::size_t>(count));
    for (std::optional<std::size_t>& chosen : choice) {
        for (const std::size_t index : candidates) {
            if (fits(servers[index], step, need)
                && (!chosen || fitRank(servers[index], ranking) < fitRank(servers[*chosen], ranking)))
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

std::size_t countFitting(Resources free, const StepSpecification& step, int limit)
{
    const Resources need = countedNeed(step);
    if (step.maximumPerServer > 0)
        limit = std::min(limit, step.maximumPerServer);
    int count = 0;
    for (; count < limit && free.holds(need); free -= need)
        ++count;
    return static_cast<std::size_t>(count);
}

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

namespace {

/// Places the tasks of one step among candidates that it may use.
class StepPlacement {
public:
    StepPlacement(std::vector<PlacementServer>& servers, const std::vector<std::size_t>& candidates,
        const PlacementRequest& request)
        : servers(servers)
        , request(request)
        , step(*request.step)
    {
        const bool byRack = this->needsOneRack() || (!this->step.dataRack.empty() && !request.anyRack);
        for (const std::size_t index : candidates) {
            if (byRack && isEligible(servers[index], this->step))
                this->eligibleByRack[servers[index].rack].push_back(index);
            if (!this->mayUse(servers[index]))
                continue;
            this->allowed.push_back(index);
            if (byRack)
                this->allowedByRack[servers[index].rack].push_back(index);
        }
    }

    Choice place()
    {
        if (!this->step.dataRack.empty() && !this->request.anyRack)
            return this->placeByLikeSpeed(this->allowedByRack[this->step.dataRack]);
        if (!this->needsOneRack())
            return this->placeByLikeSpeed(this->allowed);
        // The gang goes to the rack with the least free capacity that still holds all of it.
        for (const SpeedTier& tier : this->speedTiers()) {
            Choice choice = this->placeInOneRack(tier);
            if (isComplete(choice))
                return choice;
        }
        // A gang that does not fit into any empty rack would wait for one in vain.
        const bool someRackSuffices = std::ranges::any_of(this->eligibleByRack, [&](const auto& rack) {
            return fittingTasks(this->servers, rack.second, this->step, true) >= this->request.taskCount;
        });
        return !this->request.anyRack && someRackSuffices ? this->none() : this->placeByLikeSpeed(this->allowed);
    }

private:
    /// Servers that a gang may use at one try.
    struct SpeedTier {
        int lastRank = 0; ///< the highest rank of speed that is used
        SpeedPreference ranking = SpeedPreference::None;
    };

    bool needsOneRack() const { return this->step.sameRack && this->request.allOrNone; }

    bool mayUse(const PlacementServer& server) const
    {
        return isEligible(server, this->step)
            && (!server.reserved || this->request.mayUseReserved || server.rack == this->step.dataRack);
    }

    Choice none() const { return Choice(static_cast<std::size_t>(this->request.taskCount)); }

    /// What a gang tries in turn. When it cannot have fast servers only, it is slow anyway and takes slow ones first.
    std::vector<SpeedTier> speedTiers() const
    {
        constexpr int last = 2;
        const SpeedPreference speed = this->request.speed;
        if (speed == SpeedPreference::None || !this->request.allOrNone)
            return { { last, speed } };
        const SpeedPreference rest = speed == SpeedPreference::FastFirst ? SpeedPreference::SlowFirst : speed;
        return { { 0, speed }, { 1, speed }, { last, rest } };
    }

    std::vector<std::size_t> withinTier(const std::vector<std::size_t>& among, const SpeedTier& tier) const
    {
        std::vector<std::size_t> members;
        for (const std::size_t index : among) {
            if (speedRank(this->servers[index].speedClass, this->request.speed) <= tier.lastRank)
                members.push_back(index);
        }
        return members;
    }

    Choice placeAmong(const std::vector<std::size_t>& among, const SpeedTier& tier)
    {
        Choice choice = placeBestFit(this->servers, among, this->step, this->request.taskCount,
            { .prefersUnreserved = this->request.prefersUnreserved, .speed = tier.ranking });
        if (!this->request.allOrNone || isComplete(choice))
            return choice;
        undo(this->servers, this->step, choice);
        return this->none();
    }

    Choice placeByLikeSpeed(const std::vector<std::size_t>& among)
    {
        Choice choice = this->none();
        for (const SpeedTier& tier : this->speedTiers()) {
            choice = this->placeAmong(this->withinTier(among, tier), tier);
            if (isComplete(choice))
                break;
        }
        return choice;
    }

    Choice placeInOneRack(const SpeedTier& tier)
    {
        std::multimap<std::int64_t, std::vector<std::size_t>> racks;
        for (const auto& [rack, members] : this->allowedByRack) {
            std::vector<std::size_t> usable = this->withinTier(members, tier);
            const std::int64_t fitting = fittingTasks(this->servers, usable, this->step);
            if (fitting >= this->request.taskCount)
                racks.emplace(fitting, std::move(usable));
        }
        for (const auto& [fitting, members] : racks) {
            Choice choice = this->placeAmong(members, tier);
            if (isComplete(choice))
                return choice;
        }
        return this->none();
    }

    std::vector<PlacementServer>& servers;
    const PlacementRequest& request;
    const StepSpecification& step;
    std::vector<std::size_t> allowed;
    std::map<std::string, std::vector<std::size_t>> allowedByRack;
    std::map<std::string, std::vector<std::size_t>> eligibleByRack;
};

} // namespace

std::vector<std::optional<std::size_t>> placeTasks(
    std::vector<PlacementServer>& servers, const std::vector<std::size_t>& candidates, const PlacementRequest& request)
{
    return StepPlacement(servers, candidates, request).place();
}

} // namespace WisteriaHill::Scheduling
