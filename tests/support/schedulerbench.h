/// Schedulers, a state store and backend servers on one fake clock; invariants are checked after every tick.
#pragma once

#include "support/benchlinks.h"
#include "support/deadlytasks.h"
#include "support/fakeadvisor.h"
#include "support/fakeserver.h"
#include "support/fakestore.h"
#include "support/gangwatch.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::TestSupport {

/// A step of `count` tasks that run for `work` and need `accelerators`, 4 cores and 16,000 MB each.
Scheduling::StepSpecification makeStep(int count, std::int64_t accelerators, Scheduling::Duration work);

/// Thread safety: none.
class SchedulerBench {
public:
    struct Options {
        int daemons = 2;
        int racks = 2;
        int serversPerRack = 4;
        Scheduling::Duration stopTime { 200 }; ///< from a stop order until the run has ended
        int zones = 0; ///< racks are distributed over them in turn; zero for servers without a zone
        Scheduling::Duration maximumLease { 6000 };
        Scheduling::Duration evacuationBound { 0 }; ///< zero on a platform without evacuations
        bool checksInvariants = true; ///< when false, violations() and startsOf() stay empty
    };

    /// The order that a server is carrying out.
    struct OrderOrigin {
        std::size_t daemon = 0; ///< that sent it
        Scheduling::SteadyTime sentAt {};
    };

    explicit SchedulerBench(Options options);

    FakeStore store;
    DeadlyTasks deadly;
    BenchLinks links;
    std::set<std::size_t> turnedAway; ///< daemons whose calls the store rejects
    bool rejectsRequestReads = false; ///< the store rejects reads of the operator's requests
    int commitsToDelay = 0; ///< so many of the next commits get no answer and are carried out after commitDelay
    Scheduling::Duration commitDelay { 0 };
    struct LateOrders {
        int count = 0; ///< so many of the next orders get no answer and are carried out after `delay`
        Scheduling::Duration delay { 0 };
        bool startsOnly = false;
    };
    std::map<std::string, LateOrders> lateOrders; ///< by server id
    std::map<std::string, int> startsNotSent; ///< by server id: so many of the next starts do not leave their daemon
    std::map<std::string, std::string> successors; ///< server ids by former ids; orders to these name a wrong instance
    std::function<void(std::size_t daemon, const Scheduling::LogLine&)> onLog; ///< may be empty
    /// Called with each order that gets no answer; may be empty. The server need not exist any more.
    std::function<void(const std::string& server, const Scheduling::ServerOrder&)> onUnanswered;
    OrderOrigin origin; ///< valid while a server reports the event of a run that an order caused

    std::set<std::string> advisedServers; ///< that the placement advice allows for every step
    std::map<std::string, int> storeWatches; ///< by all daemons, by table
    int storeReads = 0; ///< by all daemons, including rejected ones
    int adviceCalls = 0;
    Scheduling::Duration adviceDelay { 50 }; ///< until the placement advice answers
    /// When set, it gives the advice in place of `advisedServers`, and servers demand its tickets. See useAdvisor().
    std::optional<FakeAdvisor> advisor;
    bool holdsUpkeepCalls = false; ///< upkeep orders wait for their connection until sendHeldUpkeepCalls()
    int maximumMachinesDown = 0; ///< most machines that upkeep took down at once

    /// Stores a job, as an entry host does after its client's call. Queues: "urgent", "ordinary", "background",
    /// "advised".
    void submit(const std::string& id, const std::string& queue,
        const std::vector<Scheduling::StepSpecification>& steps, const std::string& account = "mill");
    /// Stores a job as it is.
    void storeJob(const Scheduling::JobRecord& record);
    void cancel(const std::string& id);

    /// Sets how long the job's tasks run, whatever the job declares.
    void setRunTime(const std::string& id, Scheduling::Duration time) { this->runTimes[id] = time; }

    /// Stores a job whose first occurrence is due after `delay`.
    void submitScheduled(const std::string& id, const std::vector<Scheduling::StepSpecification>& steps,
        int occurrences, Scheduling::Duration delay, Scheduling::Duration interval);

    /// Stores an upkeep wave for the machines of some servers, as the operator does.
    void requestUpkeep(
        std::int64_t wave, const std::vector<std::size_t>& servers, int maximumDown, Scheduling::Duration duration);
    /// Stores the request to evacuate a zone, or removes it, as the operator does.
    void evacuate(const std::string& zone);
    void takeBack(const std::string& zone);
    std::optional<std::string> waveStatus(std::int64_t wave) const;
    /// Number of upkeep orders that wait for their connection.
    std::size_t heldUpkeepCalls() const { return this->heldUpkeeps.size(); }
    /// Opens the connections that upkeep orders wait for. A process that was paused sends on them before its next tick.
    void sendHeldUpkeepCalls();

    /// Advances the clock by `time` in ticks of 10 ms.
    void run(Scheduling::Duration time);

    /// Runs until the stored state of the job is `state` or `limit` has passed. False when it has passed.
    bool runUntil(const std::string& id, Scheduling::JobState state, Scheduling::Duration limit);

    /// Runs until at least `tasks` of the job's tasks are active on servers or `limit` has passed. False when it has
    /// passed.
    bool runUntilActive(const std::string& id, int tasks, Scheduling::Duration limit);

    int activeTasks(const std::string& id) const;

    /// Precondition: the task's job was submitted.
    const Scheduling::StepSpecification& specificationOf(const Scheduling::TaskName& task) const
    {
        return this->submitted.at(task.jobId).specification.steps.at(static_cast<std::size_t>(task.step));
    }

    /// How many starts of the job's tasks the servers executed.
    int startsOf(const std::string& id) const;

    std::optional<Scheduling::JobState> storedState(const std::string& id) const;

    FakeServer& server(std::size_t index) { return *this->servers.at(index); }
    std::size_t serverCount() const { return this->servers.size(); }

    /// The server that runs a task of the job. Throws std::logic_error when none does.
    FakeServer& serverRunning(const std::string& id);

    /// Removes a server's entry from the store.
    void removeEntry(const FakeServer& server);
    void putEntry(const FakeServer& server);
    /// Stores an entry that keeps stating what the server states of itself now, until the next one is stored.
    void putEntryAsOfNow(const FakeServer& server);
    /// Stores an entry of any writer, whatever the servers state of themselves.
    void storeEntry(const Scheduling::ServerEntry& entry);
    /// Stores an entry of an earlier life of the server's machine, under another id.
    void putEntryOfEarlierLife(const FakeServer& server);

    /// Index of the daemon that leads; daemons.size() when none does.
    std::size_t leader() const;
    /// What the leader tells operators of a job.
    Utils::Json explain(const std::string& id) const;
    /// The blackboard of a daemon's scheduler.
    const Scheduling::Board& boardOf(std::size_t index) const { return this->daemons.at(index)->scheduler->state(); }
    bool isElected(std::size_t index) const
    {
        return this->daemons.at(index)->alive && this->daemons.at(index)->scheduler->leadership().isLeader();
    }
    /// The leader that takes itself for one beside daemon `former`; daemons.size() when there is none.
    std::size_t successorOf(std::size_t former) const;
    void killDaemon(std::size_t index);
    /// Lets a daemon release its leadership and ends it.
    void stopDaemon(std::size_t index);
    /// The same, in the course of run().
    void beginStop(std::size_t index);
    bool isAlive(std::size_t index) const { return this->daemons.at(index)->alive; }
    bool isPaused(std::size_t index) const { return this->daemons.at(index)->paused; }
    std::size_t daemonCount() const { return this->daemons.size(); }
    void startDaemon(std::size_t index);
    void pauseDaemon(std::size_t index) { this->daemons.at(index)->paused = true; }
    void resumeDaemon(std::size_t index) { this->daemons.at(index)->paused = false; }

    /// Cuts a daemon off from a server: orders have no effect and get no answer.
    void cut(std::size_t daemon, const std::string& server)
    {
        this->links.cut({ BenchLinks::daemon(daemon) }, { server });
    }
    /// Cuts a daemon off from the store and the other daemons.
    void isolate(std::size_t daemon);
    void heal() { this->links.clear(); }

    /// Puts a configuration without the queue in force at all daemons, and returns the queue.
    Scheduling::Queue removeQueue(const std::string& name);
    /// Puts a configuration in force at all daemons that names these services.
    void setServices(const std::vector<std::string>& names);
    /// Puts a configuration with the queue in force at all daemons.
    void addQueue(const Scheduling::Queue& queue);
    /// Sets up `advisor`, and puts a configuration in force at all daemons that announces its figures.
    FakeAdvisor& useAdvisor(const Scheduling::PlacementAdvice& figures);
    /// Puts a configuration in force at all daemons that announces these figures for the queue "advised".
    void announceAdvice(const Scheduling::PlacementAdvice& figures);
    const std::optional<Scheduling::PlacementAdvice>& announcedAdvice() const;

    Scheduling::SteadyTime now() const { return this->time; }
    Scheduling::StoreTime storeNow() const { return this->storeClock.at(this->time); }

    /// Gang members that their servers ended because the other members did not start in time.
    int membersAlone() const { return this->gangWatch.membersAlone(); }

    /// Violated invariants: two runs of a task at once, a start after the task was done, capacity exceeded, a machine
    /// taken down with runs on it, an upkeep order under a lower token than an earlier one.
    const std::vector<std::string>& violations() const { return this->recordedViolations; }

private:
    static constexpr const char* serverTable = "servers"; ///< in the store
    static constexpr const char* requestTable = "requests"; ///< of the operator
    static constexpr const char* evacuationPrefix = "evacuate/";

    struct PendingAnswer {
        Scheduling::SteadyTime at {};
        std::size_t daemon = 0;
        std::uint64_t generation = 0;
        std::function<void()> deliver;
    };

    struct WaitingPoll {
        Scheduling::SteadyTime until {};
        std::size_t daemon = 0;
        std::uint64_t generation = 0;
        Scheduling::ServerCall call;
    };

    struct WaitingWatch {
        Scheduling::SteadyTime until {};
        std::size_t daemon = 0;
        std::uint64_t generation = 0;
        Scheduling::WatchCall call;
    };

    struct LateOrder {
        Scheduling::SteadyTime at {};
        std::string server;
        std::int64_t startedAt = 0; ///< of the life of the server that has received the order
        Scheduling::ServerOrder order;
        OrderOrigin origin;
    };

    struct HeldUpkeep {
        std::size_t daemon = 0;
        std::uint64_t generation = 0;
        Scheduling::UpkeepCall call;
    };

    struct LateCommit {
        Scheduling::SteadyTime at {};
        Scheduling::Transaction transaction;
    };

    struct Daemon {
        std::unique_ptr<Scheduling::Scheduler> scheduler;
        std::uint64_t generation = 0;
        bool alive = false;
        bool paused = false;
        std::optional<Scheduling::SteadyTime> stopsAt; ///< set while the daemon stops; at the latest then it ends
    };

    void setConfiguration(Scheduling::FleetConfiguration next);
    void runTick();
    void performEffects(std::size_t daemon);
    void answer(std::size_t daemon, std::function<void()> deliver, Scheduling::Duration delay);
    void executeServerCall(std::size_t daemon, Scheduling::ServerCall call);
    Scheduling::OrderResult carryOut(
        FakeServer& target, const Scheduling::ServerOrder& order, const OrderOrigin& sender);
    void carryOutLateCalls();
    bool isCut(std::size_t daemon, const std::string& host) const
    {
        return this->links.isCut(BenchLinks::daemon(daemon), host);
    }
    bool isAnswerCut(std::size_t daemon, const std::string& host) const
    {
        return this->links.isCut(host, BenchLinks::daemon(daemon));
    }
    Scheduling::CommitResult commit(std::size_t daemon, const Scheduling::Transaction& transaction);
    Scheduling::ReadResult read(std::size_t daemon, const Scheduling::RowRange& range);
    Scheduling::WatchResult changes(std::size_t daemon, const Scheduling::WatchCall& call) const;
    void endStoppedDaemons();
    void advise(std::size_t daemon, const Scheduling::AdviceCall& call);
    void performUpkeep(std::size_t daemon, const Scheduling::UpkeepCall& call);
    void finishUpkeeps();
    void answerWaitingCalls();
    void exchangeHeartbeats();
    void checkInvariants();
    FakeServer* findServer(const std::string& id);
    Scheduling::Duration runTimeOf(const Scheduling::TaskName& task) const;

    Options options;
    Scheduling::SteadyTime time {};
    Scheduling::StoreClock storeClock;
    std::shared_ptr<const Scheduling::FleetConfiguration> configuration;
    std::vector<std::unique_ptr<FakeServer>> servers;
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<PendingAnswer> answers;
    GangWatch gangWatch;
    std::vector<WaitingPoll> polls;
    std::vector<WaitingWatch> watches;
    std::vector<LateOrder> waitingOrders;
    std::vector<LateCommit> waitingCommits;
    std::vector<HeldUpkeep> heldUpkeeps;
    std::vector<Scheduling::ServerEntry> writtenEntries; ///< that rows of the server table name by their index
    std::map<std::string, Scheduling::ServerEntry> earlierEntries; ///< by server id
    std::map<std::string, Scheduling::JobRecord> submitted;
    std::map<std::string, Scheduling::Duration> runTimes; ///< by job id, instead of the declared run time
    std::map<Scheduling::TaskName, std::set<int>> seenAttempts;
    std::map<std::string, Scheduling::SteadyTime> upkeepEnds; ///< by id of the server that is down
    std::map<std::string, std::set<std::int64_t>> upkeepsDone;
    std::map<std::int64_t, Scheduling::UpkeepWave> requestedWaves;
    Scheduling::FencingToken highestUpkeepToken = 0; ///< that the machines' service has received
    std::vector<std::string> recordedViolations;
    std::uint64_t lastGeneration = 0;
};

} // namespace WisteriaHill::TestSupport
