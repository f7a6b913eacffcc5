/// Run times as JSON, for stored rows. Pure: no clock, no input or output.
#pragma once

#include "scheduling/estimates/tasktimes.h"
#include "utils/checkedjson.h"

#include <optional>

namespace WisteriaHill::Scheduling::Estimates {

Utils::Json queueTimesToJson(const QueueTimes& times);

/// std::nullopt when the JSON is damaged.
std::optional<QueueTimes> queueTimesFromJson(const Utils::Json& json);

} // namespace WisteriaHill::Scheduling::Estimates
