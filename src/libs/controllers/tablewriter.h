/// Conditional writes of single rows, many in one transaction: the next transaction leaves when the previous one is
/// settled and carries all that waits. A write whose answer was lost is read back until it is settled.
#pragma once

#include "controllers/outbox.h"
#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <deque>
#include <map>

namespace WisteriaHill::Controllers {

/// The row has the new value; version zero after a deletion.
struct RowWritten {
    Model::RowVersion version = 0;
};

/// Another writer was first; the row as it is now, version zero if absent.
struct RowConflict {
    Model::TableRow current;
};

using RowOutcome = std::variant<RowWritten, RowConflict>;

/// Names a write that waits.
using WriteId = std::uint64_t;

/// The order in which writes leave when the table service is slow.
enum class WritePriority {
    Claim,
    Job,
    Session,
    Housekeeping,
};

/// One row's change. The value must differ from every other write of the row, so that it can be recognised.
struct RowChange {
    std::string key;
    Model::RowVersion expected = 0;
    std::optional<std::string> value; ///< none deletes the row
    WritePriority priority = WritePriority::Job;
};

/// Thread safety: none.
class TableWriter {
public:
    TableWriter(Model::Blackboard& blackboard, Outbox& outbox, Utils::RandomSource& random);

    /// Queues a change; `done` is called once it is settled, however long that takes.
    WriteId write(RowChange change, Continuation<RowOutcome> done, SteadyTime now);

    /// Takes a change back. True if it was never sent, so that it provably has no effect; `done` is not called then.
    bool cancel(WriteId write);

    /// True while a new write is likely to be settled soon.
    bool available() const { return this->blackboard.tableAvailable; }

    /// Changes that are not settled.
    std::size_t pending() const { return this->waiting.size() + this->inFlight.size(); }

    void tick(SteadyTime now);

private:
    struct PendingWrite {
        WriteId id = 0;
        RowChange change;
        Continuation<RowOutcome> done;
        bool mayArriveLate = false; ///< sent once without an answer
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
    bool readBackDue = false;
    SteadyTime retryAt;
    std::uint32_t consecutiveFailures = 0; ///< in a row
    WriteId lastId = 0;
};

} // namespace WisteriaHill::Controllers
