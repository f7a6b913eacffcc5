/// Stores the scheduler's decisions in one transaction at a time; each expects the leadership row that the last one
/// wrote.
#pragma once

#include "scheduling/board.h"
#include "scheduling/leadership.h"

#include <functional>
#include <vector>

namespace WisteriaHill::Scheduling {

/// A run whose record must be stored before its start is ordered.
struct RecordedStart {
    TaskName task;
    int attempt = 0;
};

/// What a transaction made durable.
struct StoredDecisions {
    struct ServerEnds {
        std::string server;
        std::int64_t incarnation = 0;
        std::int64_t lastNumber = 0; ///< the server may discard its end records up to this number
    };
    std::vector<RecordedStart> starts; ///< runs whose records are now stored
    std::vector<ServerEnds> ends; ///< end records that servers may discard
    std::vector<std::string> removedStates; ///< ids of jobs whose states are removed
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
    /// `handler` is called when the store refuses a row of the job's progress as invalid; none of it is stored from
    /// then on.
    void onUnstorable(std::function<void(const std::string& jobId, SteadyTime)> handler)
    {
        this->unstorableHandler = std::move(handler);
    }
    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// Starts a term and discards the decisions that an earlier term has not stored.
    void begin(SteadyTime now);

    /// Adds a run to be recorded by the next transaction.
    void recordStart(const TaskName& name, int attempt) { this->starts.push_back({ name, attempt }); }

    /// Sends the next transaction when there is something to store or the leadership is due for renewal.
    void flush(SteadyTime now);

    /// Makes the next transaction release the leadership row. `done` is called when that transaction is committed,
    /// and not at all when the leadership is lost before.
    void releaseLeadership(std::function<void()> done);

    /// Removes the rows of the job's occurrences, which an ended job without runs does not need.
    void removeProgress(Job& job);

    /// Removes the state of a job. Precondition: its row is removed.
    void removeState(const std::string& jobId);

    /// Removes a row of the scheduler's partition.
    void remove(const RowKey& key) { this->removals.push_back(key); }

private:
    static constexpr std::size_t entriesPerTransaction = 90; ///< the store's limit is 100, expected rows included

    struct ProgressRow {
        std::string jobId;
        int occurrence = 0;
        int row = 0;
    };

    struct Batch {
        std::uint64_t generation = 0;
        std::optional<SteadyTime> sentAt; ///< when the transaction was sent for the first time
        Transaction transaction;
        std::size_t bytes = 0; ///< of the rows of progress
        LeadershipRow row;
        StoredDecisions decisions;
        std::vector<ProgressRow> progress;
        std::vector<std::pair<std::string, JobState>> states;
        std::vector<std::string> runTimes; ///< names of queues
        std::vector<Estimates::SpeedRowName> speeds;
    };

    void collect(Batch& batch);
    void collectRunTimes(Batch& batch, SteadyTime now);
    /// Adds the outdated rows of an occurrence, up to the batch's limits. Returns false when some are left.
    bool collectOccurrence(Batch& batch, const std::string& jobId, Occurrence& occurrence);
    bool isFull(const Batch& batch) const;
    void send(Batch batch);
    void handleCommitResult(Batch& batch, const CommitResult& result);
    /// Divides a transaction that the store will never accept, until the row at fault is alone.
    void handleInvalid(Batch& batch, SteadyTime now);
    void dropInvalidRow(const Batch& batch, SteadyTime now);
    void handleCommitted(const Batch& batch, RowVersion version, SteadyTime now);

    Board& board;
    Effects& effects;
    Leadership& leadership;
    std::function<void(const StoredDecisions&, SteadyTime)> storedHandler;
    std::function<void(const std::string&, SteadyTime)> unstorableHandler;
    std::function<SteadyTime()> clock;
    std::size_t entryLimit = entriesPerTransaction; ///< lower after a transaction was refused as invalid
    int invalidRows = 0; ///< refusals in a row of a transaction with a single row
    std::uint64_t generation = 0; ///< number of the term; answers of earlier terms are ignored
    bool transactionOpen = false;
    std::optional<Batch> unconfirmed; ///< failed or had no answer; resent until it commits or conflicts
    SteadyTime retryAt {};
    SteadyTime storedAt {};
    SteadyTime runTimesStoredAt {};
    std::vector<RecordedStart> starts;
    std::vector<RowKey> removals;
    std::function<void()> releaseCallback;
};

} // namespace WisteriaHill::Scheduling
