/// The only notion of time that decides anything: a steady clock, read at the edge and passed in.
#pragma once

#include <chrono>

namespace WisteriaHill::Utils {

using Duration = std::chrono::milliseconds;

/// A point on the steady clock of one process; never compared across processes.
using SteadyTime = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/// What an adapter offers to tell the time.
template <typename T>
concept Clock = requires(const T clock)
{
    {
        clock.now()
        } -> std::same_as<SteadyTime>;
};

/// The clock of the operating system.
class SystemClock {
public:
    /// Thread safety: may be called from any thread.
    SteadyTime now() const { return std::chrono::steady_clock::now(); }
};

} // namespace WisteriaHill::Utils
