#include "adapters/tablecodec.h"

#include "utils/result.h"

namespace WisteriaHill::Adapters {

namespace {

using Utils::Json;
using Utils::Overloaded;

Json rowToJson(const Model::TableRow& row)
{
    return { { "key", row.key }, { "value", row.value }, { "version", row.version } };
}

std::vector<Model::TableRow> rowsFromJson(const Json& json)
{
    std::vector<Model::TableRow> rows;
    for (const Json& row : json) {
        rows.push_back({ .key = row.at("key").get<std::string>(),
            .value = row.at("value").get<std::string>(),
            .version = row.at("version").get<Model::RowVersion>() });
    }
    return rows;
}

Json rowsToJson(const std::vector<Model::TableRow>& rows)
{
    Json list = Json::array();
    for (const Model::TableRow& row : rows)
        list.push_back(rowToJson(row));
    return list;
}

Json transactionToJson(const Model::TableTransaction& transaction)
{
    Json conditions = Json::array();
    for (const Model::TableCondition& condition : transaction.conditions)
        conditions.push_back({ { "key", condition.key }, { "version", condition.version } });
    Json writes = Json::array();
    for (const Model::TableWrite& write : transaction.writes)
        writes.push_back({ { "key", write.key }, { "value", write.value ? Json(*write.value) : Json() } });
    return { { "conditions", conditions }, { "writes", writes } };
}

Model::TableTransaction transactionFromJson(const Json& json)
{
    Model::TableTransaction transaction;
    for (const Json& condition : json.at("conditions"))
        transaction.conditions.push_back(
            { condition.at("key").get<std::string>(), condition.at("version").get<Model::RowVersion>() });
    for (const Json& write : json.at("writes")) {
        const Json& value = write.at("value");
        transaction.writes.push_back({ write.at("key").get<std::string>(),
            value.is_null() ? std::nullopt : std::optional(value.get<std::string>()) });
    }
    return transaction;
}

} // namespace

Json tableOperationToJson(const Model::TableOperation& operation)
{
    return std::visit(
        Overloaded {
            [](const Model::TableTransaction& transaction) { return transactionToJson(transaction); },
            [](const Model::TableRead& read) {
                return Json { { "keys", read.keys } };
            },
            [](const Model::TableScan& scan) {
                return Json { { "prefix", scan.prefix }, { "after", scan.after }, { "limit", scan.limit } };
            },
        },
        operation);
}

Model::TableOperation tableOperationFromJson(const Json& json)
{
    if (json.contains("keys"))
        return Model::TableRead { json.at("keys").get<std::vector<std::string>>() };
    if (json.contains("prefix")) {
        return Model::TableScan { .prefix = json.at("prefix").get<std::string>(),
            .after = json.at("after").get<std::string>(),
            .limit = json.at("limit").get<std::uint32_t>() };
    }
    return transactionFromJson(json);
}

Json tableAnswerToJson(const Model::TableAnswer& answer)
{
    return std::visit(Overloaded {
                          [](const Model::TableCommitted& committed) {
                              return Json { { "versions", committed.versions } };
                          },
                          [](const Model::TableConflict& conflict) {
                              return Json { { "conflicts", rowsToJson(conflict.rows) } };
                          },
                          [](const Model::TableRows& rows) {
                              return Json { { "rows", rowsToJson(rows.rows) }, { "more", rows.more } };
                          },
                          [](Model::TableError) { return Json(); },
                      },
        answer);
}

Model::TableAnswer tableAnswerFromJson(const Json& json)
{
    if (json.contains("versions"))
        return Model::TableCommitted { json.at("versions").get<std::vector<Model::RowVersion>>() };
    if (json.contains("conflicts"))
        return Model::TableConflict { rowsFromJson(json.at("conflicts")) };
    return Model::TableRows { .rows = rowsFromJson(json.at("rows")), .more = json.at("more").get<bool>() };
}

} // namespace WisteriaHill::Adapters
