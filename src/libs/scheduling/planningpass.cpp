#include "scheduling/planningpass.h"

#include "scheduling/serviceorder.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace WisteriaHill::Scheduling {

namespace {

/// Time that a stopped run loses by its restart, besides the work it has done.
constexpr double restartCostMs = 2000;
/// Share of the loss that counts for a run whose progress is saved when it is stopped: only the restart costs.
constexpr double checkpointedLossShare = 0.02;
constexpr double coresPerAccelerator = 8;
constexpr double milliCoresPerCore = 1000;

std::int64_t maximumAccelerators(const Job& job)
{
    std::int64_t accelerators = 0;
    for (const StepSpecification& step : job.record.specification.steps)
        accelerators = std::max(accelerators, step.perTask.accelerators * step.taskCount);
    return accelerators;
}

/// Work in core milliseconds that is lost when the run, or the gang that it belongs to, stops now.
double lossOf(const StepSpecification& step, const Run& run, SteadyTime now)
{
    const double cores = static_cast<double>(step.perTask.milliCores) / milliCoresPerCore
        + coresPerAccelerator * static_cast<double>(step.perTask.accelerators);
    const double age = std::chrono::duration<double, std::milli>(now - run.phaseSince).count();
    const double members = step.gang ? step.taskCount : 1;
    return members * cores * (restartCostMs + age) * (step.savesProgress ? checkpointedLossShare : 1);
}

} // namespace

std::set<std::string> guaranteedJobs(const Board& board)
{
    std::vector<const Job*> urgent;
    for (const auto& [id, job] : board.jobs) {
        if (!job.ended() && job.queue && job.queue->priority == 0)
            urgent.push_back(&job);
    }
    std::ranges::sort(urgent, [](const Job* left, const Job* right) {
        return std::tie(left->acceptedAt, left->record.id) < std::tie(right->acceptedAt, right->record.id);
    });
    std::map<std::string, std::int64_t> used;
    std::set<std::string> guaranteed;
    for (const Job* job : urgent) {
        const ClientAccount* account = board.configuration->findAccount(job->record.account);
        if (!account)
            continue;
        std::int64_t& accelerators = used[account->name];
        accelerators += maximumAccelerators(*job);
        if (accelerators <= account->guaranteedAccelerators)
            guaranteed.insert(job->record.id);
    }
    return guaranteed;
}

std::optional<Placement::ServerSpeed> PlanningPass::speedOnBoard(const Board& board, const BackendServer& server)
{
    if (!board.speeds.differ(server.service))
        return std::nullopt;
    return Placement::ServerSpeed { .slowness = board.speeds.of(server.service, server.speedKey()).slowness,
        .speedClass = board.speeds.classOf(server.service, server.speedKey()) };
}

PlanningPass::PlanningPass(const Board& board, const Usable& usable, SteadyTime now, const SpeedOf& speedOf)
    : board(board)
    , now(now)
    , guaranteed(guaranteedJobs(board))
{
    for (const auto& [id, server] : board.servers) {
        if (!usable(server))
            continue;
        this->servers.push_back({ .id = id,
            .rack = server.rack,
            .labels = &server.labels,
            .capacity = server.capacity,
            .free = server.freeCapacity(),
            .avoided = now < server.avoidUntil });
        this->boardServers.push_back(&server);
        const std::optional<Placement::ServerSpeed> speed = speedOf(board, server);
        if (!speed)
            continue;
        Placement::SpeedSpread& spread = this->spreads[server.service];
        spread.differ = true;
        spread.add(*speed);
        this->servers.back().speedClass = speed->speedClass;
    }
    this->occupancies.resize(this->servers.size());
}

Urgency PlanningPass::urgencyOf(const Job& job) const
{
    if (!job.queue || job.queue->priority > 0)
        return Urgency::Ordinary;
    return this->guaranteed.contains(job.record.id) ? Urgency::Guaranteed : Urgency::Urgent;
}

const Placement::SpeedSpread& PlanningPass::spreadOf(const std::string& service) const
{
    static const Placement::SpeedSpread even;
    const auto found = this->spreads.find(service);
    return found == this->spreads.end() ? even : found->second;
}

Placement::SpeedNeed PlanningPass::speedNeedOf(const PendingStep& pending) const
{
    const Forecast& forecast = pending.forecast;
    return Placement::speedNeedOf({ .ordinary = pending.urgency == Urgency::Ordinary,
                                      .single = !pending.specification->gang,
                                      .timeLeft = forecast.objective - forecast.waited,
                                      .expected = forecast.remaining },
        this->spreadOf(pending.queue->service));
}

std::vector<PendingStep> PlanningPass::pendingSteps() const
{
    std::vector<PendingStep> pendingSteps;
    for (const auto& [id, job] : this->board.jobs) {
        if (job.ended() || !job.queue)
            continue; // jobs of a removed queue do not start
        for (const auto& [index, occurrence] : job.occurrences) {
            for (std::size_t number = 0; number < occurrence.steps.size(); ++number) {
                const Step& step = occurrence.steps[number];
                const int total = static_cast<int>(step.tasks.size());
                const StepSpecification& specification = job.record.specification.steps[number];
                if (!step.ready || step.done + step.running >= total || (specification.gang && step.running > 0))
                    continue;
                const bool scheduled = job.record.specification.occurrences > 0;
                PendingStep pending { .job = &job,
                    .occurrence = &occurrence,
                    .state = &step,
                    .specification = &specification,
                    .queue = job.queue,
                    .step = static_cast<int>(number),
                    .urgency = this->urgencyOf(job),
                    .forecast = forecastFor(this->board.runTimes, job, *job.queue, number,
                        scheduled ? occurrence.createdAt : job.acceptedAt, this->now,
                        this->spreadOf(job.queue->service).fast) };
                pending.speed = this->speedNeedOf(pending);
                for (int task = 0; task < total; ++task) {
                    const Task& waiting = step.tasks[static_cast<std::size_t>(task)];
                    if (waiting.phase == TaskPhase::Waiting && this->now >= waiting.heldUntil)
                        pending.waitingTasks.push_back(task);
                }
                const bool wholeGang = static_cast<int>(pending.waitingTasks.size()) == total;
                if (!pending.waitingTasks.empty() && (!specification.gang || wholeGang))
                    pendingSteps.push_back(std::move(pending));
            }
        }
    }
    std::ranges::sort(pendingSteps, servedBefore);
    return pendingSteps;
}

Placement::StopLoss PlanningPass::stopLossOf(const Job& job, const TaskName& name, const Run& run) const
{
    const auto number = static_cast<std::size_t>(name.step);
    const Occurrence& occurrence = job.occurrences.at(name.occurrence);
    const SteadyTime since = job.record.specification.occurrences > 0 ? occurrence.createdAt : job.acceptedAt;
    const auto forecast
        = [&](std::size_t step) { return forecastFor(this->board.runTimes, job, *job.queue, step, since, this->now); };
    const Forecast whole = forecast(number);
    const Duration after = forecast(number + 1).remaining;
    return Placement::stopLossOf({ .specification = &job.record.specification.steps.at(number),
                                     .step = &occurrence.steps.at(number),
                                     .run = &run,
                                     .expected = whole.remaining - after,
                                     .waited = whole.waited,
                                     .objective = whole.objective,
                                     .afterStep = after },
        this->now);
}

const PlanningPass::Occupancy& PlanningPass::occupancyOf(std::size_t server)
{
    Occupancy& occupancy = this->occupancies[server];
    if (occupancy.gathered)
        return occupancy;
    occupancy.gathered = true;
    for (const auto& [name, need] : this->boardServers[server]->occupants) {
        const auto job = this->board.jobs.find(name.jobId);
        const Step* step = nullptr;
        const Run* run = nullptr;
        if (job != this->board.jobs.end() && !job->second.ended()) {
            step = &job->second.occurrences.at(name.occurrence).steps.at(static_cast<std::size_t>(name.step));
            const Task& task = step->tasks.at(static_cast<std::size_t>(name.index));
            run = task.run && task.run->server == this->servers[server].id ? &*task.run : nullptr;
        }
        if (!run || run->phase == RunPhase::Stopping) {
            occupancy.beingFreed += need;
            continue;
        }
        const StepSpecification& specification
            = job->second.record.specification.steps.at(static_cast<std::size_t>(name.step));
        PreemptibleRun& preemptible = occupancy.preemptibleRuns.emplace_back(PreemptibleRun { .name = &name,
            .urgency = this->urgencyOf(job->second),
            .loss = lossOf(specification, *run, this->now),
            .need = need,
            .losesGangWork = specification.gang && !specification.savesProgress,
            .gang = specification.gang ? step : nullptr });
        if (job->second.queue && this->spreadOf(job->second.queue->service).differ) {
            const Placement::StopLoss loss = this->stopLossOf(job->second, name, *run);
            preemptible.loss = loss.work;
            preemptible.remaining = loss.remaining;
        }
    }
    std::ranges::sort(occupancy.preemptibleRuns, {}, &PreemptibleRun::loss);
    return occupancy;
}

} // namespace WisteriaHill::Scheduling
