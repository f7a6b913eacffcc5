#include "scheduling/planlog.h"

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

/// Minimum time between two log lines about idle accelerators; there may be a pass every 15 ms.
constexpr Duration idleLogInterval { 1000 };

} // namespace

void PlanLog::record(const Plan& plan, SteadyTime now)
{
    this->logIdle(plan, now);
    for (const OutlookChange& change : plan.outlookChanges)
        this->recordOutlook(change, now);
    for (const StepWait& wait : plan.waits)
        this->logWait(wait, now);
    for (const PlannedStop& stop : plan.stops)
        this->logPreemption(stop, now);
}

void PlanLog::recordOutlook(const OutlookChange& change, SteadyTime now)
{
    Job& job = this->board.jobs.at(change.step.jobId);
    Step& step = job.occurrences.at(change.step.occurrence).stepAt(change.step.step);
    this->effects.log(Event::OutlookChanged,
        { { "job", job.record.id }, { "occurrence", change.step.occurrence }, { "step", change.step.step },
            { "queue", job.record.pathPrefix }, { "outlook", outlookName(change.forecast.outlook) },
            { "previous", outlookName(step.outlook) },
            { "ageMs", std::chrono::duration_cast<Duration>(now - job.acceptedAt).count() },
            { "declaredMs", change.forecast.declared.count() }, { "expectedMs", change.forecast.expected.count() },
            { "expectedEndMs", change.forecast.expectedEnd.count() },
            { "objectiveMs", change.forecast.objective.count() },
            { "configuration", this->board.configuration->version } });
    step.outlook = change.forecast.outlook;
}

void PlanLog::logPreemption(const PlannedStop& stop, SteadyTime now)
{
    const Run& run = *this->board.findTask(stop.task)->run;
    this->effects.log(Event::RunPreempted,
        { { "task", formatTaskName(stop.task) }, { "forJob", stop.forJob }, { "attempt", run.attempt },
            { "server", run.server }, { "percent", run.percent }, { "ranMs", ranMs(run, now) } });
}

void PlanLog::logWait(const StepWait& wait, SteadyTime now)
{
    Step& step = *this->board.findStep(wait.step);
    step.waitReason = wait.reason;
    step.waitReportedAt = now;
    if (wait.serversWithRoom.empty())
        return;
    Utils::Json servers = Utils::Json::object();
    for (const auto& [reason, count] : wait.serversWithRoom)
        servers[waitReasonName(reason)] = count;
    this->effects.log(Event::StepWaits,
        { { "step", formatTaskName(wait.step) }, { "waitingTasks", wait.waitingTasks },
            { "reason", waitReasonName(wait.reason) }, { "serversWithRoom", std::move(servers) },
            { "idleMs", wait.idle.count() },
            { "readyMs", std::chrono::duration_cast<Duration>(now - step.readySince).count() },
            { "acceleratorsUsed", wait.load.used }, { "accelerators", wait.load.capacity },
            { "configuration", this->board.configuration->version } });
}

void PlanLog::logIdle(const Plan& plan, SteadyTime now)
{
    if (plan.unplacedSteps == 0 || plan.idle.total() == 0 || now < this->nextIdleLogAt)
        return;
    this->nextIdleLogAt = now + idleLogInterval;
    this->effects.log(Event::AcceleratorsIdle,
        { { "waitingSteps", plan.unplacedSteps }, { "claimed", plan.idle.claimed }, { "held", plan.idle.reserved },
            { "open", plan.idle.unrestricted }, { "configuration", this->board.configuration->version } });
}

} // namespace WisteriaHill::Scheduling
