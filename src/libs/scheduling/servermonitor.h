/// Looks at backend servers, renews their leases, sends orders and finds out what has become of runs.
#pragma once

#include "scheduling/jobtracker.h"

#include <functional>
#include <utility>

namespace WisteriaHill::Scheduling {

struct ServerMonitorOptions {
    Duration maximumLease { 6000 }; ///< longest time that a server lets runs go on without a further order
    Duration stopTime { 200 }; ///< longest time that a stop takes
};

/// Thread safety: none.
class ServerMonitor {
public:
    ServerMonitor(Board& board, Effects& effects, JobTracker& tracker, ServerMonitorOptions options)
        : board(board)
        , effects(effects)
        , tracker(tracker)
        , options(options)
    {
    }

    /// Begins to give orders under a new token; every server is looked at first.
    void begin(FencingToken token, SteadyTime now);

    /// Sends what is due: looks, starts, stops.
    void tick(SteadyTime now);

    /// Sends the start of a run whose record is stored.
    void orderStart(const TaskName& name, SteadyTime now);

    /// Sends the stop of a run in phase Stopping.
    void orderStop(const TaskName& name, SteadyTime now);

    /// Lets the server forget its ends up to `number`, whose effects are stored.
    void acknowledgeEnds(const std::string& id, std::int64_t number, std::int64_t incarnation, SteadyTime now);

    /// True when new runs may be placed on the server.
    bool isUsable(const BackendServer& server) const;

    /// Called when a server refuses an order because a higher token was seen.
    void onFenced(std::function<void(SteadyTime)> handler) { this->fenced = std::move(handler); }

    /// Tells which servers are to be looked at often.
    void setFrequentPollCondition(std::function<bool(const BackendServer&)> handler)
    {
        this->needsFrequentPolls = std::move(handler);
    }

    /// Returns the time; set by the owner, so that answers are handled at their time.
    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// True when something changed that placement may use since the last call.
    bool takeChanged() { return std::exchange(this->changed, false); }

private:
    void poll(BackendServer& server, SteadyTime now);
    struct SentPoll {
        SteadyTime sentAt {};
        std::int64_t acknowledged = 0; ///< that it carried
    };

    void handlePollResult(const std::string& id, std::uint64_t serial, const SentPoll& poll, const OrderResult& result);
    void processPollAnswer(BackendServer& server, const PollAnswer& answer, const SentPoll& poll, SteadyTime now);
    void handleRestart(BackendServer& server, const PollAnswer& answer, SteadyTime sentAt, SteadyTime now);
    void reconcileRuns(BackendServer& server, const PollAnswer& answer, SteadyTime sentAt, SteadyTime now);
    void updateRun(BackendServer& server, const ActiveRun& active, SteadyTime now);
    void handleStartResult(const TaskName& name, int attempt, const std::string& server, const OrderResult& result);
    void handleStartRefusal(const TaskName& name, const std::string& server, OrderRefusal refusal, SteadyTime now);
    void handleStopResult(const TaskName& name, int attempt, const OrderResult& result);
    void markRunsLost(BackendServer& server, RunLoss loss, SteadyTime now);
    void expireServers(SteadyTime now);
    ServerTime leaseEndFor(const BackendServer& server, SteadyTime now) const;
    void extendLease(BackendServer& server, SteadyTime now) const;
    /// The server that a run is on; null, and the run is lost, when it is not known any more.
    BackendServer* serverOfRun(const TaskName& name, const Run& run, SteadyTime now);
    Run* currentRun(const TaskName& name, int attempt);

    Board& board;
    Effects& effects;
    JobTracker& tracker;
    ServerMonitorOptions options;
    FencingToken token = 0;
    std::function<void(SteadyTime)> fenced;
    std::function<bool(const BackendServer&)> needsFrequentPolls;
    std::function<SteadyTime()> clock;
    bool changed = false;
    SteadyTime nextOrderSweep {};
};

} // namespace WisteriaHill::Scheduling
