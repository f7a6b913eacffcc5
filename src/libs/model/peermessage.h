/// What daemons tell each other: heartbeats as UDP datagrams, questions and answers over TCP; cereal's portable form.
#pragma once

#include "model/acceleratorset.h"
#include "model/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace WisteriaHill::Model {

enum class HostPhase : std::uint8_t {
    Starting, ///< no configuration yet
    Ready,
    Stopping,
    Left, ///< goodbye
};

/// Where a daemon is reached by its peers.
struct PeerAddress {
    std::string address; ///< an IP number
    std::uint16_t port = 0; ///< UDP for heartbeats, TCP for messages

    auto operator<=>(const PeerAddress&) const = default; // NOLINT(modernize-use-nullptr): false alarm on <=>
    template <typename Archive> void serialize(Archive& archive) { archive(this->address, this->port); }
};

/// An operator's drain; of two marks for a server the higher counter stands, then the higher tie breaker.
struct DrainMark {
    BackendServerId server;
    bool drained = false;
    std::uint64_t counter = 0;
    std::uint64_t tieBreaker = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->server, this->drained, this->counter, this->tieBreaker);
    }
};

/// A backend server's state as its prober last saw it.
struct ServerDigest {
    BackendServerId server;
    Incarnation incarnation = 0;
    bool leaving = false;
    bool silent = false;
    std::uint16_t busySlots = 0;
    AcceleratorSet free = 0;
    AcceleratorSet preemptible = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->server, this->incarnation, this->leaving, this->silent, this->busySlots, this->free,
            this->preemptible);
    }
};

/// Another member that the sender hears, for hosts that don't know it yet.
struct PeerHint {
    EntryHostId host;
    PeerAddress address;

    template <typename Archive> void serialize(Archive& archive) { archive(this->host, this->address); }
};

struct Heartbeat {
    EntryHostId host;
    AvailabilityZoneId zone;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    HostPhase phase = HostPhase::Starting;
    PeerAddress address;
    Revision revision = 0;
    std::vector<ServerDigest> servers; ///< of the sender's zone; only within it
    std::vector<DrainMark> drains;
    std::optional<PeerHint> hint;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->host, this->zone, this->incarnation, this->sequence, this->phase, this->address, this->revision,
            this->servers, this->drains, this->hint);
    }
};

/// Asks a peer for the document it has in force.
struct FetchConfiguration {
    template <typename Archive> void serialize(Archive&) { }
};

/// Tells the owner of a job that its client account cancelled it.
struct CancelOwnedJob {
    JobId job;
    template <typename Archive> void serialize(Archive& archive) { archive(this->job); }
};

using PeerRequest = std::variant<FetchConfiguration, CancelOwnedJob>;

/// One section with its row's version.
struct SectionCopy {
    std::string document; ///< JSON text
    RowVersion version = 0;
    template <typename Archive> void serialize(Archive& archive) { archive(this->document, this->version); }
};

struct ConfigurationCopy {
    Revision revision = 0; ///< zero when the peer has none
    std::map<std::string, SectionCopy> sections;
    template <typename Archive> void serialize(Archive& archive) { archive(this->revision, this->sections); }
};

struct CancelOwnedJobReply {
    bool owned = false;
    template <typename Archive> void serialize(Archive& archive) { archive(this->owned); }
};

using PeerReply = std::variant<ConfigurationCopy, CancelOwnedJobReply>;

constexpr std::size_t maximumHeartbeatBytes = 60'000;
constexpr std::size_t maximumPeerMessageBytes = 4'194'304;

/// Encodes a heartbeat that fits a datagram; digests that would not fit are left out.
std::string encodeHeartbeat(const Heartbeat& heartbeat);
/// Empty when the bytes are malformed, of another version or too long. Never allocates more than the input's size
/// times a small factor.
std::optional<Heartbeat> decodeHeartbeat(const std::string& bytes);

std::string encodePeerRequest(const PeerRequest& request);
std::optional<PeerRequest> decodePeerRequest(const std::string& bytes);
std::string encodePeerReply(const PeerReply& reply);
std::optional<PeerReply> decodePeerReply(const std::string& bytes);

} // namespace WisteriaHill::Model
