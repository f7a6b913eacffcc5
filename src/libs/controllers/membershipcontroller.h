/// Tracks which entry hosts are live, by heartbeats, incarnations and announced leaves.
#pragma once

#include "controllers/outbox.h"
#include "controllers/serverhealthcontroller.h"
#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <vector>

namespace WisteriaHill::Controllers {

/// Thread safety: none.
class MembershipController {
public:
    /// `seeds` are addresses from the settings. The platform's host list and peers' hints add more.
    MembershipController(Model::Blackboard& blackboard, Outbox& outbox, ServerHealthController& health,
        Utils::RandomSource& random, std::vector<Model::PeerAddress> seeds);

    /// Updates the member that sent the heartbeat; heartbeats that arrive out of order are dropped.
    void heartbeatReceived(const Model::Heartbeat& heartbeat, SteadyTime now);
    /// Adds the listed entry hosts that are not members yet to the addresses that get heartbeats.
    void hostListReceived(const std::vector<ListedHost>& hosts);

    /// Sends due heartbeats, and marks members as lost whose heartbeats stopped.
    void tick(SteadyTime now);

    /// Sends every member a heartbeat that says that this process ends.
    void announceLeave(SteadyTime now);

private:
    Model::Heartbeat composeHeartbeat(bool sameZone, SteadyTime now);
    void sendHeartbeat(const Model::PeerAddress& address, const Model::Heartbeat& heartbeat);
    void sendRound(bool sameZone, SteadyTime now);
    void sendToCandidates(SteadyTime now);
    void expire(SteadyTime now);

    Model::Blackboard& blackboard;
    Outbox& outbox;
    ServerHealthController& health;
    Utils::RandomSource& random;
    std::vector<Model::PeerAddress> candidatePeers; ///< addresses from which no heartbeat came yet
    std::uint64_t sequence = 0;
    Model::Revision announcedRevision = 0;
    SteadyTime nextOwnZoneRound;
    SteadyTime nextOtherZoneRound;
    SteadyTime nextCandidateRound;
};

} // namespace WisteriaHill::Controllers
