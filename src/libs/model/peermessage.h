/// The messages between daemons: heartbeats as UDP datagrams, requests and replies over TCP, all in cereal's portable
/// binary form. Fields and variant alternatives are encoded by position.
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
    Starting, ///< the daemon has no configuration yet
    Ready,
    Stopping,
    Left, ///< announced in the last heartbeat before the daemon exits after a graceful stop
};

/// The address under which peers reach a daemon.
struct PeerAddress {
    std::string address; ///< IPv4 address in dotted-decimal notation
    std::uint16_t port = 0; ///< UDP for heartbeats, TCP for messages

    auto operator<=>(const PeerAddress&) const = default; // NOLINT(modernize-use-nullptr): false alarm on <=>
    template <typename Archive> void serialize(Archive& archive) { archive(this->address, this->port); }
};

/// An operator's decision to drain or undrain a server. Of two marks for the same server, the one with the higher
/// counter is valid, and with equal counters the one with the higher tie breaker.
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

/// The state of a backend server as the sender last saw it in an answer of that server.
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

/// Another entry host from which the sender receives heartbeats, for hosts that do not know it yet.
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
    std::vector<ServerDigest> servers; ///< servers of the sender's zone; empty when the receiver is in another zone
    std::vector<DrainMark> drains;
    std::optional<PeerHint> hint;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->host, this->zone, this->incarnation, this->sequence, this->phase, this->address, this->revision,
            this->servers, this->drains, this->hint);
    }
};

/// Requests the configuration that is in force on the peer.
struct FetchConfiguration {
    template <typename Archive> void serialize(Archive&) { }
};

/// Tells the owner of a job that the job's client account cancelled it.
struct CancelOwnedJob {
    JobId job;
    template <typename Archive> void serialize(Archive& archive) { archive(this->job); }
};

using PeerRequest = std::variant<FetchConfiguration, CancelOwnedJob>;

/// One section of the configuration with the version of its row.
struct SectionCopy {
    std::string document; ///< JSON text
    RowVersion version = 0;
    template <typename Archive> void serialize(Archive& archive) { archive(this->document, this->version); }
};

/// The reply to FetchConfiguration.
struct ConfigurationCopy {
    Revision revision = 0; ///< zero when the peer has no configuration
    std::map<std::string, SectionCopy> sections; ///< by name
    template <typename Archive> void serialize(Archive& archive) { archive(this->revision, this->sections); }
};

/// The reply to CancelOwnedJob.
struct CancelOwnedJobReply {
    bool owned = false; ///< false when the peer owns no unfinished job of that id and therefore did nothing
    template <typename Archive> void serialize(Archive& archive) { archive(this->owned); }
};

using PeerReply = std::variant<ConfigurationCopy, CancelOwnedJobReply>;

constexpr std::size_t maximumHeartbeatBytes = 60'000;
constexpr std::size_t maximumPeerMessageBytes = 4'194'304;

/// Encodes a heartbeat in at most maximumHeartbeatBytes; server digests and drain marks that do not fit are left out.
std::string encodeHeartbeat(const Heartbeat& heartbeat);
/// Returns nothing when the bytes are malformed, too long or of another protocol version. Never allocates more than a
/// small multiple of the input's size.
std::optional<Heartbeat> decodeHeartbeat(const std::string& bytes);

std::string encodePeerRequest(const PeerRequest& request);
/// Returns nothing when the bytes are malformed, longer than maximumPeerMessageBytes or of another protocol version; so
/// does decodePeerReply.
std::optional<PeerRequest> decodePeerRequest(const std::string& bytes);
std::string encodePeerReply(const PeerReply& reply);
std::optional<PeerReply> decodePeerReply(const std::string& bytes);

} // namespace WisteriaHill::Model
