#include "scheduling/statewriter.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

constexpr std::size_t bytesPerTransaction = 500'000; ///< the store's limit is 1 MB of base64
constexpr std::size_t removalsPerTransaction = 20; ///< leaves most entries to decisions
constexpr Duration renewalInterval { 400 }; ///< well under the row time-out of the followers
/// Shortest interval at which run times are added to a transaction that is sent anyway; a new leader learns the rest
/// again.
constexpr Duration runTimesInterval { 2000 };
/// Rows of speeds that are added with them.
constexpr std::size_t speedRowsPerInterval = 8;
constexpr Duration storeTimeout { 800 };
constexpr Duration retryPause { 50 };
constexpr int maximumInvalidRows = 3; ///< a relay between may refuse a call too

RowKey schedulerRow(const char* table, std::string key)
{
    return { table, StoreTable::schedulerPartition, std::move(key) };
}

} // namespace

void StateWriter::begin(SteadyTime now)
{
    ++this->generation;
    this->entryLimit = entriesPerTransaction;
    this->invalidRows = 0;
    this->transactionOpen = false;
    this->unconfirmed.reset();
    this->starts.clear();
    this->removals.clear();
    this->storedAt = now;
}

void StateWriter::releaseLeadership(std::function<void()> done) { this->releaseCallback = std::move(done); }

void StateWriter::removeProgress(Job& job)
{
    for (const auto& [index, occurrence] : job.occurrences) {
        for (const int row : occurrence.storedRows)
            this->removals.push_back(schedulerRow(StoreTable::progress, progressKey(job.record.id, index, row)));
    }
    job.occurrences.clear();
}

void StateWriter::removeState(const std::string& jobId) { this->remove(schedulerRow(StoreTable::states, jobId)); }

bool StateWriter::isFull(const Batch& batch) const
{
    return batch.transaction.writes.size() >= this->entryLimit || batch.bytes >= bytesPerTransaction;
}

bool StateWriter::collectOccurrence(Batch& batch, const std::string& jobId, Occurrence& occurrence)
{
    // The last row goes first: earlier releases stored all tasks in the first one.
    while (!occurrence.dirtyRows.empty() && !this->isFull(batch)) {
        const int row = *occurrence.dirtyRows.rbegin();
        batch.transaction.writes.push_back(
            { schedulerRow(StoreTable::progress, progressKey(jobId, occurrence.index, row)),
                encodeProgress(occurrence, row) });
        batch.progress.push_back({ jobId, occurrence.index, row });
        batch.bytes += batch.transaction.writes.back().value.size();
        occurrence.dirtyRows.erase(row);
        occurrence.storedRows.insert(row);
    }
    return occurrence.dirtyRows.empty();
}

void StateWriter::collect(Batch& batch)
{
    bool complete = true;
    std::erase_if(this->board.dirtyJobs, [&](const std::string& id) {
        const auto found = this->board.jobs.find(id);
        if (found == this->board.jobs.end())
            return true;
        Job& job = found->second;
        bool stored = true;
        for (auto& [index, occurrence] : job.occurrences) {
            if (job.unstorable)
                occurrence.dirtyRows.clear();
            stored = this->collectOccurrence(batch, id, occurrence) && stored;
        }
        if (job.stateDirty && !this->isFull(batch)) {
            job.stateDirty = false;
            batch.states.emplace_back(id, job.state);
            batch.transaction.writes.push_back({ schedulerRow(StoreTable::states, id), encodeState(job.state) });
        }
        stored = stored && !job.stateDirty;
        complete = complete && stored;
        return stored;
    });
    std::erase_if(this->starts, [&](const RecordedStart& start) {
        const Task* task = this->board.findTask(start.task);
        if (!task || !task->run || task->run->phase != RunPhase::Recording || task->run->attempt != start.attempt)
            return true;
        const Occurrence& occurrence = this->board.jobs.at(start.task.jobId).occurrences.at(start.task.occurrence);
        if (occurrence.dirtyRows.contains(occurrence.rowOf(start.task.step, start.task.index)))
            return false;
        batch.decisions.starts.push_back(start);
        return true;
    });
    if (complete) {
        for (const auto& [id, server] : this->board.servers) {
            if (server.lastProcessedEnd > server.lastStoredEnd)
                batch.decisions.ends.push_back(
                    { .server = id, .incarnation = server.incarnation, .lastNumber = server.lastProcessedEnd });
        }
    }
    const std::size_t removable = std::min({ this->removals.size(), removalsPerTransaction,
        this->entryLimit - std::min(this->entryLimit, batch.transaction.writes.size()) });
    batch.transaction.removals.assign(
        this->removals.begin(), this->removals.begin() + static_cast<std::ptrdiff_t>(removable));
    this->removals.erase(this->removals.begin(), this->removals.begin() + static_cast<std::ptrdiff_t>(removable));
    for (const RowKey& key : batch.transaction.removals) {
        if (key.table == StoreTable::states)
            batch.decisions.removedStates.push_back(key.key);
    }
}

void StateWriter::collectRunTimes(Batch& batch, SteadyTime now)
{
    if ((this->board.dirtyRunTimes.empty() && !this->board.speedRows.isDue())
        || now - this->runTimesStoredAt < runTimesInterval)
        return;
    this->runTimesStoredAt = now;
    const auto& queues = this->board.runTimes.all();
    std::erase_if(this->board.dirtyRunTimes, [&](const std::string& queue) {
        if (batch.transaction.writes.size() + batch.transaction.removals.size() >= this->entryLimit)
            return false;
        batch.runTimes.push_back(queue);
        batch.transaction.writes.push_back({ schedulerRow(StoreTable::runTimes, queue),
            encodeRunTimes(queues.at(queue), this->board.runTimes.typicalOf(queue)) });
        return true;
    });
    const std::size_t entries = batch.transaction.writes.size() + batch.transaction.removals.size();
    const std::size_t room = this->entryLimit - std::min(this->entryLimit, entries);
    for (const Estimates::SpeedRowName& name : this->board.speedRows.take(std::min(room, speedRowsPerInterval))) {
        batch.transaction.writes.push_back({ schedulerRow(StoreTable::runTimes, Estimates::speedRowKey(name)),
            Estimates::encodeSpeedRow(this->board.speeds, name) });
        batch.speeds.push_back(name);
    }
}

void StateWriter::flush(SteadyTime now)
{
    if (this->transactionOpen || !this->leadership.isLeader() || now < this->retryAt)
        return;
    if (this->unconfirmed) {
        Batch batch = std::move(*this->unconfirmed);
        this->unconfirmed.reset();
        this->send(std::move(batch));
        return;
    }
    Batch batch { .generation = this->generation };
    this->collect(batch);
    if (batch.transaction.writes.empty() && batch.transaction.removals.empty()) {
        // End records that changed nothing need no transaction.
        if (!batch.decisions.ends.empty())
            this->storedHandler(batch.decisions, now);
        if (now - this->storedAt < renewalInterval && !this->releaseCallback)
            return;
        batch.decisions.ends.clear();
    }
    this->collectRunTimes(batch, now);
    batch.row = this->leadership.nextRow();
    if (this->releaseCallback)
        batch.row.holder.clear();
    batch.transaction.expected.push_back({ Leadership::rowKey(), this->leadership.currentVersion() });
    batch.transaction.writes.push_back({ Leadership::rowKey(), encodeLeadership(batch.row) });
    this->send(std::move(batch));
}

void StateWriter::send(Batch batch)
{
    this->transactionOpen = true;
    if (!batch.sentAt)
        batch.sentAt = this->clock();
    const Transaction transaction = batch.transaction;
    this->effects.push(CommitCall { .transaction = transaction,
        .timeout = storeTimeout,
        .done = [this, batch = std::move(batch)](const CommitResult& result) mutable {
            if (batch.generation == this->generation)
                this->handleCommitResult(batch, result);
        } });
}

void StateWriter::handleCommitResult(Batch& batch, const CommitResult& result)
{
    const SteadyTime now = this->clock();
    this->transactionOpen = false;
    if (!this->leadership.isLeader())
        return;
    if (const auto* committed = std::get_if<Committed>(&result)) {
        this->handleCommitted(batch, committed->version, now);
        return;
    }
    if (const auto* conflict = std::get_if<Conflict>(&result)) {
        for (const Row& current : conflict->current) {
            const std::optional<LeadershipRow> row = decodeLeadership(current.value);
            if (row && *row == batch.row) {
                // An earlier attempt of this transaction was carried out and its answer was lost.
                this->handleCommitted(batch, current.version, now);
                return;
            }
        }
        this->leadership.stepDown(now, "the leadership row was changed by another daemon");
        return;
    }
    this->effects.log(Event::DecisionsUnstored,
        { { "entries", batch.transaction.writes.size() + batch.transaction.removals.size() },
            { "starts", batch.decisions.starts.size() }, { "ends", batch.decisions.ends.size() },
            { "answered", std::get<StoreError>(result) != StoreError::Unknown },
            { "invalid", std::get<StoreError>(result) == StoreError::Invalid },
            { "ageMs", std::chrono::duration_cast<Duration>(now - *batch.sentAt).count() } });
    this->retryAt = now + retryPause;
    if (std::get<StoreError>(result) == StoreError::Invalid)
        this->handleInvalid(batch, now);
    else
        this->unconfirmed = std::move(batch);
}

void StateWriter::handleInvalid(Batch& batch, SteadyTime now)
{
    const std::size_t entries = batch.transaction.writes.size() - 1 + batch.transaction.removals.size();
    this->entryLimit = std::max<std::size_t>(entries / 2, 1);
    this->invalidRows = entries <= 1 ? this->invalidRows + 1 : 0;
    if (this->invalidRows >= maximumInvalidRows) {
        this->invalidRows = 0;
        this->dropInvalidRow(batch, now);
        return;
    }
    for (const ProgressRow& stored : batch.progress) {
        const auto job = this->board.jobs.find(stored.jobId);
        if (job == this->board.jobs.end())
            continue;
        if (const auto found = job->second.occurrences.find(stored.occurrence); found != job->second.occurrences.end())
            found->second.dirtyRows.insert(stored.row);
        this->board.dirtyJobs.insert(stored.jobId);
    }
    for (const auto& [id, state] : batch.states) {
        if (const auto job = this->board.jobs.find(id); job != this->board.jobs.end()) {
            job->second.stateDirty = true;
            this->board.dirtyJobs.insert(id);
        }
    }
    this->board.dirtyRunTimes.insert(batch.runTimes.begin(), batch.runTimes.end());
    for (const Estimates::SpeedRowName& name : batch.speeds)
        this->board.speedRows.putBack(name);
    this->starts.insert(this->starts.begin(), batch.decisions.starts.begin(), batch.decisions.starts.end());
    this->removals.insert(this->removals.begin(), batch.transaction.removals.begin(), batch.transaction.removals.end());
}

void StateWriter::dropInvalidRow(const Batch& batch, SteadyTime now)
{
    const bool isProgress = !batch.progress.empty();
    const WrittenRow& row = batch.transaction.writes.front();
    this->effects.log(
        Event::RowRefused, { { "table", row.key.table }, { "key", row.key.key }, { "bytes", row.value.size() } });
    if (!isProgress)
        return;
    const auto job = this->board.jobs.find(batch.progress.front().jobId);
    if (job == this->board.jobs.end())
        return;
    job->second.unstorable = true;
    this->unstorableHandler(job->first, now);
}

void StateWriter::handleCommitted(const Batch& batch, RowVersion version, SteadyTime now)
{
    this->storedAt = now;
    this->invalidRows = 0;
    this->entryLimit = std::min(entriesPerTransaction, this->entryLimit * 2);
    this->leadership.rowWritten(batch.row, version, *batch.sentAt);
    for (const auto& [id, state] : batch.states) {
        const auto job = this->board.jobs.find(id);
        if (job != this->board.jobs.end())
            job->second.storedState = state;
    }
    if (batch.row.holder.empty()) {
        this->leadership.stepDown(now, "released");
        if (this->releaseCallback)
            std::exchange(this->releaseCallback, nullptr)();
        return;
    }
    this->storedHandler(batch.decisions, now);
    this->flush(now);
}

} // namespace WisteriaHill::Scheduling
