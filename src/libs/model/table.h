/// Operations and answers of the platform's table service: versioned rows, conditional transactions, reads and scans.
#pragma once

#include "model/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace WisteriaHill::Model {

struct TableRow {
    std::string key;
    std::string value;
    RowVersion version = 0;
};

/// A condition that is met when the row has this version; version zero means that the row must be absent.
struct TableCondition {
    std::string key;
    RowVersion version = 0;
};

/// Sets a row, or deletes it when there is no value.
struct TableWrite {
    std::string key;
    std::optional<std::string> value;
};

/// Applies all writes atomically if all conditions are met; otherwise applies none.
struct TableTransaction {
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;
};

/// Reads rows by key; the answer leaves out absent rows.
struct TableRead {
    std::vector<std::string> keys;
};

/// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`, in key order, as one snapshot.
struct TableScan {
    std::string prefix;
    std::string after;
    std::uint32_t limit = 1000;
};

using TableOperation = std::variant<TableTransaction, TableRead, TableScan>;

/// The transaction took effect.
struct TableCommitted {
    std::vector<RowVersion> versions; ///< the new version for each write, in the same order; zero for a deletion
};

/// The transaction did not take effect, because conditions were not met.
struct TableConflict {
    std::vector<TableRow> rows; ///< current state of the rows whose conditions failed; version zero if absent
};

/// The answer to a read or a scan.
struct TableRows {
    std::vector<TableRow> rows;
    bool more = false; ///< the scan stopped at its limit and further rows follow
};

enum class TableError {
    NotSent, ///< the operation provably had no effect
    Unknown, ///< the answer is missing; a transaction may have taken effect
};

using TableAnswer = std::variant<TableCommitted, TableConflict, TableRows, TableError>;

} // namespace WisteriaHill::Model
