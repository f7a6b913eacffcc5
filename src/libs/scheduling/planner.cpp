#include "scheduling/planner.h"

#include "scheduling/advice/advicecontroller.h"

#include <algorithm>
#include <optional>

namespace WisteriaHill::Scheduling {

namespace {

/// At most this share of the servers is claimed for waiting gangs, so that smaller work goes on elsewhere.
constexpr double maximumClaimedShare = 0.4;
/// When more servers than this share are avoided, they are used last instead of not at all.
constexpr double maximumAvoidedShare = 0.3;

/// A job that has failed is preferably retried on a server on which a run succeeded within this time. Servers that fail
/// every run are always free, and would use up the attempts of a job one after the other.
constexpr Duration recentSuccessTime { 2500 };
/// A job's last attempt waits this long for a recently successful server.
constexpr Duration lastAttemptWaitLimit { 3000 };
/// A run that was placed within this time is about to start.
constexpr Duration startPeriod { 500 };
/// Limit for the searches for servers to preempt in one pass, since each examines every run of a service.
constexpr int preemptionSearchesPerPass = 8;

std::int64_t memoryPerAccelerator(const Resources& capacity)
{
    return capacity.memoryMb / std::max<std::int64_t>(capacity.accelerators, 1);
}

/// Occupied capacity in MB when the task does not fit, 0 when it does. An accelerator counts as its share of the
/// server's memory.
std::int64_t blockingOccupancyMb(const PlacementServer& server, const Resources& need)
{
    if (server.free.holds(need))
        return 0;
    return server.capacity.memoryMb - server.free.memoryMb
        + memoryPerAccelerator(server.capacity) * (server.capacity.accelerators - server.free.accelerators);
}

} // namespace

Plan Planner::plan(const Board& board, const PlanningPass::Usable& usable, SteadyTime now)
{
    Plan plan;
    PlanningPass pass(board, usable, now, this->speedOf);
    this->claimed.clear();
    this->failedDemands.clear();
    this->preemptionSearchesLeft = preemptionSearchesPerPass;
    this->expirePreemptions(board, now);
    const std::vector<PendingStep> pendingSteps = pass.pendingSteps();
    const auto avoided = std::ranges::count_if(pass.servers, &PlacementServer::avoided);
    this->excludeAvoided
        = static_cast<double>(avoided) <= maximumAvoidedShare * static_cast<double>(pass.servers.size());
    this->reserve.apply(pass, pendingSteps);
    for (const PendingStep& pending : pendingSteps) {
        if (pending.forecast.outlook != pending.state->outlook)
            plan.outlookChanges.push_back({ pending.taskName(0), pending.forecast });
        this->planStep(pass, pending, plan);
    }
    plan.idle = this->idleAccelerators(pass);
    return plan;
}

IdleAccelerators Planner::idleAccelerators(const PlanningPass& pass) const
{
    IdleAccelerators idle;
    for (const PlacementServer& server : pass.servers) {
        std::int64_t& part = this->claimed.contains(server.id) ? idle.claimed
            : server.reserved                                  ? idle.reserved
                                                               : idle.unrestricted;
        part += server.free.accelerators;
    }
    return idle;
}

void Planner::expirePreemptions(const Board& board, SteadyTime now)
{
    std::erase_if(this->preemptions, [&](const auto& entry) {
        const auto job = board.jobs.find(entry.second.jobId);
        return now > entry.second.until || job == board.jobs.end() || job->second.ended();
    });
}

std::vector<std::size_t> Planner::candidatesFor(
    const PlanningPass& pass, const PendingStep& pending, Preferences preferences) const
{
    const bool kept = preferences == Preferences::Kept;
    std::vector<std::size_t> candidates;
    candidates.reserve(pass.servers.size());
    for (std::size_t index = 0; index < pass.servers.size(); ++index) {
        const PlacementServer& server = pass.servers[index];
        if (pass.boardServers[index]->service != pending.queue->service || !isEligible(server, *pending.specification)
            || !Advice::hasTicket(*pending.queue, *pending.state, *pass.boardServers[index], pass.time()))
            continue;
        const bool isExcluded = kept ? (server.avoided && this->excludeAvoided) || this->claimed.contains(server.id)
                                     : pass.time() < pass.boardServers[index]->refusesUntil;
        if (isExcluded)
            continue;
        if (!this->isPreemptedForOthers(server.id, pending))
            candidates.push_back(index);
    }
    if (pending.job->failedOn.empty())
        return candidates;
    return kept ? candidatesAfterFailure(pass, pending, candidates) : preferNotFailed(pass, pending, candidates);
}

bool Planner::preferencesAreOver(const PlanningPass& pass, const PendingStep& pending) const
{
    const SteadyTime now = pass.time();
    if (pending.specification->longRunning)
        return now - idleSince(pending) >= this->options.lastingIdleLimit;
    return now - idleSince(pending) >= this->options.idleLimit
        && this->reserve.loadOf(pending.queue->service).mayBeMostlyIdle()
        && !pending.job->isRunning(now - listingPeriod, now - startPeriod);
}

std::vector<std::size_t> Planner::preferNotFailed(
    const PlanningPass& pass, const PendingStep& pending, const std::vector<std::size_t>& candidates)
{
    std::vector<std::size_t> others;
    for (const std::size_t index : candidates) {
        if (!pending.job->failedOn.contains(pass.servers[index].id))
            others.push_back(index);
    }
    return canHold(pass, pending, others, Room::Free) ? others : candidates;
}

bool Planner::isPreemptedForOthers(const std::string& server, const PendingStep& pending) const
{
    if (this->preemptions.empty())
        return false;
    const auto preemption = this->preemptions.find(server);
    return preemption != this->preemptions.end() && preemption->second.jobId != pending.job->record.id
        && preemption->second.urgency <= pending.urgency;
}

bool Planner::canHold(
    const PlanningPass& pass, const PendingStep& pending, const std::vector<std::size_t>& servers, Room room)
{
    const Resources need = countedNeed(*pending.specification);
    std::size_t missing = pending.specification->gang ? pending.state->tasks.size() : 1;
    for (const std::size_t index : servers) {
        Resources left = room == Room::Free ? pass.servers[index].free : pass.boardServers[index]->capacity;
        for (; missing > 0 && left.holds(need); left -= need) {
            --missing;
            if (need == Resources {})
                return true;
        }
    }
    return missing == 0;
}

bool Planner::waitsForSuccess(const PlanningPass& pass, const PendingStep& pending)
{
    // Tasks that last have no last attempt.
    if (pending.job->failedOn.empty() || pending.specification->longRunning)
        return false;
    int failures = 0;
    for (const Task& task : pending.state->tasks)
        failures = std::max(failures, task.failures);
    const bool lastAttempt = failures + 1 >= pending.queue->maximumAttempts;
    const Task& first = pending.state->tasks[static_cast<std::size_t>(pending.waitingTasks.front())];
    return lastAttempt && pass.time() - first.waitingSince < lastAttemptWaitLimit;
}

std::vector<std::size_t> Planner::candidatesAfterFailure(
    const PlanningPass& pass, const PendingStep& pending, const std::vector<std::size_t>& candidates)
{
    const Resources need = countedNeed(*pending.specification);
    std::vector<std::size_t> others;
    std::vector<std::size_t> successful;
    std::size_t withFreeCapacity = 0;
    for (const std::size_t index : candidates) {
        if (pending.job->failedOn.contains(pass.servers[index].id))
            continue;
        others.push_back(index);
        if (pass.time() - pass.boardServers[index]->lastSuccessAt > recentSuccessTime)
            continue;
        successful.push_back(index);
        withFreeCapacity += pass.servers[index].free.holds(need) ? 1 : 0;
    }
    if (withFreeCapacity >= pending.waitingTasks.size() || waitsForSuccess(pass, pending))
        return successful;
    return canHold(pass, pending, others, Room::WhenEmpty) ? others : candidates;
}

void Planner::countTasksOfStep(PlanningPass& pass, const PendingStep& pending, const Plan& plan)
{
    const auto isSameStep = [&](const TaskName& name) {
        return name.jobId == pending.job->record.id && name.occurrence == pending.occurrence->index
            && name.step == pending.step;
    };
    for (std::size_t index = 0; index < pass.servers.size(); ++index) {
        PlacementServer& server = pass.servers[index];
        server.tasksOfStep = 0;
        if (pending.specification->maximumPerServer == 0)
            continue;
        for (const auto& [name, need] : pass.boardServers[index]->occupants)
            server.tasksOfStep += isSameStep(name) ? 1 : 0;
        for (const PlannedStart& start : plan.starts)
            server.tasksOfStep += start.server == server.id && isSameStep(start.task) ? 1 : 0;
    }
}

bool Planner::mayUseReserved(const PendingStep& pending) const
{
    return pending.urgency != Urgency::Ordinary || pending.specification->savesProgress
        || this->reserve.loadOf(pending.queue->service).mostlyIdle();
}

bool Planner::hasPreemption(const PendingStep& pending) const
{
    return std::ranges::any_of(
        this->preemptions, [&](const auto& entry) { return entry.second.jobId == pending.job->record.id; });
}

Planner::Demand Planner::demandOf(const PendingStep& pending, bool anyRack) const
{
    return { .service = pending.queue->service,
        .need = countedNeed(*pending.specification),
        .count = pending.specification->gang ? static_cast<int>(pending.waitingTasks.size()) : 1,
        .inOneRack = pending.specification->gang && pending.specification->sameRack && !anyRack,
        .mayUseReserved = this->mayUseReserved(pending) };
}

bool Planner::cannotFit(const PendingStep& pending, const Demand& demand) const
{
    const auto failedBefore = [&](const Demand& failed) {
        return failed.service == demand.service && demand.need.holds(failed.need) && demand.count >= failed.count
            && (demand.inOneRack || !failed.inOneRack) && (failed.mayUseReserved || !demand.mayUseReserved)
            && failed.preferences == demand.preferences;
    };
    return std::ranges::any_of(this->failedDemands, failedBefore) && !this->hasPreemption(pending);
}

bool Planner::isUnconstrained(const PendingStep& pending)
{
    const StepSpecification& step = *pending.specification;
    return step.requiredLabel.empty() && step.dataRack.empty() && step.maximumPerServer == 0 && !pending.queue->advice
        && pending.job->failedOn.empty();
}

void Planner::planStep(PlanningPass& pass, const PendingStep& pending, Plan& plan)
{
    const Duration rackWaitLimit = pending.urgency == Urgency::Guaranteed ? this->options.guaranteedRackWaitLimit
        : this->reserve.loadOf(pending.queue->service).mostlyIdle()       ? this->options.idleRackWaitLimit
                                                                          : this->options.rackWaitLimit;
    const bool anyRack = pass.time() - pending.state->readySince > rackWaitLimit;
    const Demand demand = this->demandOf(pending, anyRack);
    PlacementOutcome outcome = PlacementOutcome::None;
    if (!this->cannotFit(pending, demand)) {
        outcome = this->tryPlace(pass, pending, anyRack, plan);
        if (outcome == PlacementOutcome::All)
            return;
        if (isUnconstrained(pending))
            this->failedDemands.push_back(demand);
    }
    if (outcome == PlacementOutcome::None && this->preferencesAreOver(pass, pending)
        && this->placeAnywhere(pass, pending, plan))
        return;
    ++plan.unplacedSteps;
    this->reportWait(pass, pending, anyRack, plan);
    if (pending.forecast.outlook != Outlook::TooLate || pending.urgency == Urgency::Guaranteed)
        this->handleUnplaced(pass, pending, anyRack, plan);
}

Planner::PlacementOutcome Planner::tryPlace(PlanningPass& pass, const PendingStep& pending, bool anyRack, Plan& plan)
{
    const StepSpecification& step = *pending.specification;
    if (step.maximumPerServer > 0)
        countTasksOfStep(pass, pending, plan);
    const std::vector<std::optional<std::size_t>> choice = placeTasks(pass.servers, this->candidatesFor(pass, pending),
        { .step = &step,
            .taskCount = static_cast<int>(pending.waitingTasks.size()),
            .allOrNone = step.gang,
            .anyRack = anyRack,
            .mayUseReserved = this->mayUseReserved(pending),
            .prefersUnreserved
            = pending.urgency == Urgency::Ordinary && this->reserve.loadOf(pending.queue->service).mostlyIdle(),
            .speed = pending.speed.preference });
    const std::size_t placed = addStarts(pass, pending, pending.waitingTasks, choice, plan);
    if (placed < choice.size())
        return placed == 0 ? PlacementOutcome::None : PlacementOutcome::Some;
    std::erase_if(this->preemptions, [&](const auto& entry) { return entry.second.jobId == pending.job->record.id; });
    return PlacementOutcome::All;
}

bool Planner::placeAnywhere(PlanningPass& pass, const PendingStep& pending, Plan& plan)
{
    const StepSpecification& step = *pending.specification;
    Demand demand = this->demandOf(pending, true);
    demand.mayUseReserved = true;
    demand.preferences = Preferences::Dropped;
    if (this->cannotFit(pending, demand))
        return false;
    if (step.maximumPerServer > 0)
        countTasksOfStep(pass, pending, plan);
    const std::vector<std::optional<std::size_t>> choice
        = placeTasks(pass.servers, this->candidatesFor(pass, pending, Preferences::Dropped),
            { .step = &step,
                .taskCount = step.gang ? static_cast<int>(pending.waitingTasks.size()) : 1,
                .allOrNone = step.gang,
                .anyRack = true,
                .prefersUnreserved = true,
                .speed = pending.speed.preference });
    const std::vector<int> tasks = step.gang ? pending.waitingTasks : std::vector { longestIdleTask(pending) };
    if (addStarts(pass, pending, tasks, choice, plan) > 0)
        return true;
    if (isUnconstrained(pending))
        this->failedDemands.push_back(demand);
    return false;
}

std::size_t Planner::addStarts(const PlanningPass& pass, const PendingStep& pending, const std::vector<int>& tasks,
    const std::vector<std::optional<std::size_t>>& choice, Plan& plan)
{
    std::size_t placed = 0;
    for (std::size_t index = 0; index < choice.size(); ++index) {
        if (!choice[index])
            continue;
        ++placed;
        const PlacementServer& server = pass.servers[*choice[index]];
        plan.starts.push_back({ pending.taskName(tasks[index]), server.id, pending.speed, server.speedClass });
    }
    return placed;
}

void Planner::handleUnplaced(PlanningPass& pass, const PendingStep& pending, bool anyRack, Plan& plan)
{
    const bool withinPreemptionDelay = pass.time() - pending.state->readySince < this->options.preemptionDelay;
    if (pending.urgency != Urgency::Ordinary && !withinPreemptionDelay && this->preemptionSearchesLeft > 0) {
        --this->preemptionSearchesLeft;
        const bool preempted = this->preemptFor(pass, pending, pending.specification->sameRack && !anyRack, plan);
        if (!preempted && pending.urgency == Urgency::Guaranteed)
            this->preemptFor(pass, pending, false, plan);
    }
    if (pending.specification->gang)
        this->claimServers(pass, pending);
}

void Planner::claimServers(const PlanningPass& pass, const PendingStep& pending)
{
    const std::size_t wanted = pending.waitingTasks.size();
    const auto limit = static_cast<std::size_t>(maximumClaimedShare * static_cast<double>(pass.servers.size()));
    // The first gang in scheduling order always gets its servers, however many it needs.
    if (!this->claimed.empty() && this->claimed.size() + wanted > limit)
        return;
    const Resources need = countedNeed(*pending.specification);
    // Servers by rack for gangs of one rack, else all under one key.
    std::map<std::string, std::vector<std::pair<std::int64_t, std::size_t>>> racks;
    for (const std::size_t index : this->candidatesFor(pass, pending)) {
        const PlacementServer& server = pass.servers[index];
        if (server.capacity.holds(need) && (!server.reserved || this->mayUseReserved(pending)))
            racks[pending.specification->sameRack ? server.rack : std::string()].emplace_back(
                blockingOccupancyMb(server, need), index);
    }
    const std::vector<std::pair<std::int64_t, std::size_t>>* best = nullptr;
    std::int64_t bestOccupied = 0;
    for (auto& [rack, servers] : racks) {
        if (servers.size() < wanted)
            continue;
        std::ranges::sort(servers);
        std::int64_t occupied = 0;
        for (std::size_t index = 0; index < wanted; ++index)
            occupied += servers[index].first;
        if (best && occupied >= bestOccupied)
            continue;
        best = &servers;
        bestOccupied = occupied;
    }
    for (std::size_t index = 0; best && index < wanted; ++index)
        this->claimed.insert(pass.servers[(*best)[index].second].id);
}

} // namespace WisteriaHill::Scheduling
