/// The time base of all decisions: a steady clock, which adapters read and pass to the controllers.
#pragma once

#include <chrono>
#include <ctime>

namespace WisteriaHill::Utils {

using Duration = std::chrono::milliseconds;

/// A point in time on the steady clock of one process. Such times must not be compared across processes.
using SteadyTime = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/// The time of the operating system's steady clock. Unlike std::chrono::steady_clock it goes on while the host is
/// suspended, as the clocks of backend servers and of the store do, on which leases count. May be called from any
/// thread.
inline SteadyTime steadyNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return SteadyTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

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
    SteadyTime now() const { return steadyNow(); }
};

} // namespace WisteriaHill::Utils
