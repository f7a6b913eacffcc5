/// Routes calls to the state store: directly, or through another daemon when this one cannot reach the store.
#pragma once

#include "scheduling/calls/storeevidence.h"
#include "scheduling/effects.h"
#include "scheduling/peers.h"

#include <optional>
#include <string>

namespace WisteriaHill::Scheduling {

struct StoreEndpoint {
    std::string relay; ///< node of the daemon that relays the call; empty for the store itself
    std::string address;
    std::uint16_t port = 0;
};

/// Chooses routes by the results of earlier calls. Thread safety: none.
class StoreRoute {
public:
    /// `node` is this daemon's name; it spreads the daemons over the relays.
    StoreRoute(Effects& effects, StoreEndpoint direct, std::string node)
        : effects(effects)
        , direct(std::move(direct))
        , node(std::move(node))
    {
    }

    /// The endpoint for the next call. Hosts with the most processor relay first, as their links are faster too. Calls
    /// do not test whether a failing direct route works again: see probeIsDue().
    StoreEndpoint choose(const PeerDirectory& peers, SteadyTime now);

    /// True when calls are relayed and the direct route is due for a probe, a call that no client waits for. Returns
    /// true once per probe.
    bool probeIsDue(SteadyTime now);

    /// Records the result of a call to `endpoint`; `answered` is false when it failed or had no answer.
    void report(const StoreEndpoint& endpoint, bool answered, SteadyTime now);

    /// Records the result of a watch. That one is answered on a connection that was made long ago says little of what
    /// becomes of other calls: it shows only that the store is alive.
    void reportWatch(const StoreEndpoint& endpoint, bool answered, SteadyTime now);

    /// True when calls go to the store directly.
    bool isDirect() const { return this->directFailures < failuresBeforeRelay; }

    /// True when calls on all routes have failed for a while, so that a further call would only delay its client.
    bool isFailing(SteadyTime now) const;

    /// What clients' calls may expect of the store.
    Calls::StoreEvidence evidence(SteadyTime now) const;

    /// True when a call on any route has succeeded recently.
    bool isReachable(SteadyTime now) const;

private:
    static constexpr int failuresBeforeRelay = 2; ///< a single failure may be one lost answer

    Effects& effects;
    StoreEndpoint direct;
    std::string node;
    int directFailures = 0;
    int failuresSinceSuccess = 0;
    std::optional<SteadyTime> firstFailure; ///< since the last success
    SteadyTime nextProbe {};
    std::optional<SteadyTime> lastSuccess; ///< of any call
    std::optional<SteadyTime> lastAnswer; ///< to a read or commit
    std::string relay;
    std::string failedRelay;
};

} // namespace WisteriaHill::Scheduling
