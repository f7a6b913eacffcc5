#include "scheduling/storeroute.h"

#include "utils/rendezvous.h"

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

constexpr Duration probeInterval { 400 };
constexpr Duration maximumHeartbeatAge { 2500 }; ///< a little over two heartbeats
constexpr Duration reachabilityPeriod { 3000 };
constexpr int failuresBeforeFailing = 3; ///< two on the direct route and one on a relay or again on the direct route
constexpr Duration minimumOutage { 700 }; ///< from its first failure; duration of one unanswered call

} // namespace

StoreEndpoint StoreRoute::choose(const PeerDirectory& peers, SteadyTime now)
{
    if (this->isDirect())
        return this->direct;
    const Peer* chosen = nullptr;
    std::uint64_t chosenWeight = 0;
    for (const Peer* peer : peers.activeWithin(maximumHeartbeatAge, now)) {
        if (!peer->heartbeat.storeReachable || peer->heartbeat.leaving || peer->heartbeat.node == this->failedRelay)
            continue;
        if (peer->heartbeat.node == this->relay) {
            chosen = peer;
            break;
        }
        const std::uint64_t weight = Utils::rendezvousWeight(this->node, peer->heartbeat.node);
        const double share = peer->heartbeat.processorShare;
        const double chosenShare = chosen ? chosen->heartbeat.processorShare : 0;
        if (!chosen || share > chosenShare || (share == chosenShare && weight > chosenWeight)) {
            chosen = peer;
            chosenWeight = weight;
        }
    }
    if (!chosen)
        this->failedRelay.clear();
    if (!chosen)
        return this->direct;
    if (this->relay != chosen->heartbeat.node) {
        this->relay = chosen->heartbeat.node;
        this->effects.log(Event::RelayUsed, { { "relay", this->relay } });
    }
    return {
        .relay = chosen->heartbeat.node, .address = chosen->heartbeat.address, .port = chosen->heartbeat.relayPort
    };
}

void StoreRoute::report(const StoreEndpoint& endpoint, bool answered, SteadyTime now)
{
    const bool probeOfUnusedRoute = endpoint.relay.empty() && !this->relay.empty();
    if (answered) {
        this->lastSuccess = now;
        this->lastAnswer = now;
        this->firstFailure.reset();
    } else if (!this->firstFailure && !probeOfUnusedRoute) {
        this->firstFailure = now;
    }
    if (answered)
        this->failuresSinceSuccess = 0;
    else if (!probeOfUnusedRoute)
        ++this->failuresSinceSuccess;
    if (!endpoint.relay.empty()) {
        if (!answered && endpoint.relay == this->relay) {
            this->effects.log(Event::RelayFailed, { { "relay", this->relay } });
            this->failedRelay = std::exchange(this->relay, {});
        }
        return;
    }
    if (answered) {
        if (!this->isDirect())
            this->effects.log(Event::StoreReachable, { { "failures", this->directFailures } });
        this->directFailures = 0;
        this->relay.clear();
        return;
    }
    if (++this->directFailures == failuresBeforeRelay) {
        this->nextProbe = now + probeInterval;
        this->effects.log(Event::StoreUnreachable, { { "failures", this->directFailures } });
    }
}

void StoreRoute::reportWatch(const StoreEndpoint& endpoint, bool answered, SteadyTime now)
{
    if (answered)
        this->lastSuccess = now;
    else
        this->report(endpoint, answered, now);
}

bool StoreRoute::probeIsDue(SteadyTime now)
{
    if (this->isDirect() || now < this->nextProbe)
        return false;
    this->nextProbe = now + probeInterval;
    return true;
}

bool StoreRoute::isFailing(SteadyTime now) const
{
    return this->failuresSinceSuccess >= failuresBeforeFailing
        && (!this->firstFailure || now - *this->firstFailure > minimumOutage);
}

Calls::StoreEvidence StoreRoute::evidence(SteadyTime now) const
{
    return { .failing = this->isFailing(now),
        .failures = this->failuresSinceSuccess,
        .outage = this->firstFailure ? std::chrono::duration_cast<Duration>(now - *this->firstFailure) : Duration(0),
        .silence = this->lastAnswer ? std::chrono::duration_cast<Duration>(now - *this->lastAnswer) : Duration(0) };
}

bool StoreRoute::isReachable(SteadyTime now) const
{
    return this->lastSuccess && now - *this->lastSuccess < reachabilityPeriod;
}

} // namespace WisteriaHill::Scheduling
