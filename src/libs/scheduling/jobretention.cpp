#include "scheduling/jobretention.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

constexpr Duration storeTimeout { 800 };
constexpr Duration retryPause { 500 };
/// Each job takes three of the 100 entries of a transaction: its expected row, its row and its cancellation.
constexpr std::size_t jobsPerTransaction = 30;
/// A job accepted this much later than the store's present time was accepted before the store's clock began anew.
constexpr Duration clockTolerance { 5000 };

RowKey jobRow(const std::string& id) { return { StoreTable::jobs, StoreTable::intakePartition, id }; }

} // namespace

void JobRetention::begin()
{
    ++this->generation;
    this->callOpen = false;
    this->due.clear();
    this->leftovers.clear();
    this->separately.clear();
    this->stateRemovals.clear();
    this->submittedAgain.clear();
    this->removed.clear();
}

bool JobRetention::isLeftover(const JobRecord& record, StoreTime storeNow, WallTime wallNow) const
{
    if (this->leadership.leftoversAreRemoved())
        return false;
    if (record.specification.occurrences > 0)
        return record.specification.firstDue + this->retention < wallNow;
    return record.acceptedAt + this->retention < storeNow || record.acceptedAt > storeNow + clockTolerance;
}

void JobRetention::removeLeftover(const Row& row)
{
    this->leftovers[row.key.key] = row.version;
    this->effects.log(Event::JobRemoved,
        { { "job", row.key.key }, { "rowVersion", row.version }, { "reason", "left by an earlier release" } });
}

bool JobRetention::claimsRow(const Row& row, SteadyTime now)
{
    const std::string& id = row.key.key;
    const auto gone = this->removed.find(id);
    if (gone != this->removed.end() && row.version <= gone->second.version)
        return true;
    const auto leftover = this->leftovers.find(id);
    if (leftover != this->leftovers.end() && row.version <= leftover->second)
        return true;
    const auto job = this->board.jobs.find(id);
    if (job == this->board.jobs.end() || !job->second.ended() || row.version <= job->second.rowVersion)
        return false;
    this->submittedAgain[id] = row;
    if (!this->stateRemovals.contains(id))
        this->handleRemovedRow(id, job->second.rowVersion, now); // by an earlier leader, or its answer is under way
    return true;
}

void JobRetention::findDue(SteadyTime now)
{
    this->due = this->leftovers;
    for (auto& [id, job] : this->board.jobs) {
        if (!job.ended() || job.storedState != job.state || this->board.dirtyJobs.contains(id)
            || !JobTracker::hasNoRuns(job))
            continue;
        if (!job.occurrences.empty())
            this->writer.removeProgress(job);
        if (now - job.finishedAt > this->retention && !this->stateRemovals.contains(id))
            this->due[id] = job.rowVersion;
    }
}

void JobRetention::tick(SteadyTime now)
{
    std::erase_if(this->removed, [&](const auto& entry) { return now - entry.second.at > this->retention; });
    if (this->callOpen)
        return;
    this->findDue(now);
    this->removeNext(now);
}

void JobRetention::removeNext(SteadyTime now)
{
    if (this->callOpen || now < this->nextCall || this->due.empty())
        return;
    const auto single
        = std::ranges::find_if(this->due, [&](const auto& job) { return this->separately.contains(job.first); });
    RowVersions batch;
    if (single != this->due.end())
        batch.insert(*single);
    for (auto job = this->due.begin();
         single == this->due.end() && job != this->due.end() && batch.size() < jobsPerTransaction; ++job)
        batch.insert(*job);
    Transaction transaction;
    for (const auto& [id, version] : batch) {
        this->due.erase(id);
        transaction.expected.push_back({ jobRow(id), version });
        transaction.removals.push_back(jobRow(id));
        transaction.removals.push_back(jobRow(cancelKey(id)));
    }
    this->callOpen = true;
    this->effects.push(CommitCall { .transaction = std::move(transaction),
        .timeout = storeTimeout,
        .done = [this, batch, term = this->generation](const CommitResult& result) {
            if (term == this->generation && this->leadership.isLeader())
                this->handleResult(batch, result);
        } });
}

void JobRetention::handleResult(const RowVersions& batch, const CommitResult& result)
{
    const SteadyTime now = this->clock();
    this->callOpen = false;
    if (std::holds_alternative<StoreError>(result)) {
        this->nextCall = now + retryPause;
        return;
    }
    // A conflict does not tell which of several rows are missing. The row of a single job was removed, by a transaction
    // whose answer was lost or by an earlier leader.
    if (std::holds_alternative<Conflict>(result) && batch.size() > 1) {
        for (const auto& [id, version] : batch) {
            this->separately.insert(id);
            this->due[id] = version;
        }
    } else {
        for (const auto& [id, version] : batch)
            this->handleRemovedRow(id, version, now);
    }
    this->removeNext(now);
}

void JobRetention::handleRemovedRow(const std::string& id, RowVersion version, SteadyTime now)
{
    this->separately.erase(id);
    this->removed[id] = { version, now };
    if (this->leftovers.erase(id) > 0)
        return;
    const auto job = this->board.jobs.find(id);
    if (job == this->board.jobs.end() || !this->stateRemovals.insert(id).second)
        return;
    this->effects.log(Event::JobRemoved,
        { { "job", id }, { "rowVersion", version }, { "state", jobStateName(job->second.state) },
            { "endedMsAgo", std::chrono::duration_cast<Duration>(now - job->second.finishedAt).count() } });
    this->crashes.forgetJob(job->second);
    this->writer.removeState(id);
}

std::vector<Row> JobRetention::handleRemovedStates(const std::vector<std::string>& ids)
{
    std::vector<Row> again;
    for (const std::string& id : ids) {
        if (this->stateRemovals.erase(id) == 0)
            continue;
        this->board.jobs.erase(id);
        if (const auto row = this->submittedAgain.extract(id))
            again.push_back(row.mapped());
    }
    return again;
}

} // namespace WisteriaHill::Scheduling
