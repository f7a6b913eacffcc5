/// Polls backend servers, renews their leases, sends orders and tracks the state of their runs.
#pragma once

#include "scheduling/crashcontroller.h"
#include "scheduling/leadership.h"

#include <functional>
#include <utility>

namespace WisteriaHill::Scheduling {

struct ServerMonitorOptions {
    Duration maximumLease { 6000 }; ///< longest time that a server continues a run without a further order
    Duration stopTime { 200 }; ///< longest time that a backend server takes to stop a run
};

/// Applies the answers of backend servers to the blackboard. Thread safety: none.
class ServerMonitor {
public:
    ServerMonitor(Board& board, Effects& effects, JobTracker& tracker, CrashController& crashes,
        const Leadership& leadership, ServerMonitorOptions options)
        : board(board)
        , effects(effects)
        , tracker(tracker)
        , crashes(crashes)
        , leadership(leadership)
        , options(options)
    {
    }

    /// Starts a term. Orders carry `token`; each server is polled before it gets a start or stop.
    void begin(FencingToken token, SteadyTime now);

    /// Sends the polls, starts and stops that are due and gives up servers whose lease has expired.
    void tick(SteadyTime now);

    /// Orders the start of a run in phase Ordered, whose record is stored.
    void orderStart(const TaskName& name, SteadyTime now);

    /// Orders the stop of a run in phase Stopping.
    void orderStop(const TaskName& name, SteadyTime now);

    /// Lets the server discard its end records up to `number`, whose effects are stored. Ignored when the server's
    /// incarnation has changed.
    void acknowledgeEnds(const std::string& id, std::int64_t number, std::int64_t incarnation, SteadyTime now);

    /// Compares the lives of the server's machine after its entry has changed. A server is one life of its machine, but
    /// entries come late and from other writers: only a server that answers as the life that its entry states proves
    /// that the earlier lives are over.
    void compareLives(BackendServer& server, SteadyTime now);

    /// True when no run, order or end record of the server is left to settle.
    bool isSettled(const BackendServer& server, SteadyTime now) const;

    /// True when new runs may be placed on the server.
    bool isUsable(const BackendServer& server) const;

    /// `handler` is called when a server refuses an order because it has seen a higher token.
    void onFenced(std::function<void(SteadyTime)> handler) { this->fenced = std::move(handler); }

    /// `handler` is called when a server has accepted a start with a ticket, or rejected it for its ticket.
    void onTicketUsed(std::function<void(const UsedTicket&, SteadyTime now)> handler)
    {
        this->ticketUsed = std::move(handler);
    }

    /// `handler` returns true for servers that must answer polls after a short wait.
    void setFrequentPollCondition(std::function<bool(const BackendServer&)> handler)
    {
        this->needsFrequentPolls = std::move(handler);
    }

    /// `handler` returns the current time, so that an answer is processed at the time of its arrival.
    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// True when something that affects placement has changed since the last call.
    bool takeChanged() { return std::exchange(this->changed, false); }

private:
    static constexpr Duration orderTimeout { 500 };
    /// A server that answered this recently cannot have restarted since; a restart takes longer.
    static constexpr Duration answerFreshness { 200 };

    void poll(BackendServer& server, SteadyTime now);
    /// Logs once when the store has not confirmed the leadership for too long.
    bool mayRenewLeases(SteadyTime now);
    struct SentPoll {
        SteadyTime sentAt {};
        std::int64_t acknowledged = 0; ///< acknowledgement that the poll carried
    };

    void handlePollResult(const std::string& id, std::uint64_t serial, const SentPoll& poll, const OrderResult& result);
    void processPollAnswer(BackendServer& server, const PollAnswer& answer, const SentPoll& poll, SteadyTime now);
    void handleRestart(
        BackendServer& server, const PollAnswer& answer, SteadyTime sentAt, SteadyTime lastAnswer, SteadyTime now);
    /// With `afterGap` the server gave no answer for so long that an unchanged progress says nothing.
    void reconcileRuns(
        BackendServer& server, const PollAnswer& answer, SteadyTime sentAt, bool afterGap, SteadyTime now);
    void updateRun(BackendServer& server, const ActiveRun& active, bool afterGap, SteadyTime now);
    struct SentStart {
        int attempt = 0;
        std::string server;
        FencingToken token = 0;
        bool first = false; ///< no start of this run was sent before
        SteadyTime sentAt {};
        std::string ticket;
    };

    void handleStartResult(const TaskName& name, const SentStart& start, const OrderResult& result);
    void handleUnsentStart(const TaskName& name, Run& run, const SentStart& start, SteadyTime now);
    /// Asks the server for its state without waiting for the answer to an open poll.
    void pollAtOnce(const std::string& id, SteadyTime now);
    void handleStartRefusal(const TaskName& name, const std::string& server, OrderRefusal refusal, SteadyTime now);
    void handleStopResult(const TaskName& name, int attempt, FencingToken sentToken, const OrderResult& result);
    void markRunsLost(BackendServer& server, RunLoss loss, SteadyTime now);
    void expireServers(SteadyTime now);
    /// Removes and returns the occupants whose starts were sent and that no answer to a poll has listed.
    std::map<TaskName, Resources> extractUnlistedRuns(BackendServer& server);
    /// Ends the runs of an earlier life of the successor's machine, unless it still answers.
    void replace(BackendServer& earlier, const BackendServer& successor, SteadyTime now);
    /// Ends the runs of a server that does not answer and whose machine has another server now.
    void endReplaced(BackendServer& server, SteadyTime now);
    ServerTime leaseEndFor(const BackendServer& server, SteadyTime now) const;
    void extendLease(BackendServer& server, SteadyTime now) const;
    /// Extends the lease of the server by its full length. Returns the new end.
    ServerTime renewLease(BackendServer& server, SteadyTime now) const;
    /// The lease end for a start order. The lease is not extended while enough of it is left.
    ServerTime leaseEndForStart(BackendServer& server, SteadyTime now) const;
    /// The longest time from a renewal until the end of the lease, by this daemon's clock.
    Duration longestLease() const;
    /// True when the runs of a server that does not answer are over.
    bool leasesAreOver(const BackendServer& server, SteadyTime now) const;
    /// Returns the server of a run. Marks the run as lost and returns null when the server is no longer known.
    BackendServer* serverOfRun(const TaskName& name, const Run& run, SteadyTime now);
    Run* currentRun(const TaskName& name, int attempt);

    Board& board;
    Effects& effects;
    JobTracker& tracker;
    CrashController& crashes;
    const Leadership& leadership;
    ServerMonitorOptions options;
    FencingToken token = 0;
    std::function<void(SteadyTime)> fenced;
    std::function<void(const UsedTicket&, SteadyTime)> ticketUsed;
    std::function<bool(const BackendServer&)> needsFrequentPolls;
    std::function<SteadyTime()> clock;
    bool changed = false;
    bool renewalsExpired = false;
    SteadyTime nextOrderSweep {};
    /// Goes on through all terms, so that no answer is taken for that of another poll.
    std::uint64_t lastPollSerial = 0;
};

} // namespace WisteriaHill::Scheduling
