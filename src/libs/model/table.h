/// What the platform's table service offers: versioned rows, conditional transactions, reads and scans.
#pragma once

#include "model/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace WisteriaHill::Model {

/// A row as read.
struct TableRow {
    std::string key;
    std::string value;
    RowVersion version = 0;
};

/// Holds when the row has this version; zero means that the row must be absent.
struct TableCondition {
    std::string key;
    RowVersion version = 0;
};

/// Sets a row, or deletes it when there is no value.
struct TableWrite {
    std::string key;
    std::optional<std::string> value;
};

/// All writes happen, at once, if all conditions hold; otherwise none does.
struct TableTransaction {
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;
};

/// Reads rows by key; absent ones are left out of the answer.
struct TableRead {
    std::vector<std::string> keys;
};

/// Reads the rows whose keys start with `prefix` and come after `after`, in key order, as one snapshot.
struct TableScan {
    std::string prefix;
    std::string after;
    std::uint32_t limit = 1000;
};

using TableOperation = std::variant<TableTransaction, TableRead, TableScan>;

/// The transaction took effect; one version per write, zero for a deletion.
struct TableCommitted {
    std::vector<RowVersion> versions;
};

/// The transaction did not take effect: the present state of the rows whose conditions failed; version zero if absent.
struct TableConflict {
    std::vector<TableRow> rows;
};

struct TableRows {
    std::vector<TableRow> rows;
    bool more = false;
};

enum class TableError {
    NotSent, ///< provably no effect
    Unknown, ///< a write may have taken effect
};

using TableAnswer = std::variant<TableCommitted, TableConflict, TableRows, TableError>;

} // namespace WisteriaHill::Model
