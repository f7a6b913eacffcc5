#include "scheduling/storeroute.h"

#include "utils/rendezvous.h"

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

constexpr Duration probeInterval { 400 };
constexpr Duration peerAge { 2500 }; ///< a little over two heartbeats
constexpr Duration reachableAge { 3000 };
constexpr int failuresToGiveUp = 3; ///< two on the direct way, and one through another daemon or a further direct one
constexpr Duration failingAge { 700 }; ///< as long as one unanswered call takes

} // namespace

StoreEndpoint StoreRoute::choose(const PeerDirectory& peers, SteadyTime now)
{
    if (this->isDirect())
        return this->direct;
    const Peer* chosen = nullptr;
    std::uint64_t chosenWeight = 0;
    for (const Peer* peer : peers.heardWithin(peerAge, now)) {
        if (!peer->last.storeReachable || peer->last.leaving || peer->last.node == this->failedRelay)
            continue;
        if (peer->last.node == this->relay) {
            chosen = peer;
            break;
        }
        const std::uint64_t weight = Utils::rendezvousWeight(this->node, peer->last.node);
        if (!chosen || weight > chosenWeight) {
            chosen = peer;
            chosenWeight = weight;
        }
    }
    if (!chosen)
        this->failedRelay.clear();
    if (!chosen)
        return this->direct;
    if (this->relay != chosen->last.node) {
        this->relay = chosen->last.node;
        this->effects.log(Event::RelayUsed, { { "relay", this->relay } });
    }
    return { .relay = chosen->last.node, .address = chosen->last.address, .port = chosen->last.relayPort };
}

void StoreRoute::report(const StoreEndpoint& endpoint, bool answered, SteadyTime now)
{
    if (answered)
        this->lastSuccess = now;
    this->failuresSinceSuccess = answered ? 0 : this->failuresSinceSuccess + 1;
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
    if (++this->directFailures == failuresToLeave) {
        this->nextProbe = now + probeInterval;
        this->effects.log(Event::StoreUnreachable, { { "failures", this->directFailures } });
    }
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
    return this->failuresSinceSuccess >= failuresToGiveUp
        && (!this->lastSuccess || now - *this->lastSuccess > failingAge);
}

bool StoreRoute::isReachable(SteadyTime now) const
{
    return this->lastSuccess && now - *this->lastSuccess < reachableAge;
}

} // namespace WisteriaHill::Scheduling
