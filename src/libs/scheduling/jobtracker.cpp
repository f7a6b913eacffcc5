#include "scheduling/jobtracker.h"

#include "scheduling/attemptlimit.h"
#include "scheduling/outlook.h"
#include "scheduling/placement.h"
#include "scheduling/rowcodec.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

/// A server that fails runs which other servers would complete is avoided for this long.
constexpr Duration failureAvoidanceTime { 8000 };

const StepSpecification& specificationOf(const Job& job, int step)
{
    return job.record.specification.steps.at(static_cast<std::size_t>(step));
}

void noteRunning(Job& job, Task& task, SteadyTime time)
{
    task.lastRunAt = std::max(task.lastRunAt, time);
    job.lastRunAt = std::max(job.lastRunAt, time);
}

bool stepIsDone(const Step& step) { return step.done == static_cast<int>(step.tasks.size()); }

} // namespace

bool JobTracker::hasNoRuns(const Job& job)
{
    return std::ranges::all_of(job.occurrences, [](const auto& entry) {
        return std::ranges::all_of(entry.second.steps, [](const Step& step) { return step.running == 0; });
    });
}

void JobTracker::addJob(
    JobRecord record, RowVersion rowVersion, JobState storedState, SteadyTime acceptedAt, SteadyTime now)
{
    const std::string id = record.id;
    if (this->board.jobs.contains(id))
        return;
    Job& job = this->board.jobs[id];
    job.record = std::move(record);
    job.rowVersion = rowVersion;
    job.queue = this->board.configuration ? this->board.configuration->queueOf(job.record) : nullptr;
    for (const StepSpecification& step : job.record.specification.steps)
        this->board.hasLatencyTargets = this->board.hasLatencyTargets || step.latencyTarget.count() > 0;
    job.state = storedState;
    job.storedState = storedState;
    job.acceptedAt = acceptedAt;
    job.begun = storedState != JobState::Queued;
    if (job.ended())
        job.finishedAt = now;
    else if (job.record.specification.occurrences == 0)
        this->createOccurrence(job, 0, now);
}

Occurrence& JobTracker::createOccurrence(Job& job, int index, SteadyTime now)
{
    Occurrence& occurrence = job.occurrences[index];
    occurrence.index = index;
    occurrence.createdAt = now;
    for (const StepSpecification& specification : job.record.specification.steps) {
        Step& step = occurrence.steps.emplace_back();
        step.tasks.resize(static_cast<std::size_t>(specification.taskCount));
        for (Task& task : step.tasks)
            task.waitingSince = now;
    }
    job.nextOccurrence = std::max(job.nextOccurrence, index + 1);
    this->updateReadiness(job, occurrence, now);
    return occurrence;
}

bool JobTracker::restoreOccurrence(
    const std::string& jobId, int index, const std::map<int, std::string>& rows, SteadyTime now)
{
    Job& job = this->board.jobs.at(jobId);
    const int last = std::max(job.record.specification.occurrences - 1, 0);
    if (index < 0 || index > last)
        return false;
    // An occurrence gets a row with its first start, and a later one may start first. Those below one with a row are
    // due.
    for (int due = job.nextOccurrence; due <= index; ++due)
        this->createOccurrence(job, due, now);
    Occurrence& occurrence = job.occurrences.at(index);
    for (const auto& [number, text] : rows) {
        if (!decodeProgress(text, occurrence))
            return false;
        occurrence.storedRows.insert(number);
    }
    this->adoptTasks(job, occurrence, now);
    this->updateReadiness(job, occurrence, now);
    this->updateJob(job, now);
    return true;
}

void JobTracker::adoptTasks(Job& job, Occurrence& occurrence, SteadyTime now)
{
    std::size_t taskNumber = 0; // among all tasks of the occurrence
    for (int number = 0; number < static_cast<int>(occurrence.steps.size()); ++number) {
        Step& step = occurrence.stepAt(number);
        // The rows of a gang may be stored one after the other.
        const bool gangIsDone = specificationOf(job, number).gang
            && std::ranges::any_of(step.tasks, [](const Task& task) { return task.phase == TaskPhase::Done; });
        if (gangIsDone)
            this->finishGang(job, occurrence, number);
        for (int position = 0; position < static_cast<int>(step.tasks.size()); ++position, ++taskNumber) {
            Task& task = step.tasks[static_cast<std::size_t>(position)];
            const int row = static_cast<int>(taskNumber / tasksPerRow);
            // Earlier releases stored all tasks in the first row.
            if (task.attempts > 0 && !occurrence.storedRows.contains(row)) {
                occurrence.dirtyRows.insert(row);
                this->board.dirtyJobs.insert(job.record.id);
            }
            step.done += task.phase == TaskPhase::Done && !gangIsDone ? 1 : 0;
            if (!task.run)
                continue;
            ++step.running;
            job.begun = true;
            task.run->phaseSince = now;
            task.run->orderedAt = now;
            task.run->adopted = true;
            task.run->startSent = true; // perhaps, by the former leader
            task.run->firstSentAt = now;
            const TaskName name { job.record.id, occurrence.index, number, position };
            BackendServer& server = this->board.servers[task.run->server];
            server.occupants[name] = countedNeed(specificationOf(job, number));
            if (server.address.port == 0) { // no entry describes it
                server.machine = task.run->machine;
                server.registeredStart = std::max(server.registeredStart, task.run->incarnation);
            }
            if (job.ended())
                this->requestStop(name, "job has ended", now);
        }
    }
}

void JobTracker::createDueOccurrences(WallTime wallNow, SteadyTime now)
{
    for (auto& [id, job] : this->board.jobs) {
        const JobSpecification& specification = job.record.specification;
        while (!job.ended() && job.nextOccurrence < specification.occurrences
            && specification.firstDue + specification.interval * job.nextOccurrence <= wallNow) {
            this->effects.log(Event::OccurrenceDue,
                { { "job", id }, { "occurrence", job.nextOccurrence },
                    { "dueMs", (specification.firstDue + specification.interval * job.nextOccurrence).count() },
                    { "agreedWallMs", wallNow.count() } });
            this->createOccurrence(job, job.nextOccurrence, now);
        }
    }
}

void JobTracker::markDirty(const TaskName& name)
{
    Job& job = this->board.jobs.at(name.jobId);
    Occurrence& occurrence = job.occurrences.at(name.occurrence);
    occurrence.dirtyRows.insert(occurrence.rowOf(name.step, name.index));
    if (specificationOf(job, name.step).gang)
        occurrence.dirtyRows.insert(occurrence.rowOf(name.step, 0));
    this->board.dirtyJobs.insert(name.jobId);
}

void JobTracker::releaseOccupant(const TaskName& name, const std::string& server)
{
    const auto found = this->board.servers.find(server);
    if (found != this->board.servers.end())
        found->second.occupants.erase(name);
}

void JobTracker::cancelJob(const std::string& jobId, SteadyTime now)
{
    const auto found = this->board.jobs.find(jobId);
    if (found == this->board.jobs.end() || found->second.ended())
        return;
    this->endJob(found->second, JobState::Cancelled, "cancelled by its client", now);
}

void JobTracker::endJob(Job& job, JobState state, const std::string& reason, SteadyTime now)
{
    if (job.ended())
        return;
    job.state = state;
    job.stateDirty = true;
    this->board.dirtyJobs.insert(job.record.id);
    job.finishedAt = now;
    this->reportEnd(job, reason, now);
    for (auto& [index, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::size_t task = 0; task < occurrence.steps[step].tasks.size(); ++task)
                this->requestStop(
                    { job.record.id, index, static_cast<int>(step), static_cast<int>(task) }, reason, now);
        }
    }
}

void JobTracker::reportEnd(const Job& job, const std::string& reason, SteadyTime now)
{
    const auto age = std::chrono::duration_cast<Duration>(now - job.acceptedAt);
    Utils::Json fields { { "job", job.record.id }, { "queue", job.record.pathPrefix },
        { "account", job.record.account }, { "state", jobStateName(job.state) }, { "reason", reason },
        { "ageMs", age.count() } };
    // A scheduled job has no single outlook, since each of its occurrences is due at its own time.
    if (job.queue && job.record.specification.occurrences == 0) {
        const Forecast forecast = forecastFor(
            this->board.runTimes, job, *job.queue, job.record.specification.steps.size(), job.acceptedAt, now);
        fields["outlook"] = outlookName(forecast.outlook);
        fields["objectiveMs"] = forecast.objective.count();
        this->effects.push(JobMeasurement { .queue = job.record.pathPrefix,
            .state = jobStateName(job.state),
            .outlook = outlookName(forecast.outlook),
            .age = age });
    }
    this->effects.log(Event::JobEnded, std::move(fields));
}

void JobTracker::requestStop(const TaskName& name, const std::string& reason, SteadyTime now)
{
    Task* task = this->board.findTask(name);
    if (!task || !task->run || task->run->phase == RunPhase::Stopping)
        return;
    const bool neverOrdered = !task->run->startSent;
    task->run->phase = RunPhase::Stopping;
    task->run->phaseSince = now;
    task->run->stopReason = reason;
    task->run->nextOrderAt = now;
    if (neverOrdered)
        this->runLost(name, RunLoss::NeverStarted, now);
    if (this->board.stepOf(name).gang)
        this->stopGang(name, reason, now);
}

void JobTracker::runConfirmed(const TaskName& name, SteadyTime now)
{
    Task* task = this->board.findTask(name);
    if (!task || !task->run || task->run->phase != RunPhase::Ordered)
        return;
    Run& run = *task->run;
    run.phase = RunPhase::Active;
    run.phaseSince = run.listedAt = run.progressedAt = now;
    if (!run.adopted)
        run.activeSince = now;
    Job& job = this->board.jobs.at(name.jobId);
    job.begun = true;
    this->updateJob(job, now);
}

void JobTracker::runEnded(BackendServer& server, const EndedRun& ended, SteadyTime now)
{
    Task* task = this->board.findTask(ended.task);
    if (!task || !task->run || task->run->attempt != ended.attempt || task->run->server != server.address.id) {
        // The run belongs to an earlier attempt or to a gang that is done: only the capacity that it frees and a
        // success matter.
        if (!task || !task->run || task->run->server != server.address.id)
            server.occupants.erase(ended.task);
        if (ended.end == RunEnd::Done)
            this->acceptLateSuccess(server.address.id, ended.task, ended.attempt, now);
        return;
    }
    Job& job = this->board.jobs.at(ended.task.jobId);
    Occurrence& occurrence = job.occurrences.at(ended.task.occurrence);
    Step& step = occurrence.stepAt(ended.task.step);
    const StepSpecification& specification = specificationOf(job, ended.task.step);
    // An end that its server had to list at once may be as old as the last answer.
    noteRunning(job, *task, server.pollMayWait ? now : task->run->listedAt);
    this->markDirty(ended.task);
    if (!ended.checkpoint.empty())
        (specification.gang ? step.tasks.front() : *task).checkpoint = ended.checkpoint;

    this->effects.log(Event::RunEnded,
        { { "task", formatTaskName(ended.task) }, { "attempt", ended.attempt }, { "server", server.address.id },
            { "incarnation", server.incarnation }, { "end", runEndName(ended.end) }, { "number", ended.number },
            { "stopReason", task->run->stopReason }, { "percent", task->run->percent },
            { "ranMs", ranMs(*task->run, now) }, { "declaredMs", specification.estimate.count() },
            { "checkpoint", ended.checkpoint } });

    if (ended.end == RunEnd::Done) {
        this->board.unstoredSuccesses.add(
            ended.number, { formatTaskName(ended.task), ended.attempt, server.address.id });
        server.failedJobs.clear();
        server.avoidUntil = {};
        server.lastSuccessAt = now;
        this->learner.ended(server, job, ended.task, *task->run, now);
        server.occupants.erase(ended.task);
        if (specification.longRunning && !specification.gang)
            this->requeue(ended.task, step, *task, now);
        else
            this->finish(job, occurrence, ended.task.step, *task, now);
        return;
    }
    if (ended.end == RunEnd::Failed) {
        this->assessServer(server, job, now);
        countFailure(ended.task, job, step, *task);
    }
    countRunAfterCrashes(*task);
    this->requeue(ended.task, step, *task, now);
    if (hasUsedAttempts(job, ended.task))
        this->giveUp(job, exhaustionReason(job, ended.task), now);
    if (specification.gang)
        this->stopGang(ended.task, "another member ended", now);
    this->updateJob(job, now);
}

void JobTracker::successReported(const ReportedSuccess& success, SteadyTime now)
{
    TaskName name;
    if (parseTaskName(success.task, name))
        this->acceptLateSuccess(success.server, name, success.attempt, now);
}

void JobTracker::acceptLateSuccess(const std::string& server, const TaskName& name, int attempt, SteadyTime now)
{
    Task* task = this->board.findTask(name);
    if (!task || task->phase == TaskPhase::Done || attempt > task->attempts)
        return;
    Job& job = this->board.jobs.at(name.jobId);
    const StepSpecification& specification = specificationOf(job, name.step);
    if (job.ended() || specification.longRunning)
        return;
    this->effects.log(Event::RunEnded,
        { { "task", formatTaskName(name) }, { "attempt", attempt }, { "server", server },
            { "end", runEndName(RunEnd::Done) }, { "givenUpBefore", true }, { "newestAttempt", task->attempts } });
    this->markDirty(name);
    // A run of a newer attempt no longer belongs to a task; the next poll of its server finds and stops it.
    Occurrence& occurrence = job.occurrences.at(name.occurrence);
    this->finish(job, occurrence, name.step, *task, now);
}

void JobTracker::assessServer(BackendServer& server, Job& job, SteadyTime now)
{
    job.failedOn.insert(server.address.id);
    server.failedJobs.insert(job.record.id);
    // A server is avoided when it is the first on which a job fails, or when it fails several jobs. A job that fails on
    // several servers is itself at fault, so servers that failed only this job are used again.
    if (job.failedOn.size() == 1 || server.failedJobs.size() > 1) {
        server.avoidUntil = now + failureAvoidanceTime;
        return;
    }
    for (const std::string& id : job.failedOn) {
        const auto blamed = this->board.servers.find(id);
        if (blamed != this->board.servers.end() && blamed->second.failedJobs.size() == 1
            && blamed->second.failedJobs.contains(job.record.id))
            blamed->second.avoidUntil = {};
    }
}

void JobTracker::finish(Job& job, Occurrence& occurrence, int step, Task& task, SteadyTime now)
{
    if (specificationOf(job, step).gang)
        this->finishGang(job, occurrence, step);
    else
        this->finishTask(job, occurrence, step, task);
    this->updateReadiness(job, occurrence, now);
    this->updateJob(job, now);
}

void JobTracker::finishTask(Job& job, Occurrence& occurrence, int step, Task& task)
{
    Step& done = occurrence.stepAt(step);
    done.running -= task.run ? 1 : 0;
    ++done.done;
    task.phase = TaskPhase::Done;
    task.run.reset();
    task.checkpoint.clear();
    job.begun = true;
}

void JobTracker::finishGang(Job& job, Occurrence& occurrence, int step)
{
    Step& gang = occurrence.stepAt(step);
    const int lastMember = static_cast<int>(gang.tasks.size()) - 1;
    for (int row = occurrence.rowOf(step, 0); row <= occurrence.rowOf(step, lastMember); ++row)
        occurrence.dirtyRows.insert(row);
    this->board.dirtyJobs.insert(job.record.id);
    // The capacity of the other members stays occupied until their servers list the ends.
    for (Task& member : gang.tasks) {
        member.phase = TaskPhase::Done;
        member.run.reset();
        member.checkpoint.clear();
    }
    gang.done = static_cast<int>(gang.tasks.size());
    gang.running = 0;
    job.begun = true;
}

void JobTracker::countFailure(const TaskName& name, const Job& job, Step& step, Task& task)
{
    const bool gang = specificationOf(job, name.step).gang;
    // Several members that fail in one attempt count as one failure of the gang.
    if (!gang || step.lastFailedAttempt != task.run->attempt)
        ++(gang ? step.tasks.front() : task).failures;
    if (gang)
        step.lastFailedAttempt = task.run->attempt;
}

void JobTracker::requeue(const TaskName& name, Step& step, Task& task, SteadyTime now)
{
    this->releaseOccupant(name, task.run->server);
    task.phase = TaskPhase::Waiting;
    task.run.reset();
    task.waitingSince = now;
    --step.running;
}

void JobTracker::stopGang(const TaskName& name, const std::string& reason, SteadyTime now)
{
    Job& job = this->board.jobs.at(name.jobId);
    const std::size_t members = job.occurrences.at(name.occurrence).stepAt(name.step).tasks.size();
    for (std::size_t index = 0; index < members; ++index)
        this->requestStop({ name.jobId, name.occurrence, name.step, static_cast<int>(index) }, reason, now);
}

void JobTracker::runLost(const TaskName& name, RunLoss loss, SteadyTime now)
{
    Task* task = this->board.findTask(name);
    if (!task || !task->run)
        return;
    Job& job = this->board.jobs.at(name.jobId);
    Occurrence& occurrence = job.occurrences.at(name.occurrence);
    this->effects.log(Event::RunLost,
        { { "task", formatTaskName(name) }, { "attempt", task->run->attempt }, { "server", task->run->server },
            { "reason", runLossName(loss) }, { "stopReason", task->run->stopReason } });
    noteRunning(job, *task, task->run->listedAt);
    this->markDirty(name);
    if (loss != RunLoss::NeverStarted)
        countRunAfterCrashes(*task);
    this->requeue(name, occurrence.stepAt(name.step), *task, now);
    // A restart may be another crash: it is counted first.
    if (loss != RunLoss::ServerRestarted && hasUsedAttempts(job, name))
        this->giveUp(job, exhaustionReason(job, name), now);
    if (specificationOf(job, name.step).gang)
        this->stopGang(name, "another member was lost", now);
    this->updateJob(job, now);
}

void JobTracker::updateReadiness(const Job& job, Occurrence& occurrence, SteadyTime now)
{
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
        Step& step = occurrence.steps[index];
        const std::vector<int>& prerequisites = job.record.specification.steps[index].prerequisites;
        const bool ready
            = std::ranges::all_of(prerequisites, [&](int earlier) { return stepIsDone(occurrence.stepAt(earlier)); });
        if (ready && !step.ready) {
            step.readySince = now;
            step.turnSince = now;
        }
        step.ready = ready;
    }
    occurrence.finished = std::ranges::all_of(occurrence.steps, stepIsDone);
}

void JobTracker::updateJob(Job& job, SteadyTime now)
{
    if (job.ended())
        return;
    if (job.begun && job.state == JobState::Queued) {
        job.state = JobState::Running;
        job.stateDirty = true;
        this->board.dirtyJobs.insert(job.record.id);
    }
    const int occurrences = std::max(job.record.specification.occurrences, 1);
    const bool allCreated = job.nextOccurrence >= occurrences;
    if (allCreated && std::ranges::all_of(job.occurrences, [](const auto& entry) { return entry.second.finished; }))
        this->endJob(job, JobState::Completed, "all tasks are done", now);
}

} // namespace WisteriaHill::Scheduling
