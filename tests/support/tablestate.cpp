#include "support/tablestate.h"

#include "utils/result.h"

namespace WisteriaHill::Tests {

using Model::TableAnswer;

TableAnswer TableState::apply(const Model::TableOperation& operation)
{
    return std::visit(Utils::Overloaded {
                          [this](const Model::TableTransaction& transaction) { return this->transact(transaction); },
                          [this](const Model::TableRead& wanted) { return this->read(wanted); },
                          [this](const Model::TableScan& wanted) { return this->scan(wanted); },
                      },
        operation);
}

TableAnswer TableState::transact(const Model::TableTransaction& transaction)
{
    Model::TableConflict conflict;
    for (const Model::TableCondition& condition : transaction.conditions) {
        const auto row = this->stored.find(condition.key);
        const Model::RowVersion present = row == this->stored.end() ? 0 : row->second.version;
        if (present != condition.version)
            conflict.rows.push_back(present == 0 ? Model::TableRow { .key = condition.key } : row->second);
    }
    if (!conflict.rows.empty())
        return conflict;

    Model::TableCommitted committed;
    for (const Model::TableWrite& write : transaction.writes) {
        if (!write.value) {
            this->stored.erase(write.key);
            committed.versions.push_back(0);
            continue;
        }
        this->stored[write.key] = { write.key, *write.value, ++this->lastVersion };
        committed.versions.push_back(this->lastVersion);
    }
    return committed;
}

TableAnswer TableState::read(const Model::TableRead& wanted) const
{
    Model::TableRows rows;
    for (const std::string& key : wanted.keys) {
        const auto row = this->stored.find(key);
        if (row != this->stored.end())
            rows.rows.push_back(row->second);
    }
    return rows;
}

TableAnswer TableState::scan(const Model::TableScan& wanted) const
{
    Model::TableRows rows;
    const std::string start = std::max(wanted.prefix, wanted.after);
    for (auto row = this->stored.lower_bound(start); row != this->stored.end(); ++row) {
        if (!row->first.starts_with(wanted.prefix))
            break;
        if (row->first <= wanted.after)
            continue;
        if (rows.rows.size() == wanted.limit) {
            rows.more = true;
            break;
        }
        rows.rows.push_back(row->second);
    }
    return rows;
}

} // namespace WisteriaHill::Tests
