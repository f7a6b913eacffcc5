#include "scheduling/scheduler.h"

#include "scheduling/attemptlimit.h"
#include "scheduling/rowcodec.h"

#include <algorithm>
#include <cmath>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

/// Limits how long a connection that stopped responding can hide new jobs.
constexpr Duration jobFeedWait { 1000 };
constexpr Duration feedRetryPause { 150 };
/// Server entries change with every heartbeat; reading the changes in batches costs fewer calls.
constexpr Duration serverFeedInterval { 400 };
constexpr Duration housekeepingInterval { 200 };
constexpr Duration scheduleInterval { 15 };
/// After a planning pass the event loop is free for polls, orders and heartbeats for this multiple of the pass's
/// duration.
constexpr int pauseFactor = 4;

} // namespace

Scheduler::Scheduler(SchedulerOptions givenOptions, ServerEntryDecoder decodeServer,
    std::function<SteadyTime()> givenClock, const StoreClock& storeClock)
    : options(std::move(givenOptions))
    , clock(std::move(givenClock))
    , storeClock(storeClock)
    , leader(this->effects, this->options.leadership, storeClock)
    , reader(this->effects)
    , tracker(this->board, this->effects)
    , crashes(this->board, this->effects, this->tracker)
    , monitor(this->board, this->effects, this->tracker, this->crashes, this->leader, this->options.servers)
    , serverEntries(this->board, this->effects, this->monitor, std::move(decodeServer))
    , writer(this->board, this->effects, this->leader)
    , retention(this->board, this->effects, this->leader, this->writer, this->crashes, this->options.stateRetention)
    , planner(this->options.planner)
    , planLog(this->board, this->effects)
    , evacuation(this->board, this->tracker, this->options.servers.stopTime)
    , zones(this->board, this->effects, this->tracker, this->evacuation, this->options.evacuations)
    , stalls(this->board, this->effects, this->tracker)
    , gangStarts(this->board, this->effects, this->tracker, this->options.gangStarts)
    , advice(this->board, this->effects)
    , pace(this->board, this->effects)
    , upkeep(this->board, this->effects, this->evacuation, this->options.upkeep)
    , requests(this->effects, this->options.requests)
{
    this->requests.setClock(this->clock);
    this->requests.onRead([this](const std::vector<Row>& rows, SteadyTime readAt, SteadyTime now) {
        this->zones.handleRequests(rows, readAt, now);
        this->upkeep.handleRequests(rows, now);
    });
    this->advice.setClock(this->clock);
    this->monitor.onTicketUsed([this](const UsedTicket& used, SteadyTime now) { this->advice.ticketUsed(used, now); });
    this->upkeep.setClock(this->clock);
    this->upkeep.setPermission([this](SteadyTime now) { return this->leader.isConfirmed(now); });
    this->monitor.setFrequentPollCondition([this](const BackendServer& server) { return this->pace.isMixed(server); });
    this->leader.setClock(this->clock);
    this->monitor.setClock(this->clock);
    this->writer.setClock(this->clock);
    this->retention.setClock(this->clock);
    this->reader.setClock(this->clock);
    this->reader.onRead(
        [this](TableContents contents, SteadyTime now) { this->handleTable(std::move(contents), now); });
    this->leader.onElected([this](SteadyTime now) { this->handleElection(now); });
    this->monitor.onFenced(
        [this](SteadyTime now) { this->leader.stepDown(now, "a backend server has seen a higher fencing token"); });
    this->writer.onUnstorable([this](const std::string& jobId, SteadyTime now) {
        if (const auto job = this->board.jobs.find(jobId); job != this->board.jobs.end())
            this->tracker.giveUp(job->second, "the store refuses its progress", now);
    });
    this->writer.onStored(
        [this](const StoredDecisions& decisions, SteadyTime now) { this->handleStoredDecisions(decisions, now); });
}

void Scheduler::setConfiguration(std::shared_ptr<const FleetConfiguration> configuration)
{
    this->board.setConfiguration(std::move(configuration));
    if (this->isActive()) {
        this->serverEntries.applyKept(this->clock());
        this->endExhaustedJobs(this->clock());
    }
    this->nextSchedule = SteadyTime();
}

void Scheduler::endExhaustedJobs(SteadyTime now)
{
    for (auto& [id, job] : this->board.jobs) {
        if (job.ended() || !job.queue)
            continue;
        if (const std::optional<TaskName> task = findExhaustedTask(job))
            this->tracker.giveUp(job, exhaustionReason(job, *task), now);
    }
}

void Scheduler::releaseLeadership(std::function<void()> done)
{
    this->leader.withdraw();
    if (!this->leader.isLeader()) {
        done();
        return;
    }
    this->writer.releaseLeadership(std::move(done));
    this->writer.flush(this->clock());
}

void Scheduler::handleElection(SteadyTime now)
{
    this->loaded = false;
    this->board.jobs.clear();
    this->board.dirtyJobs.clear();
    this->board.servers.clear();
    this->board.runTimes.clear();
    this->board.dirtyRunTimes.clear();
    this->board.speeds.clear();
    this->board.speedRows.clear();
    this->loadedRows.clear();
    this->unreadableJobs.clear();
    this->feeds.clear();
    this->serverEntries.begin();
    this->planner.reset();
    this->advice.begin();
    this->upkeep.begin(this->options.leadership.node, this->leader.term());
    this->zones.begin();
    this->requests.begin();
    this->requests.tick(now);
    this->writer.begin(now);
    this->retention.begin();
    this->loadTables();
}

SteadyTime Scheduler::toSteadyTime(StoreTime accepted, SteadyTime now) const
{
    const StoreTime storeNow = this->storeClock.at(now);
    return accepted.count() > 0 && accepted < storeNow ? now - (storeNow - accepted) : now;
}

void Scheduler::applyJobRow(const Row& row, SteadyTime now)
{
    if (row.removed)
        return;
    if (const std::optional<std::string> cancelled = jobOfCancelKey(row.key.key)) {
        this->tracker.cancelJob(*cancelled, now);
        return;
    }
    if (this->retention.claimsRow(row, now) || this->board.jobs.contains(row.key.key)
        || this->unreadableJobs.contains(row.key.key))
        return;
    const std::optional<JobRecord> record = decodeJob(row.value);
    if (!record) {
        this->reportUnreadable(row);
        return;
    }
    this->effects.log(Event::JobTaken,
        { { "job", record->id }, { "account", record->account }, { "queue", record->pathPrefix },
            { "rowVersion", row.version }, { "steps", describeSteps(record->specification) },
            { "occurrences", record->specification.occurrences } });
    this->tracker.addJob(*record, row.version, JobState::Queued, this->toSteadyTime(record->acceptedAt, now), now);
    this->nextSchedule = now;
}

void Scheduler::watch(const std::string& table, TableFeed& feed, Duration wait, SteadyTime now)
{
    if (feed.open || now < feed.nextCall)
        return;
    feed.open = true;
    this->effects.push(WatchCall { .table = table,
        .after = feed.position,
        .wait = wait,
        .done = [this, table, generation = this->loadGeneration](const WatchResult& result) {
            if (generation == this->loadGeneration && this->leader.isLeader())
                this->handleFeedResult(table, result);
        } });
}

void Scheduler::handleFeedResult(const std::string& table, const WatchResult& result)
{
    const SteadyTime now = this->clock();
    TableFeed& feed = this->feeds.at(table);
    feed.open = false;
    if (std::holds_alternative<HistoryCompacted>(result)) {
        this->effects.log(Event::HistoryLost, { { "table", table }, { "position", feed.position } });
        feed.open = true; // the feed is not read until the table has been read
        const bool intake = table == StoreTable::jobs;
        this->reader.read(table, intake ? StoreTable::intakePartition : "");
        return;
    }
    const auto* page = std::get_if<RowPage>(&result);
    if (!page) {
        feed.nextCall = now + feedRetryPause;
        return;
    }
    feed.position = page->version;
    for (const Row& row : page->rows) {
        if (table == this->options.serverTable)
            this->serverEntries.apply(row, now);
        else
            this->applyJobRow(row, now);
    }
    // What a full page leaves out grows with each interval when servers write more rows than that in it.
    const bool isFull = page->more || page->rows.size() >= static_cast<std::size_t>(rowsPerPage);
    feed.nextCall = table == this->options.serverTable && !isFull ? now + serverFeedInterval : now;
}

void Scheduler::tick(SteadyTime now, WallTime agreedWallTime)
{
    this->wallNow = agreedWallTime;
    this->leader.tick(now);
    if (this->leader.isLeader()) {
        this->reader.tick(now);
        this->requests.tick(now);
    }
    if (!this->isActive() || !this->board.configuration)
        return;
    this->watch(StoreTable::jobs, this->feeds.at(StoreTable::jobs), jobFeedWait, now);
    this->watch(this->options.serverTable, this->feeds.at(this->options.serverTable), Duration(0), now);
    if (now >= this->nextHousekeeping) {
        this->nextHousekeeping = now + housekeepingInterval;
        this->tracker.createDueOccurrences(this->wallNow, now);
        this->stalls.stopStalledRuns(now);
        this->gangStarts.stopIncompleteGangs(now);
        this->evacuation.tick(now);
        this->zones.tick([this](const BackendServer& server) { return this->monitor.isUsable(server); }, now);
        this->serverEntries.removeWithdrawn(now);
        if (this->options.upkeep.decodeWave)
            this->upkeep.tick(now);
        this->pace.tick(this->leader.term(), now);
        this->retention.tick(now);
        if (this->retention.leftoversAreRemoved())
            this->leader.setLeftoversRemoved();
        this->nextSchedule = std::min(this->nextSchedule, now);
    }
    this->monitor.tick(now);
    this->react(now);
}

void Scheduler::react(SteadyTime now)
{
    if (!this->isActive() || !this->board.configuration)
        return;
    const auto usable = [this](const BackendServer& server) { return this->monitor.isUsable(server); };
    this->advice.tick(usable, now);
    const bool ticketsChanged = this->advice.takeChanged();
    const bool serversChanged = this->serverEntries.takeChanged();
    const bool zonesChanged = this->zones.takeChanged();
    if (this->monitor.takeChanged() || ticketsChanged || serversChanged || zonesChanged)
        this->nextSchedule = std::min(this->nextSchedule, now);
    // Without a confirmed leadership nothing can be stored, so work stopped for others' sake would be lost for nothing.
    if (now >= this->nextSchedule && now >= this->earliestSchedule && this->leader.isConfirmed(now)
        && !this->board.evacuatedZones.isOutdated(now))
        this->schedule(now);
    this->watch(StoreTable::jobs, this->feeds.at(StoreTable::jobs), jobFeedWait, now);
    this->writer.flush(now);
}

void Scheduler::schedule(SteadyTime now)
{
    this->nextSchedule = SteadyTime::max();
    const Plan plan = this->planner.plan(
        this->board, [this](const BackendServer& server) { return this->monitor.isUsable(server); }, now);
    const SteadyTime done = this->clock();
    this->earliestSchedule = done + std::max<SteadyTime::duration>(scheduleInterval, (done - now) * pauseFactor);
    this->planLog.record(plan, now);
    for (const PlannedStop& stop : plan.stops) {
        this->tracker.requestStop(stop.task, "preempted for " + stop.forJob, now);
        this->monitor.orderStop(stop.task, now);
    }
    for (const PlannedStart& start : plan.starts) {
        Job& job = this->board.jobs.at(start.task.jobId);
        if (hasUsedAttempts(job, start.task))
            this->tracker.giveUp(job, exhaustionReason(job, start.task), now);
        if (!job.ended())
            this->startRun(start, now);
    }
}

void Scheduler::startRun(const PlannedStart& start, SteadyTime now)
{
    Job& job = this->board.jobs.at(start.task.jobId);
    Step& step = job.occurrences.at(start.task.occurrence).stepAt(start.task.step);
    Task& task = step.tasks.at(static_cast<std::size_t>(start.task.index));
    const StepSpecification& specification = this->board.stepOf(start.task);
    BackendServer& server = this->board.servers.at(start.server);
    int attempt = task.attempts + 1;
    if (specification.gang) {
        // All members of a gang share one attempt number and are placed in the same pass.
        for (const Task& member : step.tasks)
            attempt = std::max(attempt, member.attempts + (member.run ? 0 : 1));
    }
    task.attempts = attempt;
    task.phase = TaskPhase::Running;
    task.run = Run { .attempt = attempt,
        .server = start.server,
        .incarnation = server.incarnation,
        .machine = server.machine,
        .phase = RunPhase::Recording,
        .phaseSince = now,
        .checkpoint = specification.gang ? step.tasks.front().checkpoint : task.checkpoint };
    const auto ticket = step.advice.tickets.find(start.server);
    if (ticket != step.advice.tickets.end())
        task.run->ticket = ticket->second.text;
    step.advice.callsSinceStart = 0;
    ++step.running;
    server.occupants[start.task] = countedNeed(specification);
    this->tracker.markDirty(start.task);
    this->writer.recordStart(start.task, attempt);
    Utils::Json fields { { "task", formatTaskName(start.task) }, { "attempt", attempt }, { "server", start.server },
        { "incarnation", server.incarnation }, { "rack", server.rack },
        { "waitedMs", std::chrono::duration_cast<Duration>(now - task.waitingSince).count() },
        { "outlook", outlookName(step.outlook) }, { "checkpoint", task.run->checkpoint },
        { "configuration", this->board.configuration->version } };
    if (start.speed.preference != SpeedPreference::None) {
        fields["speed"] = Estimates::speedClassName(start.speedClass);
        fields["speedPreference"] = Placement::speedPreferenceName(start.speed.preference);
        fields["bearablePercent"] = std::lround(start.speed.bearable * 100);
    }
    this->effects.log(Event::RunPlaced, std::move(fields));
}

void Scheduler::handleStoredDecisions(const StoredDecisions& decisions, SteadyTime now)
{
    for (const RecordedStart& start : decisions.starts) {
        Task* task = this->board.findTask(start.task);
        if (!task || !task->run || task->run->attempt != start.attempt || task->run->phase != RunPhase::Recording)
            continue;
        task->run->phase = RunPhase::Ordered;
        task->run->phaseSince = now;
        task->run->orderedAt = now;
        this->monitor.orderStart(start.task, now);
    }
    for (const StoredDecisions::ServerEnds& ends : decisions.ends)
        this->monitor.acknowledgeEnds(ends.server, ends.lastNumber, ends.incarnation, now);
    for (const Row& row : this->retention.handleRemovedStates(decisions.removedStates))
        this->applyJobRow(row, now);
}

std::vector<ReportedSuccess> Scheduler::successesToReport(SteadyTime now)
{
    return this->leader.isLeader() ? std::vector<ReportedSuccess>() : this->board.unstoredSuccesses.nextBatch(now);
}

void Scheduler::applySuccesses(const std::vector<ReportedSuccess>& successes, SteadyTime now)
{
    if (!this->isActive())
        return;
    for (const ReportedSuccess& success : successes)
        this->tracker.successReported(success, now);
}

FleetSummary Scheduler::summary() const
{
    FleetSummary summary;
    for (const auto& [id, job] : this->board.jobs) {
        if (!job.ended() && !job.begun)
            ++summary.pending[job.record.host + ' ' + job.record.pathPrefix];
    }
    return summary;
}

} // namespace WisteriaHill::Scheduling
