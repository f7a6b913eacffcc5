/// Writes single rows conditionally, many in one transaction. The next transaction is sent when the previous one is
/// settled, and carries the waiting writes of different rows. A write whose answer was lost is read back to settle it.
#pragma once

#include "controllers/outbox.h"
#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <deque>
#include <map>

namespace WisteriaHill::Controllers {

/// The write took effect; version zero after a deletion.
struct RowWritten {
    Model::RowVersion version = 0;
};

/// Another writer changed the row first. `current` is the row as read; version zero if it is absent.
struct RowConflict {
    Model::TableRow current;
};

using RowOutcome = std::variant<RowWritten, RowConflict>;

/// Identifies a write of this writer.
using WriteId = std::uint64_t;

/// The order in which waiting writes are sent when the table service is slow, first to last.
enum class WritePriority {
    Claim,
    Job,
    Session,
    Housekeeping,
};

/// One row's change. The value must differ from every other write of the row, so that a read-back can tell whose write
/// took effect.
struct RowChange {
    std::string key;
    Model::RowVersion expected = 0; ///< zero if the row must not exist
    std::optional<std::string> value; ///< empty to delete the row
    WritePriority priority = WritePriority::Job;
};

/// Thread safety: none.
class TableWriter {
public:
    TableWriter(Model::Blackboard& blackboard, Outbox& outbox, Utils::RandomSource& random);

    /// Queues a change. `done` is called when it is settled, however long that takes.
    WriteId write(RowChange change, Continuation<RowOutcome> done, SteadyTime now);

    /// Withdraws a change. True if it was never sent, so that it provably has no effect; `done` is not called then.
    bool cancel(WriteId write);

    /// True while the table service answers, so that a new write is likely to be settled soon.
    bool available() const { return this->blackboard.tableAvailable; }

    /// The number of changes that are not settled.
    std::size_t pending() const { return this->waiting.size() + this->inFlight.size(); }

    void tick(SteadyTime now);

private:
    struct PendingWrite {
        WriteId id = 0;
        RowChange change;
        Continuation<RowOutcome> done;
        bool mayArriveLate = false; ///< an earlier transaction with it was not answered and may still take effect
    };
    using Batch = std::vector<PendingWrite>;

    void sendNext(SteadyTime now);
    void onTransaction(const Model::TableAnswer& answer, SteadyTime now);
    void onReadBack(const Model::TableAnswer& answer, SteadyTime now);
    void readBack(SteadyTime now);
    void settleAll(const Model::TableCommitted& committed, SteadyTime now);
    void settleConflicts(const Model::TableConflict& conflict, SteadyTime now);
    void settleFromRow(
        PendingWrite write, const Model::TableRow& row, std::vector<std::pair<PendingWrite, RowOutcome>>& settled);
    static void runContinuations(const std::vector<std::pair<PendingWrite, RowOutcome>>& settled, SteadyTime now);
    void requeue(PendingWrite write);
    void onCallFailed(SteadyTime now);
    void onCallSucceeded();

    Model::Blackboard& blackboard;
    Outbox& outbox;
    Utils::RandomSource& random;
    std::map<std::pair<WritePriority, WriteId>, PendingWrite> waiting;
    Batch inFlight;
    bool callOpen = false;
    bool readBackDue = false; ///< the writes in flight have to be read back before others are sent
    SteadyTime retryAt;
    std::uint32_t consecutiveFailures = 0;
    WriteId lastId = 0;
};

} // namespace WisteriaHill::Controllers
