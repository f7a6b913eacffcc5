/// A backend server in memory for tests of the scheduling library: runs under leases and fencing tokens.
#pragma once

#include "scheduling/scheduler.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::TestSupport {

/// How the server treats what it runs.
enum class ServerHealth { Healthy, FailsAll, Stalled };

/// What happened to a run on a server, for checks from outside.
struct RunEvent {
    enum class Kind { Started, Ended, Acknowledged };

    Kind kind = Kind::Started;
    Scheduling::TaskName task;
    int attempt = 0;
    Scheduling::RunEnd end = Scheduling::RunEnd::Done; ///< of an ended or acknowledged run
};

/// Thread safety: none.
class FakeServer {
public:
    FakeServer(Scheduling::ServerEntry entry, std::int64_t startedAt)
        : entry(std::move(entry))
        , startedAt(startedAt)
    {
    }

    struct ActiveTask {
        int attempt = 0;
        Scheduling::Duration timeRun { 0 };
        Scheduling::Duration work { 0 };
        Scheduling::ServerTime leaseEnd { 0 };
        bool stopping = false;
        Scheduling::Duration stopTimeLeft { 0 };
    };

    Scheduling::ServerEntry entry;
    std::int64_t startedAt = 0;
    Scheduling::Duration stopTime { 200 }; ///< that a stop takes
    bool reachable = true;
    bool alive = true;
    ServerHealth health = ServerHealth::Healthy;
    int baseLatencyMs = 10; ///< ms, of tasks that serve
    int latencyPerFillerMs = 0; ///< ms that each task that fills adds at full pace
    std::map<Scheduling::TaskName, int> paces;
    int answersToLose = 0; ///< so many orders are carried out without an answer
    int startsToDelay = 0; ///< so many starts get no answer and are carried out later
    std::map<Scheduling::TaskName, ActiveTask> active;
    std::function<void(const RunEvent&)> onRunEvent; ///< may be empty
    std::set<Scheduling::TaskName> done; ///< tasks that ended well here and whose end was not lost in a restart

    /// Carries out an order; `work` is how long the task of a start takes.
    Scheduling::OrderResult handle(
        const Scheduling::ServerOrder& order, const Scheduling::Resources& need, Scheduling::Duration work);

    /// Carries out the starts that were delayed.
    void releaseDelayedStarts();

    /// Lets time pass.
    void advance(Scheduling::Duration time);

    /// Begins a new incarnation that knows nothing.
    void restart();

    /// True when a look with this acknowledgement would list an end.
    bool hasEndAfter(std::int64_t acknowledged) const;

    const std::map<Scheduling::TaskName, Scheduling::Resources>& needsOfActive() const { return this->needs; }

private:
    struct DelayedStart {
        Scheduling::StartOrder order;
        Scheduling::Resources need;
        Scheduling::Duration work { 0 };
    };

    Scheduling::OrderResult start(
        const Scheduling::StartOrder& order, const Scheduling::Resources& need, Scheduling::Duration work);
    Scheduling::OrderResult stop(const Scheduling::StopOrder& order);
    Scheduling::OrderResult poll(const Scheduling::PollOrder& order);
    int latencyMs() const;
    void end(const Scheduling::TaskName& task, Scheduling::RunEnd how);
    void report(const RunEvent& event) const;

    Scheduling::ServerTime clock { 0 };
    Scheduling::FencingToken highestToken = 0;
    std::map<Scheduling::TaskName, Scheduling::Resources> needs;
    std::map<Scheduling::TaskName, int> closedAttempts; ///< highest attempt that was stopped or has ended
    std::deque<Scheduling::EndedRun> ended;
    std::vector<DelayedStart> delayed;
    std::int64_t lastNumber = 0;
};

} // namespace WisteriaHill::TestSupport
