#include "scheduling/placement/speedchoice.h"

#include <chrono>

namespace WisteriaHill::Scheduling::Placement {

namespace {

/// From the decision to the run on the server, and from its end to the answer: a stored row, an order and a poll.
constexpr Duration orderMargin { 150 };

} // namespace

void SpeedSpread::add(const ServerSpeed& server)
{
    const auto include = [&](double& mean, std::size_t& count) {
        ++count;
        mean += (server.slowness - mean) / static_cast<double>(count);
    };
    if (server.speedClass == SpeedClass::Fast)
        include(this->fast, this->fastServers);
    else if (server.speedClass == SpeedClass::Slow)
        include(this->slow, this->slowServers);
}

SpeedNeed speedNeedOf(const SpeedDemand& demand, const SpeedSpread& spread)
{
    if (!spread.differ)
        return {};
    using Milliseconds = std::chrono::duration<double, std::milli>;
    const double expected = std::max(Milliseconds(demand.expected).count(), 1.0);
    SpeedNeed need { .preference = SpeedPreference::FastFirst,
        .bearable = std::max(Milliseconds(demand.timeLeft - orderMargin).count() / expected, 0.0) };
    const bool bearsSlow = need.bearable >= spread.slow;
    const bool lateAnyway = need.bearable < spread.fast;
    if (demand.ordinary && (bearsSlow || lateAnyway))
        need.preference = demand.single ? SpeedPreference::UnknownFirst : SpeedPreference::SlowFirst;
    return need;
}

std::string speedPreferenceName(SpeedPreference preference)
{
    switch (preference) {
    case SpeedPreference::None:
        return "any";
    case SpeedPreference::FastFirst:
        return "fast first";
    case SpeedPreference::SlowFirst:
        return "slow first";
    case SpeedPreference::UnknownFirst:
        return "unknown first";
    }
    return "unknown";
}

} // namespace WisteriaHill::Scheduling::Placement
