/// Calls to the transactional state store and their results. A platform adapter makes the calls.
#pragma once

#include "scheduling/fleetjob.h"

#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace WisteriaHill::Scheduling {

/// A version of a row; 0 stands for a row that does not exist.
using RowVersion = std::uint64_t;

struct RowKey {
    std::string table;
    std::string partition;
    std::string key;

    auto operator<=>(const RowKey&) const = default; // NOLINT(modernize-use-nullptr): false alarm on <=>
};

struct Row {
    RowKey key;
    std::string value;
    RowVersion version = 0;
    bool removed = false; ///< set in change feeds only
};

struct ExpectedRow {
    RowKey key;
    RowVersion version = 0;
};

struct WrittenRow {
    RowKey key;
    std::string value;
};

/// Applied atomically. All rows share one partition.
struct Transaction {
    std::vector<ExpectedRow> expected;
    std::vector<WrittenRow> writes;
    std::vector<RowKey> removals;
};

struct Committed {
    RowVersion version = 0; ///< new version of every row written
};

/// An expected version did not match; nothing was written.
struct Conflict {
    std::vector<Row> current;
};

enum class StoreError {
    Rejected, ///< the store refused the call for now; nothing was or will be done
    Invalid, ///< the store will never accept the call, for instance because a row is too large; nothing was done
    Unknown, ///< no answer; the call may have been carried out or may still be
};

using CommitResult = std::variant<Committed, Conflict, StoreError>;

/// Most rows in one answer of the store.
inline constexpr int rowsPerPage = 500;

struct RowRange {
    std::string table;
    std::string partition;
    std::string from;
    std::string to; ///< excluded; empty for no end
    int limit = rowsPerPage;
};

/// A key that sorts after `key` and before all longer keys that begin with it.
inline std::string keyAfter(const std::string& key) { return key + '\x01'; }

/// The range that holds one row.
inline RowRange singleRow(const RowKey& key)
{
    return { .table = key.table, .partition = key.partition, .from = key.key, .to = keyAfter(key.key), .limit = 1 };
}

struct RowPage {
    std::vector<Row> rows;
    bool more = false;
    RowVersion version = 0; ///< newest version in the store when the page was read
};

/// The store no longer has the requested changes; the whole table must be read again.
struct HistoryCompacted { };

using ReadResult = std::variant<RowPage, StoreError>;
using WatchResult = std::variant<RowPage, HistoryCompacted, StoreError>;

/// A transaction to commit. `done` of each kind of call is called exactly once.
struct CommitCall {
    Transaction transaction;
    Duration timeout { 0 };
    std::function<void(CommitResult)> done;
};

struct ReadCall {
    RowRange range;
    Duration timeout { 0 };
    bool inTurn = true; ///< when false, the call does not wait for other reads; for small, rare ones that are urgent
    std::function<void(std::size_t)> received {}; ///< optional; called with the number of bytes as they arrive
    std::function<void(ReadResult)> done;
};

struct WatchCall {
    std::string table;
    RowVersion after = 0;
    Duration wait { 0 }; ///< longest time until the answer when nothing changes
    std::function<void(std::size_t)> received {}; ///< optional; called with the number of bytes as they arrive
    std::function<void(WatchResult)> done;
};

/// Store tables and partitions that belong to the fleet.
namespace StoreTable {
inline constexpr const char* jobs = "jobs"; ///< written by entry hosts
inline constexpr const char* progress = "progress"; ///< written by the scheduler
inline constexpr const char* states = "states"; ///< written by the scheduler
inline constexpr const char* runTimes = "runtimes"; ///< by queue; written by the scheduler
inline constexpr const char* leadership = "leadership"; ///< written by candidates and the scheduler
inline constexpr const char* members = "members"; ///< written by each daemon
inline constexpr const char* schedulerPartition = "scheduler";
inline constexpr const char* intakePartition = "intake";
} // namespace StoreTable

} // namespace WisteriaHill::Scheduling
