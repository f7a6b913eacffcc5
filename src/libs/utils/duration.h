/// Durations as people write them in settings and headers: "250ms", "2s", "5min", "1h".
#pragma once

#include "utils/steadytime.h"

#include <optional>
#include <string>
#include <string_view>

namespace WisteriaHill::Utils {

/// Reads a whole number followed by ms, s, min or h. Empty when malformed or larger than 1000 days.
std::optional<Duration> parseDuration(std::string_view text);

/// The shortest exact form that parseDuration reads back.
std::string formatDuration(Duration duration);

} // namespace WisteriaHill::Utils
