/// What is known of this zone's backend servers: load, leaving, silence, failing, drains.
#pragma once

#include "controllers/outbox.h"
#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <map>
#include <vector>

namespace WisteriaHill::Controllers {

/// Thread safety: none.
class ServerHealthController {
public:
    ServerHealthController(Model::Blackboard& blackboard, Outbox& outbox, Utils::RandomSource& random);

    /// Brings the views in line with the configuration in force.
    void configurationChanged(SteadyTime now);

    /// A request of this daemon to `server` got its result: load, leaving and silence are learnt from it.
    void requestEnded(const Model::BackendServerId& server, const RunResult& result, SteadyTime now);
    /// A batch of lease operations or a probe got its result.
    void leaseBatchEnded(const Model::BackendServerId& server, const LeaseBatchResult& result, SteadyTime now);

    /// A distinct request or job succeeded or failed on the server.
    void recordSuccess(const Model::BackendServerId& server, SteadyTime now);
    void recordFailure(const Model::BackendServerId& server, SteadyTime now);

    /// What a peer of this zone saw.
    void digestReceived(const Model::ServerDigest& digest, SteadyTime now);
    /// Merges a drain mark; true if it is news.
    bool mergeDrain(const Model::DrainMark& mark, SteadyTime now);
    /// An operator drains or undrains a server of any zone.
    void setDrained(const Model::BackendServerId& server, bool drained, SteadyTime now);
    /// The platform's list was read.
    void hostListReceived(const std::vector<ListedHost>& hosts, SteadyTime now);

    /// Digests for the next heartbeat: what changed, and a few others in turn.
    std::vector<Model::ServerDigest> takeDigests(SteadyTime now);
    /// True when something changed that peers should hear of at once.
    bool takeUrgentUpdate() { return std::exchange(this->urgentUpdate, false); }

    /// Probes what is due and moves ejected servers to probation.
    void tick(SteadyTime now);

private:
    void probe(Model::ServerView& view, SteadyTime now);
    void applyReport(Model::ServerView& view, const Model::ServerReport& report, SteadyTime now);
    void recordIncarnation(Model::ServerView& view, Model::Incarnation incarnation);
    void recordLeaving(Model::ServerView& view, bool leaving);
    void recordAnswer(Model::ServerView& view, SteadyTime now);
    void recordNoAnswer(Model::ServerView& view, SteadyTime now);
    void markChanged(const Model::ServerView& view);
    void eject(Model::ServerView& view, SteadyTime now);
    bool mayEjectAnother() const;
    void updateLayout();

    Model::Blackboard& blackboard;
    Outbox& outbox;
    Utils::RandomSource& random;
    std::set<Model::BackendServerId> changed;
    std::map<Model::BackendServerId, SteadyTime> lastGossiped;
    bool urgentUpdate = false;
    std::uint64_t drainCounter = 0;
};

} // namespace WisteriaHill::Controllers
