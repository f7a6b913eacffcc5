/// Seeded random numbers. Controllers use only these, so that a run can be repeated with the same seed.
#pragma once

#include "utils/steadytime.h"

#include <cstdint>
#include <random>

namespace WisteriaHill::Utils {

/// Returns 64 bits from the operating system, for seeds and identities. May be called from any thread.
inline std::uint64_t systemRandom()
{
    constexpr unsigned int bitsPerCall = 32;
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << bitsPerCall) | device();
}

/// A random number generator that is deterministic for a given seed. Thread safety: none.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed)
        : engine(seed)
    {
    }

    /// Returns a number in [0, bound), uniformly distributed. Precondition: bound > 0.
    std::uint64_t below(std::uint64_t bound) { return this->engine() % bound; }

    /// Returns 64 random bits.
    std::uint64_t bits() { return this->engine(); }

    /// Returns true with the given probability, which is in [0, 1] and is resolved to one millionth.
    bool chance(double probability)
    {
        return static_cast<double>(this->below(chanceSteps)) < probability * chanceSteps;
    }

    /// Returns a duration in [base / 2, base * 3 / 2), uniformly distributed, so that many callers do not act at the
    /// same time.
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
