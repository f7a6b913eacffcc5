/// What the daemons tell each other by heartbeats, and who they are.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/rowcodec.h"
#include "scheduling/unstoredsuccesses.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// A datagram from one daemon to all others.
struct PeerHeartbeat {
    std::string node;
    std::string zone;
    std::string address;
    std::uint16_t heartbeatPort = 0;
    std::uint16_t relayPort = 0;
    std::uint64_t incarnation = 0;
    std::int64_t configurationVersion = 0;
    FencingToken term = 0; ///< the highest that the sender knows
    bool leading = false; ///< the sender schedules under `term`
    bool scheduling = false; ///< the sender has read all rows; `pending` holds
    bool leaving = false; ///< the sender stops; when it led, the leadership is free
    bool storeReachable = false; ///< without the help of another daemon
    std::int64_t wallOffset = 0; ///< time of day less the store's time, ms
    std::map<std::string, std::int64_t> pending; ///< of the leader: jobs without a started task, by queue
    std::vector<ReportedSuccess> successes; ///< of a former leader: runs whose ends it could not store

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->node, this->zone, this->address, this->heartbeatPort, this->relayPort, this->incarnation,
            this->configurationVersion, this->term, this->leading, this->scheduling, this->leaving,
            this->storeReachable, this->wallOffset, this->pending, this->successes);
    }
};

std::string encodePeerHeartbeat(const PeerHeartbeat& heartbeat);

/// Nothing when the bytes are no heartbeat of this version.
std::optional<PeerHeartbeat> decodePeerHeartbeat(const std::string& bytes);

/// Another daemon.
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

    /// False when the heartbeat is this daemon's own.
    bool handleHeartbeat(const PeerHeartbeat& heartbeat, SteadyTime now);

    /// Daemons that were heard within `age`.
    std::vector<const Peer*> activeWithin(Duration age, SteadyTime now) const;

    /// Addresses to send heartbeats to: all that may be alive.
    std::vector<MemberRow> destinations(SteadyTime now) const;

    /// Removes this daemon's entry from the store. `done` is called when that is settled.
    void unregister(std::function<void()> done);

    /// This daemon's own entry.
    const MemberRow& own() const { return this->self; }

private:
    void registerSelf(SteadyTime now);
    void readMembers(SteadyTime now);

    Effects& effects;
    MemberRow self;
    std::function<SteadyTime()> clock;
    std::map<std::string, Peer> peers;
    std::map<std::string, MemberRow> members;
    std::map<std::string, SteadyTime> memberSince;
    bool registered = false;
    bool callOpen = false;
    SteadyTime nextCall {};
};

/// Median of the daemons' differences between time of day and store time; a daemon whose time of day jumped is
/// outvoted.
Duration agreedWallOffset(Duration own, const std::vector<const Peer*>& peers);

} // namespace WisteriaHill::Scheduling
