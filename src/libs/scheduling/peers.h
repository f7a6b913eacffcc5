/// Heartbeats between the daemons, and the directory of the daemons.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/rowcodec.h"
#include "scheduling/unstoredsuccesses.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// A datagram from one daemon to all others. The order of the fields is part of the protocol.
struct PeerHeartbeat {
    std::string node;
    std::string zone;
    std::string address;
    std::uint16_t heartbeatPort = 0;
    std::uint16_t relayPort = 0;
    std::uint64_t incarnation = 0;
    std::int64_t configurationVersion = 0;
    FencingToken term = 0; ///< highest term that the sender knows
    bool leading = false; ///< the sender schedules under `term`
    bool scheduling = false; ///< the sender has loaded all rows; `pending` is valid
    bool leaving = false; ///< the sender is stopping; if it led, the leadership is free
    bool storeReachable = false; ///< directly, without a relay
    std::int64_t wallOffset = 0; ///< wall-clock time minus the store's time, ms
    std::map<std::string, std::int64_t> pending; ///< from the leader: jobs without a started task, by queue
    std::vector<ReportedSuccess> successes; ///< from a former leader: successful runs that it could not store
    double processorShare = 0; ///< cores of the sender's host; zero in the previous version of the protocol
    bool isPreviousVersion = false; ///< received in the previous version of the protocol; not sent

    template <typename Archive> void serialize(Archive& archive)
    {
        this->serializePrevious(archive);
        archive(this->processorShare);
    }

    /// The fields of the previous version of the protocol.
    template <typename Archive> void serializePrevious(Archive& archive)
    {
        archive(this->node, this->zone, this->address, this->heartbeatPort, this->relayPort, this->incarnation,
            this->configurationVersion, this->term, this->leading, this->scheduling, this->leaving,
            this->storeReachable, this->wallOffset, this->pending, this->successes);
    }
};

std::string encodePeerHeartbeat(const PeerHeartbeat& heartbeat);

/// The heartbeat for daemons of the previous version of the protocol, which understand no other.
std::string encodePreviousPeerHeartbeat(const PeerHeartbeat& heartbeat);

/// std::nullopt when the bytes are no heartbeat of this version of the protocol or of the previous one.
std::optional<PeerHeartbeat> decodePeerHeartbeat(const std::string& bytes);

/// Another daemon, by its latest heartbeat.
struct Peer {
    PeerHeartbeat heartbeat;
    SteadyTime lastHeartbeatAt {};
};

/// Finds the other daemons through the store and through their heartbeats. Thread safety: none.
class PeerDirectory {
public:
    PeerDirectory(Effects& effects, MemberRow self, std::function<SteadyTime()> clock)
        : effects(effects)
        , self(std::move(self))
        , clock(std::move(clock))
    {
    }

    /// Registers this daemon and reads the others when due.
    void tick(SteadyTime now);

    /// Records a heartbeat. Returns false when it is this daemon's own, or one in the previous version of the protocol
    /// from a daemon that has sent one in this version since it started.
    bool handleHeartbeat(const PeerHeartbeat& heartbeat, SteadyTime now);

    /// Daemons whose latest heartbeat is at most `age` old.
    std::vector<const Peer*> activeWithin(Duration age, SteadyTime now) const;

    /// Members to send the next heartbeat to: those heard lately, and now and then every other one that is registered.
    std::vector<MemberRow> takeDestinations(SteadyTime now);

    /// True when a daemon may understand only the previous version of the protocol: none of its heartbeats since it
    /// started was in this one. It gets each heartbeat in both versions then.
    bool needsPreviousVersion(const std::string& node) const;

    /// Removes this daemon's entry from the store. `done` is called when the call to the store has ended, even if it
    /// failed.
    void unregister(std::function<void()> done);

    /// True when a registered daemon or one that is heard has this address.
    bool isKnownAddress(const std::string& address) const;

    /// This daemon's own entry.
    const MemberRow& own() const { return this->self; }

private:
    void registerSelf(SteadyTime now);
    void readMembers(SteadyTime now);
    /// Reads the page of members that begins at `key`, and those after it.
    void readMembersFrom(const std::string& key);
    void applyMembers(const std::vector<Row>& rows);

    Effects& effects;
    MemberRow self;
    std::function<SteadyTime()> clock;
    std::map<std::string, Peer> peers;
    std::map<std::string, MemberRow> members;
    std::map<std::string, SteadyTime> memberSince;
    std::set<std::string> probesDue; ///< members that were silent for long and get the next heartbeat
    bool registered = false;
    bool callOpen = false;
    SteadyTime nextCall {};
};

/// Median of the daemons' differences between wall-clock time and store time, so that one wall clock that jumped has no
/// effect.
Duration agreedWallOffset(Duration own, const std::vector<const Peer*>& peers);

} // namespace WisteriaHill::Scheduling
