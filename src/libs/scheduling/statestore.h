/// Values exchanged with the transactional state store. The adapter of a platform carries them out.
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

/// Applied whole or not at all. All rows share one partition.
struct Transaction {
    std::vector<ExpectedRow> expected;
    std::vector<WrittenRow> writes;
    std::vector<RowKey> removals;
};

struct Committed {
    RowVersion version = 0; ///< of every row written
};

/// An expected version did not match; nothing was done.
struct Conflict {
    std::vector<Row> current;
};

enum class StoreError {
    Rejected, ///< refused; nothing was or will be done
    Unknown, ///< no answer; it may have been done or may still be done
};

using CommitResult = std::variant<Committed, Conflict, StoreError>;

struct RowRange {
    std::string table;
    std::string partition;
    std::string from;
    std::string to; ///< excluded; empty for no end
    int limit = 500;
};

/// A key behind `key` and before all keys that begin with it and go on.
inline std::string keyAfter(const std::string& key) { return key + '\x01'; }

/// The range that holds one row.
inline RowRange singleRow(const RowKey& key)
{
    return { .table = key.table, .partition = key.partition, .from = key.key, .to = keyAfter(key.key), .limit = 1 };
}

struct RowPage {
    std::vector<Row> rows;
    bool more = false;
    RowVersion version = 0; ///< newest version of the store at this moment
};

/// The store no longer has the changes asked for: everything has to be read again.
struct HistoryCompacted { };

using ReadResult = std::variant<RowPage, StoreError>;
using WatchResult = std::variant<RowPage, HistoryCompacted, StoreError>;

/// A store call to carry out; `done` is called exactly once.
struct CommitCall {
    Transaction transaction;
    Duration timeout { 0 };
    std::function<void(CommitResult)> done;
};

struct ReadCall {
    RowRange range;
    Duration timeout { 0 };
    std::function<void(ReadResult)> done;
};

struct WatchCall {
    std::string table;
    RowVersion after = 0;
    Duration wait { 0 }; ///< answered by then also when nothing changed
    std::function<void(WatchResult)> done;
};

/// Tables and partitions of the fleet's own rows.
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
