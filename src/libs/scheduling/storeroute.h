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
    /// `node` is this daemon's name; daemons spread over relays by it.
    StoreRoute(Effects& effects, StoreEndpoint direct, std::string node)
        : effects(effects)
        , direct(std::move(direct))
        , node(std::move(node))
    {
    }

    /// The way for the next call. Calls are not used to find out whether a failing direct way is back: see
    /// probeIsDue().
    StoreEndpoint choose(const PeerDirectory& peers, SteadyTime now);

    /// True when the direct way is left and should be tried by a call that nobody waits for; the next one is due later.
    bool probeIsDue(SteadyTime now);

    /// A call that took this way had an answer other than a failure, or not.
    void report(const StoreEndpoint& endpoint, bool answered, SteadyTime now);

    /// True when the store answers this daemon itself.
    bool isDirect() const { return this->directFailures < failuresBeforeRelay; }

    /// True when calls have failed on every way for a while: a further one would only cost its caller time.
    bool isFailing(SteadyTime now) const;

    /// True when calls succeed on some way.
    bool isReachable(SteadyTime now) const;

private:
    static constexpr int failuresBeforeRelay = 2; ///< one may be a single lost answer

    Effects& effects;
    StoreEndpoint direct;
    std::string node;
    int directFailures = 0;
    int failuresSinceSuccess = 0;
    SteadyTime nextProbe {};
    std::optional<SteadyTime> lastSuccess;
    std::string relay;
    std::string failedRelay;
};

} // namespace WisteriaHill::Scheduling
