#include "controllers/membershipcontroller.h"

#include <algorithm>

namespace WisteriaHill::Controllers {

namespace {

using Model::Heartbeat;
using Model::HostPhase;
using Model::Member;
using Model::PeerAddress;
using Utils::Event;

constexpr Duration ownZoneInterval { 500 };
constexpr Duration otherZoneInterval { 6000 };
constexpr Duration candidateInterval { 1000 };
constexpr Duration ownZoneFailureTimeout { 1500 };
constexpr Duration otherZoneFailureTimeout { 20'000 };
constexpr Duration lostMemberRetention = std::chrono::hours(1);

} // namespace

MembershipController::MembershipController(Model::Blackboard& blackboard, Outbox& outbox,
    ServerHealthController& health, Utils::RandomSource& random, std::vector<PeerAddress> seeds)
    : blackboard(blackboard)
    , outbox(outbox)
    , health(health)
    , random(random)
    , candidatePeers(std::move(seeds))
{
    std::erase(this->candidatePeers, blackboard.self.address);
}

void MembershipController::heartbeatReceived(const Heartbeat& heartbeat, SteadyTime now)
{
    if (heartbeat.host == this->blackboard.self.host)
        return;
    ++this->blackboard.counters.heartbeatsReceived;
    const auto [entry, isNew] = this->blackboard.members.try_emplace(heartbeat.host);
    Member& member = entry->second;
    const bool replaced = !isNew && member.incarnation != heartbeat.incarnation;
    if (!isNew && !replaced && heartbeat.sequence <= member.lastSequence)
        return;
    if (isNew)
        this->outbox.log(Event::MemberJoined, heartbeat.host.value() + " in " + heartbeat.zone.value());
    if (replaced)
        this->outbox.log(Event::MemberReplaced, heartbeat.host.value());
    if (heartbeat.phase == HostPhase::Left && member.phase != HostPhase::Left)
        this->outbox.log(Event::MemberLeft, heartbeat.host.value());

    member = { .host = heartbeat.host,
        .zone = heartbeat.zone,
        .incarnation = heartbeat.incarnation,
        .address = heartbeat.address,
        .phase = heartbeat.phase,
        .revision = heartbeat.revision,
        .lastSequence = heartbeat.sequence,
        .lastHeard = now,
        .live = heartbeat.phase != HostPhase::Left };
    std::erase(this->candidatePeers, heartbeat.address);

    for (const Model::DrainMark& mark : heartbeat.drains)
        this->health.mergeDrain(mark, now);
    if (heartbeat.zone == this->blackboard.self.zone) {
        for (const Model::ServerDigest& digest : heartbeat.servers)
            this->health.digestReceived(digest, now);
    }
    if (heartbeat.hint && !this->blackboard.members.contains(heartbeat.hint->host)
        && heartbeat.hint->host != this->blackboard.self.host
        && std::ranges::find(this->candidatePeers, heartbeat.hint->address) == this->candidatePeers.end())
        this->candidatePeers.push_back(heartbeat.hint->address);
}

void MembershipController::hostListReceived(const std::vector<ListedHost>& hosts)
{
    for (const ListedHost& host : hosts) {
        const bool known = this->blackboard.members.contains(Model::EntryHostId(host.id))
            || host.id == this->blackboard.self.host.value()
            || std::ranges::find(this->candidatePeers, host.address) != this->candidatePeers.end();
        if (host.kind == ListedHost::Kind::EntryHost && !host.leaving && !known)
            this->candidatePeers.push_back(host.address);
    }
}

void MembershipController::tick(SteadyTime now)
{
    this->expire(now);
    if (now >= this->nextOwnZoneRound || this->health.takeUrgentUpdate()) {
        this->nextOwnZoneRound = now + this->random.jittered(ownZoneInterval);
        this->sendRound(true, now);
    }
    // Other zones get a heartbeat at once for a new revision and otherwise rarely, because they also poll the platform.
    const bool newRevision
        = this->blackboard.configuration && this->blackboard.configuration->revision != this->announcedRevision;
    if (newRevision || now >= this->nextOtherZoneRound) {
        this->announcedRevision = this->blackboard.configuration ? this->blackboard.configuration->revision : 0;
        this->nextOtherZoneRound = now + this->random.jittered(otherZoneInterval);
        this->sendRound(false, now);
    }
    if (now >= this->nextCandidateRound) {
        this->nextCandidateRound = now + this->random.jittered(candidateInterval);
        this->sendToCandidates(now);
    }
}

void MembershipController::expire(SteadyTime now)
{
    for (auto& [host, member] : this->blackboard.members) {
        const bool sameZone = member.zone == this->blackboard.self.zone;
        const Duration timeout = sameZone ? ownZoneFailureTimeout : otherZoneFailureTimeout;
        if (member.live && now - member.lastHeard >= timeout) {
            member.live = false;
            this->outbox.log(Event::MemberLost, host.value());
        }
    }
    std::erase_if(this->blackboard.members,
        [&](const auto& entry) { return !entry.second.live && now - entry.second.lastHeard >= lostMemberRetention; });
}

Heartbeat MembershipController::composeHeartbeat(bool sameZone, SteadyTime now)
{
    Heartbeat heartbeat { .host = this->blackboard.self.host,
        .zone = this->blackboard.self.zone,
        .incarnation = this->blackboard.self.incarnation,
        .sequence = ++this->sequence,
        .phase = this->blackboard.phase,
        .address = this->blackboard.self.address,
        .revision = this->blackboard.configuration ? this->blackboard.configuration->revision : 0 };
    if (sameZone)
        heartbeat.servers = this->health.takeDigests(now);
    for (const auto& [server, mark] : this->blackboard.drains)
        heartbeat.drains.push_back(mark);
    if (!this->blackboard.members.empty()) {
        auto member = this->blackboard.members.begin();
        std::advance(member, static_cast<std::ptrdiff_t>(this->random.below(this->blackboard.members.size())));
        if (member->second.live)
            heartbeat.hint = Model::PeerHint { member->first, member->second.address };
    }
    return heartbeat;
}

void MembershipController::sendHeartbeat(const PeerAddress& address, const Heartbeat& heartbeat)
{
    ++this->blackboard.counters.heartbeatsSent;
    this->outbox.add(SendHeartbeat { address, heartbeat });
}

void MembershipController::sendRound(bool sameZone, SteadyTime now)
{
    const Heartbeat heartbeat = this->composeHeartbeat(sameZone, now);
    for (const auto& [host, member] : this->blackboard.members) {
        if ((member.zone == this->blackboard.self.zone) == sameZone && member.phase != HostPhase::Left)
            this->sendHeartbeat(member.address, heartbeat);
    }
}

void MembershipController::sendToCandidates(SteadyTime now)
{
    if (this->candidatePeers.empty())
        return;
    const Heartbeat heartbeat = this->composeHeartbeat(false, now);
    for (const PeerAddress& address : this->candidatePeers)
        this->sendHeartbeat(address, heartbeat);
}

void MembershipController::announceLeave(SteadyTime now)
{
    Heartbeat heartbeat = this->composeHeartbeat(false, now);
    heartbeat.phase = HostPhase::Left;
    for (const auto& [host, member] : this->blackboard.members)
        this->sendHeartbeat(member.address, heartbeat);
}

} // namespace WisteriaHill::Controllers
