/// Which entry hosts live: heartbeats, incarnations and goodbyes.
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
    /// `seeds` are addresses from the settings; more are learnt from the platform's list and from peers.
    MembershipController(Model::Blackboard& blackboard, Outbox& outbox, ServerHealthController& health,
        Utils::RandomSource& random, std::vector<Model::PeerAddress> seeds);

    void heartbeatReceived(const Model::Heartbeat& heartbeat, SteadyTime now);
    void hostListReceived(const std::vector<ListedHost>& hosts);

    /// Sends due heartbeats and notices members that went silent.
    void tick(SteadyTime now);

    /// Tells every peer that this process ends.
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
    std::vector<Model::PeerAddress> candidatePeers; ///< addresses that were never heard from
    std::uint64_t sequence = 0;
    Model::Revision announcedRevision = 0;
    SteadyTime nextOwnZoneRound;
    SteadyTime nextOtherZoneRound;
    SteadyTime nextCandidateRound;
};

} // namespace WisteriaHill::Controllers
