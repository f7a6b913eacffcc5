/// The JSON forms of the platform's table service (docs/API.md), for its client and for stand-ins.
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
