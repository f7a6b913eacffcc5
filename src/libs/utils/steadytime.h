/// The time base of all decisions: a steady clock, which adapters read and pass to the controllers.
#pragma once

#include <chrono>

namespace WisteriaHill::Utils {

using Duration = std::chrono::milliseconds;

/// A point in time on the steady clock of one process. Such times must not be compared across processes.
using SteadyTime = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/// A clock that an adapter reads.
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
    /// May be called from any thread.
    SteadyTime now() const { return std::chrono::steady_clock::now(); }
};

} // namespace WisteriaHill::Utils
