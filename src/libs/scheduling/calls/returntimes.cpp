#include "scheduling/calls/returntimes.h"

#include "utils/rendezvous.h"

#include <algorithm>

namespace WisteriaHill::Scheduling::Calls {

namespace {

constexpr Duration shortestReturn { 1000 }; ///< the answer's header counts whole seconds
constexpr Duration longestRest { 3000 }; ///< of an outage; later returns leave free what the fleet could have served
constexpr Duration longestReturn { 6000 };
constexpr Duration timePerReturn { 10 }; ///< for a call of a client: reads and a commit, two calls at a time
constexpr std::size_t maximumExpected = 4096;
constexpr std::uint64_t shares = 1024;

} // namespace

Duration ReturnTimes::elsewhere() { return shortestReturn; }

std::size_t ReturnTimes::expected(SteadyTime now)
{
    std::erase_if(this->returns, [now](SteadyTime due) { return due <= now; });
    return this->returns.size();
}

Duration ReturnTimes::afterOutage(
    const StoreEvidence& evidence, const std::string& key, Duration patience, SteadyTime now)
{
    const Duration latest = std::clamp(patience / 2, shortestReturn, longestReturn);
    const Duration rest = std::clamp(evidence.outage, shortestReturn, longestRest);
    const Duration spread
        = std::max(rest / 2, timePerReturn * static_cast<std::int64_t>(this->expected(now))); // of all who return
    const auto share = static_cast<std::int64_t>(Utils::rendezvousWeight(key, "return") % shares);
    const Duration wait = std::min(rest + spread * share / static_cast<std::int64_t>(shares), latest);
    if (this->returns.size() < maximumExpected)
        this->returns.push_back(now + wait);
    return wait;
}

} // namespace WisteriaHill::Scheduling::Calls
