/// The address that the stand-ins listen on and the clock that they report.
#pragma once

#include <chrono>
#include <cstdint>

namespace WisteriaHill::TestSupport {

inline constexpr const char* loopback = "127.0.0.1";

/// Milliseconds on the machine's steady clock.
inline std::int64_t nowMs()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart).count();
}

} // namespace WisteriaHill::TestSupport
