#include "utils/duration.h"

#include <array>
#include <charconv>

namespace WisteriaHill::Utils {

namespace {

struct Unit {
    std::string_view suffix;
    Duration length;
};

constexpr std::array<Unit, 4> units { {
    { "h", std::chrono::hours(1) },
    { "min", std::chrono::minutes(1) },
    { "s", std::chrono::seconds(1) },
    { "ms", Duration(1) },
} };

constexpr Duration maximumDuration = std::chrono::hours(24 * 1000);

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    std::int64_t count = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc() || count < 0)
        return std::nullopt;

    const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
    for (const Unit& unit : units) {
        if (suffix != unit.suffix)
            continue;
        if (count > maximumDuration / unit.length)
            return std::nullopt;
        return count * unit.length;
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    for (const Unit& unit : units) {
        if (duration.count() != 0 && duration % unit.length == Duration::zero())
            return std::to_string(duration / unit.length) + std::string(unit.suffix);
    }
    return std::to_string(duration.count()) + "ms";
}

} // namespace WisteriaHill::Utils
