/// Tracks the health of this zone's backend servers: load, leaving, silence, failures and drains.
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

    /// Updates the server views to the configuration in force.
    void configurationChanged(SteadyTime now);

    /// Updates load, leaving and silence from the result of a request that this daemon sent to `server`.
    void requestEnded(const Model::BackendServerId& server, const RunResult& result, SteadyTime now);
    /// Updates the view from the result of a lease batch or a probe.
    void leaseBatchEnded(const Model::BackendServerId& server, const LeaseBatchResult& result, SteadyTime now);

    /// Records that a request or job succeeded or failed on the server; each request or job counts once per server.
    void recordSuccess(const Model::BackendServerId& server, SteadyTime now);
    void recordFailure(const Model::BackendServerId& server, SteadyTime now);

    /// Merges the digest of a peer in this zone; a recent report of the server itself takes precedence.
    void digestReceived(const Model::ServerDigest& digest, SteadyTime now);
    /// Merges a drain mark. True if it is newer than the known one.
    bool mergeDrain(const Model::DrainMark& mark, SteadyTime now);
    /// Drains or undrains a server of any zone for an operator.
    void setDrained(const Model::BackendServerId& server, bool drained, SteadyTime now);
    /// Updates which servers are leaving, by the platform's host list.
    void hostListReceived(const std::vector<ListedHost>& hosts, SteadyTime now);

    /// Digests for the next heartbeat: of servers that changed, and of those whose digest is due for a refresh. Only
    /// servers that reported to this daemon directly are included.
    std::vector<Model::ServerDigest> takeDigests(SteadyTime now);
    /// True once after a change that has to be sent to peers at once.
    bool takeUrgentUpdate() { return std::exchange(this->urgentUpdate, false); }

    /// Probes the servers that are due, and moves ejected servers to probation when their ejection ends.
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
