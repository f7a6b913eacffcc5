/// Stores the scheduler's decisions: one transaction at a time, each expecting the leadership row of the one before.
#pragma once

#include "scheduling/board.h"
#include "scheduling/leadership.h"

#include <functional>
#include <vector>

namespace WisteriaHill::Scheduling {

/// A run whose record is to be stored before its start is ordered.
struct RecordedStart {
    TaskName task;
    int attempt = 0;
};

/// What a transaction made durable.
struct StoredDecisions {
    struct ServerEnds {
        std::string server;
        std::int64_t incarnation = 0;
        std::int64_t lastNumber = 0;
    };
    std::vector<RecordedStart> starts; ///< runs whose record is stored now
    std::vector<ServerEnds> ends; ///< ends of runs that servers may forget
};

/// Thread safety: none.
class StateWriter {
public:
    StateWriter(Board& board, Effects& effects, Leadership& leadership)
        : board(board)
        , effects(effects)
        , leadership(leadership)
    {
    }

    void onStored(std::function<void(const StoredDecisions&, SteadyTime)> handler)
    {
        this->storedHandler = std::move(handler);
    }
    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// Begins a term.
    void begin(SteadyTime now);

    /// Notes a run to be recorded by the next transaction.
    void recordStart(const TaskName& name, int attempt) { this->starts.push_back({ name, attempt }); }

    /// Sends the next transaction when something is to be stored or the leadership is to be renewed.
    void flush(SteadyTime now);

    /// The leadership row is given up with the next transaction. `done` is called when that is settled.
    void releaseLeadership(std::function<void()> done);

    /// Removes the rows of the job's occurrences, which an ended job without runs does not need.
    void removeProgress(Job& job);

    /// Removes the rows of a job that nobody may ask for any more.
    void removeJob(const Job& job);

private:
    struct Batch {
        std::uint64_t generation = 0;
        Transaction transaction;
        LeadershipRow row;
        StoredDecisions decisions;
        std::vector<std::pair<std::string, JobState>> states;
    };

    void collect(Batch& batch);
    void collectRunTimes(Batch& batch, SteadyTime now);
    void collectOccurrence(Batch& batch, const std::string& jobId, Occurrence& occurrence);
    void send(Batch batch);
    void handleCommitResult(Batch& batch, const CommitResult& result);
    void handleCommitted(const Batch& batch, RowVersion version, SteadyTime now);

    Board& board;
    Effects& effects;
    Leadership& leadership;
    std::function<void(const StoredDecisions&, SteadyTime)> storedHandler;
    std::function<SteadyTime()> clock;
    std::uint64_t generation = 0; ///< of the term, so that answers of an earlier one are ignored
    bool transactionOpen = false;
    std::optional<Batch> unconfirmed; ///< had no answer; is sent again until it is settled
    SteadyTime retryAt {};
    SteadyTime storedAt {};
    SteadyTime runTimesStoredAt {};
    std::vector<RecordedStart> starts;
    std::vector<RowKey> removals;
    std::function<void()> releaseCallback;
};

} // namespace WisteriaHill::Scheduling
