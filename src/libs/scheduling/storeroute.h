/// Which way calls to the state store take: directly, or through another daemon when the store turns this one away.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/peers.h"

#include <optional>
#include <string>

namespace WisteriaHill::Scheduling {

/// Where a store call goes.
struct StoreEndpoint {
    std::string relay; ///< node of the daemon that passes the call on; empty for the store itself
    std::string address;
    std::uint16_t port = 0;
};

/// Thread safety: none.
class StoreRoute {
public:
    StoreRoute(Effects& effects, StoreEndpoint direct)
        : effects(effects)
        , direct(std::move(direct))
    {
    }

    /// The way for the next call.
    StoreEndpoint choose(const PeerDirectory& peers, SteadyTime now);

    /// A call that took this way had an answer other than a failure, or not.
    void report(const StoreEndpoint& endpoint, bool answered, SteadyTime now);

    /// True when the store answers this daemon itself.
    bool isDirect() const { return this->directFailures < failuresToLeave; }

    /// True when calls have failed on every way for a while: a further one would only cost its caller time.
    bool isFailing(SteadyTime now) const;

    /// True when calls succeed on some way.
    bool isReachable(SteadyTime now) const;

private:
    static constexpr int failuresToLeave = 2; ///< one may be a single lost answer

    Effects& effects;
    StoreEndpoint direct;
    int directFailures = 0;
    int failuresSinceSuccess = 0;
    SteadyTime nextDirectTry {};
    std::optional<SteadyTime> lastSuccess;
    std::string relay;
    std::string failedRelay;
};

} // namespace WisteriaHill::Scheduling
