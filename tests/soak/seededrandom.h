/// Random choices from a seed, and delays of coroutines.
#pragma once

#include "soak/history.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <random>

namespace WisteriaHill::Soak {

/// The same seed yields the same choices. Thread safety: none.
class SeededRandom {
public:
    explicit SeededRandom(std::uint64_t seed)
        : engine(seed)
    {
    }

    std::uint64_t number() { return this->engine(); }

    /// Uniform, bounds included.
    int between(int lowest, int highest);
    Duration between(Duration shortest, Duration longest);

    /// True with this probability.
    bool chance(int percent) { return this->between(1, 100) <= percent; }

private:
    std::mt19937_64 engine;
};

/// Suspends a coroutine of the context.
void waitFor(boost::asio::io_context& context, Duration duration, const boost::asio::yield_context& yield);

} // namespace WisteriaHill::Soak
