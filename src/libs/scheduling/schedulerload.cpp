// How a new leader reads its state from the store; the rest of Scheduler is in scheduler.cpp.

#include "scheduling/rowcodec.h"
#include "scheduling/scheduler.h"

namespace WisteriaHill::Scheduling {

using Utils::Event;

void Scheduler::loadTables()
{
    ++this->loadGeneration;
    this->reader.begin();
    this->reader.read(this->options.serverTable, "");
    this->reader.read(StoreTable::jobs, StoreTable::intakePartition);
    this->reader.read(StoreTable::states, StoreTable::schedulerPartition);
    this->reader.read(StoreTable::progress, StoreTable::schedulerPartition);
    this->reader.read(StoreTable::runTimes, StoreTable::schedulerPartition);
}

void Scheduler::handleTable(TableContents contents, SteadyTime now)
{
    if (!this->leader.isLeader())
        return;
    this->feeds[contents.table].position = contents.position;
    if (this->loaded) {
        if (contents.table == this->options.serverTable)
            this->serverEntries.reload(contents.rows, now);
        else
            for (const Row& row : contents.rows)
                this->applyJobRow(row, now);
        this->feeds[contents.table].open = false;
        return;
    }
    this->loadedRows[contents.table] = std::move(contents.rows);
    constexpr std::size_t tables = 5;
    if (this->loadedRows.size() == tables)
        this->finishLoad(now);
}

void Scheduler::finishLoad(SteadyTime now)
{
    for (const Row& row : this->loadedRows[this->options.serverTable])
        this->serverEntries.apply(row, now);
    for (const Row& row : this->loadedRows[StoreTable::runTimes]) {
        if (Estimates::isSpeedRowKey(row.key.key) && Estimates::restoreSpeedRow(row.value, this->board.speeds, now))
            continue;
        const std::optional<RunTimeSums> sums = decodeRunTimes(row.value);
        if (!sums) {
            this->reportUnreadable(row);
            continue;
        }
        this->board.runTimes.restore(row.key.key, *sums);
        if (const std::optional<Estimates::QueueTimes> typical = decodeTypicalTimes(row.value))
            this->board.runTimes.restoreTypical(row.key.key, *typical);
    }
    this->tracker.applySpeeds();
    this->loadJobs(now);
    this->loadProgress(now);
    this->serverEntries.applyKept(now);
    for (const Row& row : this->loadedRows[StoreTable::jobs]) {
        if (jobOfCancelKey(row.key.key))
            this->applyJobRow(row, now);
    }
    this->loadedRows.clear();
    this->loaded = true;
    this->nextHousekeeping = SteadyTime(); // incomplete gangs are stopped before a member of them is started
    for (auto& [id, server] : this->board.servers)
        server.address.id = id;
    this->applySuccesses(this->board.unstoredSuccesses.takeAll(), now); // successes from an earlier term of this daemon
    for (auto& [id, job] : this->board.jobs) {
        for (auto& [index, occurrence] : job.occurrences) {
            for (Step& step : occurrence.steps)
                step.turnSince = std::min(step.turnSince, job.acceptedAt);
        }
    }
    this->endExhaustedJobs(now);
    this->crashes.begin();
    this->monitor.begin(this->leader.term(), now);
    this->effects.log(Event::SchedulerLoaded,
        { { "term", this->leader.term() }, { "jobs", this->board.jobs.size() },
            { "servers", this->board.servers.size() },
            { "configuration", this->board.configuration ? this->board.configuration->version : 0 } });
}

void Scheduler::reportUnreadable(const Row& row)
{
    this->effects.log(Event::RowUnreadable, { { "table", row.key.table }, { "key", row.key.key } });
}

void Scheduler::loadJobs(SteadyTime now)
{
    std::map<std::string, JobState> states;
    for (const Row& row : this->loadedRows[StoreTable::states]) {
        if (const std::optional<JobState> state = decodeState(row.value)) {
            states[row.key.key] = *state;
        } else {
            this->reportUnreadable(row);
            this->unreadableJobs.insert(row.key.key);
        }
    }
    std::set<std::string> begunJobs;
    for (const Row& row : this->loadedRows[StoreTable::progress])
        begunJobs.insert(jobOfProgressKey(row.key.key));
    std::set<std::string> jobsWithRow;
    for (const Row& row : this->loadedRows[StoreTable::jobs]) {
        if (jobOfCancelKey(row.key.key))
            continue;
        jobsWithRow.insert(row.key.key);
        if (this->unreadableJobs.contains(row.key.key))
            continue;
        const std::optional<JobRecord> record = decodeJob(row.value);
        if (!record) {
            this->reportUnreadable(row);
            continue;
        }
        const auto state = states.find(record->id);
        if (state == states.end() && !begunJobs.contains(record->id)
            && this->retention.isLeftover(*record, this->storeClock.at(now), this->wallNow)) {
            this->retention.removeLeftover(row);
            continue;
        }
        this->tracker.addJob(*record, row.version, state == states.end() ? JobState::Queued : state->second,
            this->toSteadyTime(record->acceptedAt, now), now);
    }
    this->removeOrphans(jobsWithRow);
}

void Scheduler::removeOrphans(const std::set<std::string>& jobsWithRow)
{
    for (const Row& row : this->loadedRows[StoreTable::states]) {
        if (!jobsWithRow.contains(row.key.key))
            this->retention.removeOrphan(row.key);
    }
    std::erase_if(this->loadedRows[StoreTable::progress], [&](const Row& row) {
        if (jobsWithRow.contains(jobOfProgressKey(row.key.key)))
            return false;
        this->retention.removeOrphan(row.key);
        return true;
    });
}

void Scheduler::loadProgress(SteadyTime now)
{
    std::map<std::pair<std::string, int>, std::map<int, std::string>> rows; // by job and occurrence, then by number
    for (Row& row : this->loadedRows[StoreTable::progress]) {
        const std::string jobId = jobOfProgressKey(row.key.key);
        const std::optional<int> occurrence = occurrenceOfProgressKey(row.key.key);
        const std::optional<int> number = rowOfProgressKey(row.key.key);
        if (occurrence && number)
            rows[{ jobId, *occurrence }][*number] = std::move(row.value);
        else
            this->reportUnreadable(row);
    }
    for (const auto& [name, texts] : rows) {
        const auto& [jobId, occurrence] = name;
        if (this->unreadableJobs.contains(jobId) || !this->board.jobs.contains(jobId)
            || this->tracker.restoreOccurrence(jobId, occurrence, texts, now))
            continue;
        this->reportUnreadable(
            { .key = { StoreTable::progress, StoreTable::schedulerPartition, progressKey(jobId, occurrence) } });
        this->unreadableJobs.insert(jobId);
        this->board.dirtyJobs.erase(jobId);
        this->tracker.removeJob(jobId);
    }
}

} // namespace WisteriaHill::Scheduling
