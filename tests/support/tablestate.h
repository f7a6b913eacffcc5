/// The rows of a table service, for the platform stand-in and for in-process fakes.
#pragma once

#include "model/table.h"

#include <map>
#include <string>

namespace WisteriaHill::Tests {

/// Versions increase across all rows, so that a row that is deleted and inserted again never reuses a version. Thread
/// safety: none.
class TableState {
public:
    Model::TableAnswer apply(const Model::TableOperation& operation);

    const std::map<std::string, Model::TableRow>& rows() const { return this->stored; }

private:
    Model::TableAnswer transact(const Model::TableTransaction& transaction);
    Model::TableAnswer read(const Model::TableRead& read) const;
    Model::TableAnswer scan(const Model::TableScan& scan) const;

    std::map<std::string, Model::TableRow> stored;
    Model::RowVersion lastVersion = 0;
};

} // namespace WisteriaHill::Tests
