#include "scheduling/peers.h"

#include "model/versionedcodec.h"

#include <algorithm>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

constexpr std::uint32_t protocolVersion = 5;
constexpr std::size_t maximumHeartbeatBytes = 60'000; ///< fits into one datagram
constexpr Duration storeTimeout { 700 };
constexpr Duration firstReadInterval { 1000 };
constexpr Duration readInterval { 10'000 };
/// A daemon that was silent for this long gets a heartbeat only after each reading of the directory, so that daemons
/// which were cut off from each other find each other again.
constexpr Duration destinationExpiry { 30'000 };

/// A heartbeat as daemons of the previous version of the protocol send and read it.
struct PreviousHeartbeat {
    PeerHeartbeat heartbeat;

    template <typename Archive> void serialize(Archive& archive) { this->heartbeat.serializePrevious(archive); }
};

RowKey memberRow(const std::string& node) { return { StoreTable::members, "", node }; }

} // namespace

std::string encodePeerHeartbeat(const PeerHeartbeat& heartbeat)
{
    return Model::encodeVersioned(heartbeat, protocolVersion);
}

std::string encodePreviousPeerHeartbeat(const PeerHeartbeat& heartbeat)
{
    return Model::encodeVersioned(PreviousHeartbeat { heartbeat }, protocolVersion - 1);
}

std::optional<PeerHeartbeat> decodePeerHeartbeat(const std::string& bytes)
{
    std::optional<PeerHeartbeat> heartbeat
        = Model::decodeVersioned<PeerHeartbeat>(bytes, maximumHeartbeatBytes, protocolVersion);
    if (!heartbeat) {
        std::optional<PreviousHeartbeat> previous
            = Model::decodeVersioned<PreviousHeartbeat>(bytes, maximumHeartbeatBytes, protocolVersion - 1);
        if (!previous)
            return std::nullopt;
        heartbeat = std::move(previous->heartbeat);
        heartbeat->isPreviousVersion = true;
    }
    return heartbeat->node.empty() ? std::nullopt : heartbeat;
}

void PeerDirectory::tick(SteadyTime now)
{
    if (this->callOpen || now < this->nextCall)
        return;
    if (!this->registered)
        this->registerSelf(now);
    else
        this->readMembers(now);
}

void PeerDirectory::registerSelf(SteadyTime now)
{
    this->callOpen = true;
    this->nextCall = now + storeTimeout / 4;
    this->effects.push(
        CommitCall { .transaction = { .writes = { { memberRow(this->self.node), encodeMember(this->self) } } },
            .timeout = storeTimeout,
            .done = [this](const CommitResult& result) {
                this->callOpen = false;
                this->registered = std::holds_alternative<Committed>(result);
            } });
}

void PeerDirectory::readMembers(SteadyTime now)
{
    this->callOpen = true;
    this->nextCall = now + (this->members.empty() ? firstReadInterval : readInterval);
    this->readMembersFrom("");
}

void PeerDirectory::readMembersFrom(const std::string& key)
{
    this->effects.push(ReadCall { .range = { .table = StoreTable::members, .from = key },
        .timeout = storeTimeout,
        .done = [this](const ReadResult& result) {
            const auto* page = std::get_if<RowPage>(&result);
            if (page)
                this->applyMembers(page->rows);
            if (page && page->more && !page->rows.empty())
                this->readMembersFrom(keyAfter(page->rows.back().key.key));
            else
                this->callOpen = false;
        } });
}

void PeerDirectory::applyMembers(const std::vector<Row>& rows)
{
    const SteadyTime readAt = this->clock();
    for (const Row& row : rows) {
        const std::optional<MemberRow> member = decodeMember(row.value);
        if (!member || member->node == this->self.node)
            continue;
        const auto known = this->members.find(member->node);
        if (known == this->members.end() || known->second != *member) {
            this->members[member->node] = *member;
            this->memberSince[member->node] = readAt;
        }
        if (readAt - this->memberSince.at(member->node) >= destinationExpiry)
            this->probesDue.insert(member->node);
    }
}

bool PeerDirectory::handleHeartbeat(const PeerHeartbeat& heartbeat, SteadyTime now)
{
    if (heartbeat.node == this->self.node)
        return false;
    const auto known = this->peers.find(heartbeat.node);
    if (known != this->peers.end() && heartbeat.isPreviousVersion && !known->second.heartbeat.isPreviousVersion
        && known->second.heartbeat.incarnation == heartbeat.incarnation)
        return false;
    if (known == this->peers.end())
        this->effects.log(Event::MemberJoined, { { "peer", heartbeat.node }, { "address", heartbeat.address } });
    else if (known->second.heartbeat.incarnation != heartbeat.incarnation)
        this->effects.log(
            Event::MemberReplaced, { { "peer", heartbeat.node }, { "incarnation", heartbeat.incarnation } });
    this->peers[heartbeat.node] = { .heartbeat = heartbeat, .lastHeartbeatAt = now };
    this->members[heartbeat.node] = { .node = heartbeat.node,
        .zone = heartbeat.zone,
        .address = heartbeat.address,
        .heartbeatPort = heartbeat.heartbeatPort,
        .relayPort = heartbeat.relayPort,
        .incarnation = heartbeat.incarnation };
    this->memberSince[heartbeat.node] = now;
    return true;
}

std::vector<const Peer*> PeerDirectory::activeWithin(Duration age, SteadyTime now) const
{
    std::vector<const Peer*> active;
    for (const auto& [node, peer] : this->peers) {
        if (now - peer.lastHeartbeatAt <= age)
            active.push_back(&peer);
    }
    return active;
}

std::vector<MemberRow> PeerDirectory::takeDestinations(SteadyTime now)
{
    std::vector<MemberRow> destinations;
    for (const auto& [node, member] : this->members) {
        if (now - this->memberSince.at(node) < destinationExpiry || this->probesDue.contains(node))
            destinations.push_back(member);
    }
    this->probesDue.clear();
    return destinations;
}

bool PeerDirectory::isKnownAddress(const std::string& address) const
{
    return std::ranges::any_of(this->members, [&](const auto& entry) { return entry.second.address == address; })
        || std::ranges::any_of(
            this->peers, [&](const auto& entry) { return entry.second.heartbeat.address == address; });
}

bool PeerDirectory::needsPreviousVersion(const std::string& node) const
{
    const auto known = this->peers.find(node);
    return known == this->peers.end() || known->second.heartbeat.isPreviousVersion;
}

void PeerDirectory::unregister(std::function<void()> done)
{
    this->effects.push(CommitCall { .transaction = { .removals = { memberRow(this->self.node) } },
        .timeout = storeTimeout,
        .done = [done = std::move(done)](const CommitResult&) { done(); } }); // a leftover entry does no harm
}

Duration agreedWallOffset(Duration own, const std::vector<const Peer*>& peers)
{
    std::vector<Duration> offsets { own };
    for (const Peer* peer : peers) {
        if (peer->heartbeat.wallOffset != 0)
            offsets.emplace_back(peer->heartbeat.wallOffset);
    }
    std::ranges::sort(offsets);
    return offsets[offsets.size() / 2];
}

} // namespace WisteriaHill::Scheduling
