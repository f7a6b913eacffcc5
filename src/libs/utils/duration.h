/// Durations in the text form of settings and headers: "250ms", "2s", "5min", "1h".
#pragma once

#include "utils/steadytime.h"

#include <optional>
#include <string>
#include <string_view>

namespace WisteriaHill::Utils {

/// Parses a whole number followed by ms, s, min or h. Returns nothing when the text is malformed or the duration
/// exceeds 1000 days.
std::optional<Duration> parseDuration(std::string_view text);

/// Formats a duration in the largest unit that represents it exactly; parseDuration reads the result.
std::string formatDuration(Duration duration);

} // namespace WisteriaHill::Utils
