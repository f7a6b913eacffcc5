#include "scheduling/planner.h"

#include <algorithm>
#include <tuple>

namespace WisteriaHill::Scheduling {

namespace {

/// A server that is being cleared stays reserved this long; stops take well under a second.
constexpr Duration clearingTime { 2000 };

std::int64_t acceleratorsOfFirstSteps(const Job& job)
{
    std::int64_t accelerators = 0;
    for (const StepSpecification& step : job.record.specification.steps)
        accelerators = std::max(accelerators, step.perTask.accelerators * step.taskCount);
    return accelerators;
}

/// Work that is lost when the run stops now, in core milliseconds; an accelerator counts as 8 cores.
double lossOf(const StepSpecification& step, const Run& run, SteadyTime now)
{
    constexpr double coresPerAccelerator = 8;
    constexpr double milliCoresPerCore = 1000;
    constexpr double savedShare = 0.25; // work since the last checkpoint
    const double cores = static_cast<double>(step.perTask.milliCores) / milliCoresPerCore
        + coresPerAccelerator * static_cast<double>(step.perTask.accelerators);
    const double age = std::chrono::duration<double, std::milli>(now - run.phaseSince).count();
    return cores * age * (step.savesProgress ? savedShare : 1);
}

} // namespace

struct Planner::Unit {
    const Job* job = nullptr;
    const Occurrence* occurrence = nullptr;
    int step = 0;
    const StepSpecification* specification = nullptr;
    const Queue* queue = nullptr;
    Urgency urgency = Urgency::Ordinary;
    std::vector<int> waiting;
    SteadyTime readySince {};

    auto rank() const
    {
        return std::tuple(this->urgency, this->queue->priority, this->readySince, this->job->record.id, this->step);
    }
};

std::set<std::string> guaranteedJobs(const Board& board)
{
    std::vector<const Job*> urgent;
    for (const auto& [id, job] : board.jobs) {
        const Queue* queue = job.ended() ? nullptr : board.configuration->queueOf(job.record);
        if (queue && queue->priority == 0)
            urgent.push_back(&job);
    }
    std::ranges::sort(urgent, {}, [](const Job* job) { return std::tuple(job->acceptedAt, job->record.id); });
    std::map<std::string, std::int64_t> used;
    std::set<std::string> guaranteed;
    for (const Job* job : urgent) {
        const ClientAccount* account = board.configuration->findAccount(job->record.account);
        if (!account)
            continue;
        std::int64_t& accelerators = used[account->name];
        accelerators += acceleratorsOfFirstSteps(*job);
        if (accelerators <= account->guaranteedAccelerators)
            guaranteed.insert(job->record.id);
    }
    return guaranteed;
}

std::vector<Planner::Unit> Planner::waitingUnits(const Board& board)
{
    const std::set<std::string> guaranteed = guaranteedJobs(board);
    std::vector<Unit> units;
    for (const auto& [id, job] : board.jobs) {
        if (job.ended())
            continue;
        const Queue* queue = board.configuration->queueOf(job.record);
        if (!queue)
            continue; // the queue was removed: nothing may start
        for (const auto& [index, occurrence] : job.occurrences) {
            for (std::size_t number = 0; number < occurrence.steps.size(); ++number) {
                const Step& step = occurrence.steps[number];
                const int total = static_cast<int>(step.tasks.size());
                const StepSpecification& specification = job.record.specification.steps[number];
                if (!step.ready || step.done + step.running >= total || (specification.gang && step.running > 0))
                    continue;
                Unit unit { .job = &job,
                    .occurrence = &occurrence,
                    .step = static_cast<int>(number),
                    .specification = &specification,
                    .queue = queue,
                    .urgency = queue->priority > 0 ? Urgency::Ordinary
                        : guaranteed.contains(id)  ? Urgency::Guaranteed
                                                   : Urgency::Urgent,
                    .readySince = step.readySince };
                for (int task = 0; task < total; ++task) {
                    if (step.tasks[static_cast<std::size_t>(task)].phase == TaskPhase::Waiting)
                        unit.waiting.push_back(task);
                }
                units.push_back(std::move(unit));
            }
        }
    }
    std::ranges::sort(units, {}, &Unit::rank);
    return units;
}

std::vector<PlacementServer> Planner::serversFor(const Board& board,
    const std::function<bool(const BackendServer&)>& usable, const Unit& unit, const Plan& plan, SteadyTime now) const
{
    std::vector<PlacementServer> servers;
    for (const auto& [id, server] : board.servers) {
        if (server.service != unit.queue->service || !usable(server))
            continue;
        const auto cleared = this->clearing.find(id);
        if (cleared != this->clearing.end() && cleared->second.jobId != unit.job->record.id
            && unit.urgency != Urgency::Guaranteed)
            continue;
        PlacementServer& candidate = servers.emplace_back(PlacementServer { .id = id,
            .rack = server.rack,
            .labels = &server.labels,
            .free = server.freeCapacity(),
            .lastChoice = now < server.avoidUntil });
        const auto taken = this->planned.find(id);
        if (taken != this->planned.end())
            candidate.free -= taken->second;
        if (unit.specification->maximumPerServer == 0)
            continue;
        const auto sameStep = [&](const TaskName& name) {
            return name.jobId == unit.job->record.id && name.occurrence == unit.occurrence->index
                && name.step == unit.step;
        };
        candidate.tasksOfStep = static_cast<int>(std::ranges::count_if(server.occupants, [&](const auto& occupant) {
            return sameStep(occupant.first);
        }) + std::ranges::count_if(plan.starts, [&](const PlannedStart& start) {
            return start.server == id && sameStep(start.task);
        }));
    }
    return servers;
}

void Planner::placeUnit(const Board& board, const std::function<bool(const BackendServer&)>& usable, const Unit& unit,
    Plan& plan, SteadyTime now)
{
    std::vector<PlacementServer> servers = this->serversFor(board, usable, unit, plan, now);
    const bool impatient = now - unit.readySince > this->options.rackPatience;
    const PlacementRequest request { .step = unit.specification,
        .taskCount = static_cast<int>(unit.waiting.size()),
        .allOrNone = unit.specification->gang,
        .anyRack = impatient };
    const std::vector<std::optional<std::size_t>> choice = placeTasks(servers, request);
    bool complete = true;
    for (std::size_t index = 0; index < choice.size(); ++index) {
        if (!choice[index]) {
            complete = false;
            continue;
        }
        const std::string& server = servers[*choice[index]].id;
        plan.starts.push_back(
            { { unit.job->record.id, unit.occurrence->index, unit.step, unit.waiting[index] }, server });
        this->planned[server] += countedNeed(*unit.specification);
    }
    if (complete)
        std::erase_if(this->clearing, [&](const auto& entry) { return entry.second.jobId == unit.job->record.id; });
    else if (unit.urgency != Urgency::Ordinary)
        this->makeRoom(board, usable, unit, plan, now);
}

void Planner::makeRoom(const Board& board, const std::function<bool(const BackendServer&)>& usable, const Unit& unit,
    Plan& plan, SteadyTime now)
{
    if (std::ranges::any_of(
            this->clearing, [&](const auto& entry) { return entry.second.jobId == unit.job->record.id; }))
        return; // stops are under way
    struct Candidate {
        std::string server;
        Resources free;
        std::vector<std::pair<double, TaskName>> victims; ///< by loss
    };
    const Resources need = countedNeed(*unit.specification);
    const std::set<std::string> guaranteed = guaranteedJobs(board);
    std::map<std::string, std::vector<Candidate>> racks;
    for (const PlacementServer& server : this->serversFor(board, usable, unit, plan, now)) {
        if (!isEligible(server, *unit.specification) || this->clearing.contains(server.id))
            continue;
        Candidate candidate { .server = server.id, .free = server.free };
        for (const auto& [name, taken] : board.servers.at(server.id).occupants) {
            const auto job = board.jobs.find(name.jobId);
            if (job == board.jobs.end() || job->second.ended() || name.jobId == unit.job->record.id)
                continue;
            const Queue* queue = board.configuration->queueOf(job->second.record);
            const Urgency urgency = queue && queue->priority > 0 ? Urgency::Ordinary
                : guaranteed.contains(name.jobId)                ? Urgency::Guaranteed
                                                                 : Urgency::Urgent;
            const Task& task = job->second.occurrences.at(name.occurrence)
                                   .steps.at(static_cast<std::size_t>(name.step))
                                   .tasks.at(static_cast<std::size_t>(name.index));
            if (urgency <= unit.urgency || !task.run || task.run->phase == RunPhase::Stopping)
                continue;
            const StepSpecification& step = board.stepOf(name);
            const double members = step.gang ? step.taskCount : 1;
            candidate.victims.emplace_back(members * lossOf(step, *task.run, now), name);
        }
        std::ranges::sort(candidate.victims);
        racks[unit.specification->sameRack ? server.rack : std::string()].push_back(std::move(candidate));
    }

    // For each rack, the servers whose clearing loses least; the cheapest rack wins.
    double bestLoss = 0;
    std::vector<std::pair<std::string, std::vector<TaskName>>> best;
    for (auto& [rack, candidates] : racks) {
        std::vector<std::tuple<double, std::string, std::vector<TaskName>>> options;
        for (const Candidate& candidate : candidates) {
            Resources free = candidate.free;
            double loss = 0;
            std::vector<TaskName> stops;
            std::size_t next = 0;
            while (true) {
                while (!free.holds(need) && next < candidate.victims.size()) {
                    const auto& [victimLoss, victim] = candidate.victims[next++];
                    free += countedNeed(board.stepOf(victim));
                    loss += victimLoss;
                    stops.push_back(victim);
                }
                if (!free.holds(need))
                    break;
                free -= need;
                options.emplace_back(loss, candidate.server, stops);
                if (unit.specification->maximumPerServer == 1)
                    break;
            }
        }
        const std::size_t wanted = unit.waiting.size();
        if (options.size() < wanted && unit.specification->gang)
            continue;
        std::ranges::sort(options, {}, [](const auto& option) { return std::get<0>(option); });
        options.resize(std::min(options.size(), wanted));
        double total = 0;
        std::vector<std::pair<std::string, std::vector<TaskName>>> chosen;
        for (auto& [loss, server, stops] : options) {
            total += loss;
            chosen.emplace_back(server, stops);
        }
        if (chosen.empty() || (!best.empty() && total >= bestLoss))
            continue;
        bestLoss = total;
        best = std::move(chosen);
    }
    for (const auto& [server, stops] : best) {
        this->clearing[server] = { unit.job->record.id, now + clearingTime };
        for (const TaskName& victim : stops) {
            const bool known
                = std::ranges::any_of(plan.stops, [&](const PlannedStop& stop) { return stop.task == victim; });
            if (!known)
                plan.stops.push_back({ victim, unit.job->record.id });
        }
    }
}

Plan Planner::plan(const Board& board, const std::function<bool(const BackendServer&)>& usable, SteadyTime now)
{
    Plan plan;
    this->planned.clear();
    std::erase_if(this->clearing, [&](const auto& entry) {
        return now > entry.second.until || !board.jobs.contains(entry.second.jobId)
            || board.jobs.at(entry.second.jobId).ended();
    });
    for (const Unit& unit : waitingUnits(board))
        this->placeUnit(board, usable, unit, plan, now);
    return plan;
}

} // namespace WisteriaHill::Scheduling
