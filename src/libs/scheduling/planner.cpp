#include "scheduling/planner.h"

#include "scheduling/advicecontroller.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace WisteriaHill::Scheduling {

namespace {

/// A server that is being cleared stays reserved this long; stops take well under a second.
constexpr Duration clearingTime { 1200 };

/// Racks are held ready for this multiple of the recent peak of urgent work.
constexpr double readyMargin = 1.1;
/// At most this share of a service is held ready, so that ordinary work goes on.
constexpr double largestReadyShare = 0.55;
/// At most this share of the servers drains for gangs that wait; smaller work goes on elsewhere.
constexpr double largestClaimedShare = 0.4;
/// When more servers than this share are avoided, they are used last instead of not at all.
constexpr double largestAvoidedShare = 0.3;
/// A run that is stopped costs this much besides what it has done: it has to start again.
constexpr double restartCostMs = 2000;
/// The peak of urgent work is forgotten by half in this time; bursts last a few seconds.
constexpr Duration peakHalfLife { 5000 };

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
    constexpr double savedShare = 0.02; // progress is saved when the run is stopped; only the restart costs
    const double cores = static_cast<double>(step.perTask.milliCores) / milliCoresPerCore
        + coresPerAccelerator * static_cast<double>(step.perTask.accelerators);
    const double age = std::chrono::duration<double, std::milli>(now - run.phaseSince).count();
    return cores * (restartCostMs + age) * (step.savesProgress ? savedShare : 1);
}

std::int64_t memoryPerAccelerator(const Resources& capacity)
{
    return capacity.memoryMb / std::max<std::int64_t>(capacity.accelerators, 1);
}

} // namespace

/// What a job's client can still get.
enum class Outlook {
    OnTime, ///< may end within its objective
    Late, ///< will miss its objective, but is still of use
    TooLate, ///< is of no use to its client any more
};

namespace {

/// Late work gives way to on-time work of the next priority: it is worth a fraction of what on-time work is.
int standing(int priority, Outlook outlook)
{
    constexpr int lateSetback = 3;
    constexpr int tooLateSetback = 100;
    const int setback = outlook == Outlook::OnTime ? 0 : outlook == Outlook::Late ? lateSetback : tooLateSetback;
    return 2 * priority + setback;
}

/// Expected run time of the steps on the longest path from `first` on, by their declared estimates.
Duration longestPath(const JobSpecification& job, std::size_t first)
{
    std::vector<Duration> ends(job.steps.size(), Duration(0));
    Duration longest { 0 };
    for (std::size_t index = first; index < job.steps.size(); ++index) {
        Duration begin { 0 };
        for (const int earlier : job.steps[index].prerequisites)
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        ends[index] = begin + job.steps[index].estimate;
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

Outlook outlookOf(const Job& job, const Queue& queue, std::size_t step, SteadyTime since, SteadyTime now)
{
    constexpr int lateMultiple = 3; // beyond this multiple of the objective a result is of no use
    const Duration whole = longestPath(job.record.specification, 0);
    const Duration rest = longestPath(job.record.specification, step);
    const auto objective = std::chrono::duration_cast<Duration>(whole * queue.stretchFactor) + queue.targetDuration;
    const auto expected = std::chrono::duration_cast<Duration>(now - since) + rest;
    if (expected <= objective)
        return Outlook::OnTime;
    return expected <= objective * lateMultiple ? Outlook::Late : Outlook::TooLate;
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
    Outlook outlook = Outlook::OnTime;

    auto rank() const
    {
        return std::tuple(this->urgency != Urgency::Guaranteed, standing(this->queue->priority, this->outlook),
            this->job->acceptedAt, this->job->record.id, this->step);
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

std::vector<Planner::Unit> Planner::waitingUnits(const Board& board, SteadyTime now)
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
                const SteadyTime since
                    = job.record.specification.occurrences > 0 ? occurrence.createdAt : job.acceptedAt;
                unit.outlook = outlookOf(job, *queue, number, since, now);
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
        if (server.service != unit.queue->service || !usable(server) || this->claimed.contains(id)
            || (now < server.avoidUntil && this->excludeAvoided))
            continue;
        if (!hasTicket(*unit.queue, unit.occurrence->steps.at(static_cast<std::size_t>(unit.step)), id, now))
            continue;
        const auto cleared = this->clearing.find(id);
        if (cleared != this->clearing.end() && cleared->second.jobId != unit.job->record.id
            && cleared->second.urgency <= unit.urgency)
            continue;
        PlacementServer& candidate = servers.emplace_back(PlacementServer { .id = id,
            .rack = server.rack,
            .labels = &server.labels,
            .capacity = server.capacity,
            .free = server.freeCapacity(),
            .lastChoice = now < server.avoidUntil,
            .heldReady = this->heldReady.contains(id) });
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
    const ServiceLoad& load = this->load[unit.queue->service];
    const Duration patience = unit.urgency == Urgency::Guaranteed ? this->options.guaranteedRackPatience
        : load.mostlyIdle()                                       ? this->options.idleRackPatience
                                                                  : this->options.rackPatience;
    const bool impatient = now - unit.readySince > patience;
    const PlacementRequest request { .step = unit.specification,
        .taskCount = static_cast<int>(unit.waiting.size()),
        .allOrNone = unit.specification->gang,
        .anyRack = impatient,
        .mayUseHeldReady = unit.urgency != Urgency::Ordinary || unit.specification->savesProgress };
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
    else if (unit.urgency != Urgency::Ordinary && unit.outlook != Outlook::TooLate
        && now - unit.readySince >= this->options.urgentPatience) {
        const bool cleared = this->makeRoom(board, usable, unit, plan, unit.specification->sameRack && !impatient, now);
        if (!cleared && unit.urgency == Urgency::Guaranteed)
            this->makeRoom(board, usable, unit, plan, false, now);
    }
    if (!complete && unit.specification->gang && unit.outlook != Outlook::TooLate)
        this->claimServers(board, usable, unit, plan, now);
}

void Planner::claimServers(const Board& board, const std::function<bool(const BackendServer&)>& usable,
    const Unit& unit, const Plan& plan, SteadyTime now)
{
    const Resources need = countedNeed(*unit.specification);
    // By rack for gangs of one rack: how much has to end before a server has room for its share.
    std::map<std::string, std::vector<std::pair<std::int64_t, std::string>>> racks;
    for (const PlacementServer& server : this->serversFor(board, usable, unit, plan, now)) {
        if (!isEligible(server, *unit.specification) || !server.capacity.holds(need)
            || (server.heldReady && unit.urgency == Urgency::Ordinary && !unit.specification->savesProgress))
            continue;
        const std::int64_t occupied = server.free.holds(need) ? 0
                                                              : server.capacity.memoryMb - server.free.memoryMb
                + memoryPerAccelerator(server.capacity) * (server.capacity.accelerators - server.free.accelerators);
        racks[unit.specification->sameRack ? server.rack : std::string()].emplace_back(occupied, server.id);
    }
    const std::size_t wanted = unit.waiting.size();
    const std::vector<std::pair<std::int64_t, std::string>>* best = nullptr;
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
    const std::size_t limit = static_cast<std::size_t>(largestClaimedShare * static_cast<double>(board.servers.size()));
    // The first gang in the queue always gets its servers, however many it needs.
    if (!best || (!this->claimed.empty() && this->claimed.size() + wanted > limit))
        return;
    for (std::size_t index = 0; index < wanted; ++index)
        this->claimed.insert((*best)[index].second);
}

bool Planner::makeRoom(const Board& board, const std::function<bool(const BackendServer&)>& usable, const Unit& unit,
    Plan& plan, bool inOneRack, SteadyTime now)
{
    if (std::ranges::any_of(
            this->clearing, [&](const auto& entry) { return entry.second.jobId == unit.job->record.id; }))
        return true; // stops are under way
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
        racks[inOneRack ? server.rack : std::string()].push_back(std::move(candidate));
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
        this->clearing[server] = { unit.job->record.id, unit.urgency, now + clearingTime };
        for (const TaskName& victim : stops) {
            const bool known
                = std::ranges::any_of(plan.stops, [&](const PlannedStop& stop) { return stop.task == victim; });
            if (!known)
                plan.stops.push_back({ victim, unit.job->record.id });
        }
    }
    return !best.empty();
}

void Planner::measureLoad(const Board& board, const std::function<bool(const BackendServer&)>& usable,
    const std::vector<Unit>& units, SteadyTime now)
{
    this->load.clear();
    for (const auto& [id, server] : board.servers) {
        if (!usable(server))
            continue;
        ServiceLoad& service = this->load[server.service];
        service.capacity += server.capacity.accelerators;
        for (const auto& [name, need] : server.occupants) {
            service.used += need.accelerators;
            const auto job = board.jobs.find(name.jobId);
            const Queue* queue = job == board.jobs.end() ? nullptr : board.configuration->queueOf(job->second.record);
            if (queue && queue->priority == 0)
                service.urgent += need.accelerators;
        }
    }
    for (const Unit& unit : units) {
        if (unit.urgency != Urgency::Ordinary && unit.outlook == Outlook::OnTime)
            this->load[unit.queue->service].urgent
                += unit.specification->perTask.accelerators * static_cast<std::int64_t>(unit.waiting.size());
    }
    const double halfLives = std::chrono::duration<double>(now - this->peakMeasuredAt) / peakHalfLife;
    const double remaining = std::exp2(-std::min(halfLives, 60.0));
    this->peakMeasuredAt = now;
    for (const auto& [service, measured] : this->load) {
        double& peak = this->urgentPeak[service];
        peak = std::max(peak * remaining, static_cast<double>(measured.urgent));
    }
}

void Planner::holdServersReady(const Board& board, const std::function<bool(const BackendServer&)>& usable)
{
    this->heldReady.clear();
    for (const auto& [service, measured] : this->load) {
        if (measured.mostlyIdle())
            continue; // there is room for everyone
        // Whole racks, since urgent gangs want to stand in one.
        std::map<std::string, std::vector<const BackendServer*>> racks;
        for (const auto& [id, server] : board.servers) {
            if (server.service == service && usable(server))
                racks[server.rack].push_back(&server);
        }
        const double wanted = std::min(
            this->urgentPeak[service] * readyMargin, largestReadyShare * static_cast<double>(measured.capacity));
        double held = 0;
        for (const auto& [rack, servers] : racks) {
            if (held >= wanted)
                break;
            for (const BackendServer* server : servers) {
                this->heldReady.insert(server->address.id);
                held += static_cast<double>(server->capacity.accelerators);
            }
        }
    }
}

Plan Planner::plan(const Board& board, const std::function<bool(const BackendServer&)>& usable, SteadyTime now)
{
    Plan plan;
    this->planned.clear();
    this->claimed.clear();
    std::erase_if(this->clearing, [&](const auto& entry) {
        return now > entry.second.until || !board.jobs.contains(entry.second.jobId)
            || board.jobs.at(entry.second.jobId).ended();
    });
    const std::vector<Unit> units = waitingUnits(board, now);
    const auto avoided
        = std::ranges::count_if(board.servers, [&](const auto& entry) { return now < entry.second.avoidUntil; });
    this->excludeAvoided
        = static_cast<double>(avoided) <= largestAvoidedShare * static_cast<double>(board.servers.size());
    this->measureLoad(board, usable, units, now);
    this->holdServersReady(board, usable);
    for (const Unit& unit : units)
        this->placeUnit(board, usable, unit, plan, now);
    return plan;
}

} // namespace WisteriaHill::Scheduling
