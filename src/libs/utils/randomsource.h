/// Seeded random numbers; every controller draws from one of these, never from the system.
#pragma once

#include "utils/steadytime.h"

#include <cstdint>
#include <random>

namespace WisteriaHill::Utils {

/// 64 bits from the operating system, for seeds and identities. Thread safety: may be called from any thread.
inline std::uint64_t systemRandom()
{
    constexpr unsigned int bitsPerCall = 32;
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << bitsPerCall) | device();
}

/// Deterministic for a given seed. Thread safety: none.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed)
        : engine(seed)
    {
    }

    /// Uniform in [0, bound). Precondition: bound > 0.
    std::uint64_t below(std::uint64_t bound) { return this->engine() % bound; }

    /// Any 64 bits.
    std::uint64_t bits() { return this->engine(); }

    /// True with the given probability in [0, 1].
    bool chance(double probability)
    {
        return static_cast<double>(this->below(chanceSteps)) < probability * chanceSteps;
    }

    /// `base` spread evenly over [base / 2, base * 3 / 2), so that many callers don't act in step.
    Duration jittered(Duration base)
    {
        if (base.count() < 2)
            return base;
        return base / 2 + Duration(static_cast<std::int64_t>(this->below(static_cast<std::uint64_t>(base.count()))));
    }

private:
    static constexpr std::uint64_t chanceSteps = 1'000'000;
    std::mt19937_64 engine;
};

} // namespace WisteriaHill::Utils
