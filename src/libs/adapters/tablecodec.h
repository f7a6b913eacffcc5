/// Conversion between the operations and answers of the platform's table service and JSON (docs/API.md), for the client
/// of the service and for its stand-in in tests.
#pragma once

#include "model/table.h"
#include "utils/checkedjson.h"

namespace WisteriaHill::Adapters {

Utils::Json tableOperationToJson(const Model::TableOperation& operation);
/// Throws nlohmann::json::exception on malformed input.
Model::TableOperation tableOperationFromJson(const Utils::Json& json);

/// Precondition: the answer is not an error.
Utils::Json tableAnswerToJson(const Model::TableAnswer& answer);
/// Throws nlohmann::json::exception on malformed input.
Model::TableAnswer tableAnswerFromJson(const Utils::Json& json);

} // namespace WisteriaHill::Adapters
