/// Decides which waiting tasks start on which backend server, and which runs are preempted for more urgent work.
#pragma once

#include "scheduling/planningpass.h"
#include "scheduling/urgentreserve.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

struct PlannedStart {
    TaskName task;
    std::string server;
    Placement::SpeedNeed speed; ///< that the server was chosen for
    Estimates::SpeedClass speedClass = Estimates::SpeedClass::Unknown; ///< of the server
};

/// A run to preempt.
struct PlannedStop {
    TaskName task;
    std::string forJob; ///< id of the job that needs the capacity
};

/// A waiting step whose outlook improved or worsened since the last pass.
struct OutlookChange {
    TaskName step; ///< the step's task with index 0
    Forecast forecast;
};

/// Numbers of accelerators that are idle after a pass has placed what fits.
struct IdleAccelerators {
    std::int64_t claimed = 0; ///< on servers claimed for waiting gangs, which get no other work
    std::int64_t reserved = 0; ///< on servers reserved for urgent work
    std::int64_t unrestricted = 0; ///< on all other servers

    std::int64_t total() const { return this->claimed + this->reserved + this->unrestricted; }
};

/// A waiting step of a job that has had nothing running for a while, or a waiting step that lasts.
struct StepWait {
    TaskName step; ///< the step's task with index 0
    std::size_t waitingTasks = 0;
    Duration idle { 0 }; ///< since a run of the job was last known, or since the step's turn came
    WaitReason reason = WaitReason::NoRoom; ///< that keeps it from most servers with room for a task
    std::map<WaitReason, std::size_t> serversWithRoom; ///< numbers of servers with room for a task, by reason
    ServiceLoad load; ///< of the step's service
};

struct Plan {
    std::vector<PlannedStart> starts;
    std::vector<PlannedStop> stops;
    std::vector<OutlookChange> outlookChanges;
    std::vector<StepWait> waits; ///< a limited number in each second
    IdleAccelerators idle;
    std::size_t unplacedSteps = 0; ///< steps with tasks that found no free capacity
};

struct PlannerOptions {
    Duration rackWaitLimit { 6000 }; ///< a step that prefers a rack may start on any other after this
    Duration idleRackWaitLimit { 1500 }; ///< replaces rackWaitLimit while most of the service is idle
    Duration guaranteedRackWaitLimit { 500 }; ///< replaces both for guaranteed work, whose start time is bounded
    Duration preemptionDelay { 300 }; ///< urgent work waits this long for free capacity before it preempts runs
    /// A job that has had nothing running for this long in a service that is mostly idle starts wherever there is room.
    Duration idleLimit { 2000 };
    Duration lastingIdleLimit { 4000 }; ///< replaces idleLimit for a task that lasts, however busy the service is
};

/// Reads the blackboard. Keeps, between passes, which servers were preempted for which job and the recent peaks of
/// urgent work. Thread safety: none.
class Planner {
public:
    /// `speedOf` tells the speeds of servers; by default what the blackboard's estimate says.
    explicit Planner(PlannerOptions options, PlanningPass::SpeedOf speedOf = PlanningPass::speedOnBoard)
        : options(options)
        , speedOf(std::move(speedOf))
    {
    }

    /// Discards the state of earlier passes. To be called when a term begins.
    void reset()
    {
        this->preemptions.clear();
        this->reserve.reset();
    }

    /// Plans one pass. `usable` returns whether a server accepts new runs.
    Plan plan(const Board& board, const PlanningPass::Usable& usable, SteadyTime now);

private:
    /// A server whose runs are being stopped for a job.
    struct Preemption {
        std::string jobId; ///< id of the preempting job
        Urgency urgency = Urgency::Urgent; ///< of the preempting job
        SteadyTime until {}; ///< end of the job's reservation of the server
    };

    /// Whether a step may wait for better servers than those that have room: ones that are not avoided, reserved or
    /// claimed, on which its job has not failed, on which runs succeed, or which are in a certain rack.
    enum class Preferences { Kept, Dropped };

    /// What a step needs to be placed. Free capacity only shrinks during a pass, so once a demand has failed, demands
    /// for as much or more under equal or stricter constraints and the same preferences fail too.
    struct Demand {
        std::string service;
        Resources need; ///< of one task
        int count = 1; ///< tasks that have to be placed together
        bool inOneRack = false;
        bool mayUseReserved = false;
        Preferences preferences = Preferences::Kept;
    };

    /// The servers to preempt for a step and the runs to stop on each.
    struct PreemptionSet {
        double loss = 0; ///< work lost, in core milliseconds
        std::vector<std::pair<std::size_t, std::vector<const TaskName*>>> servers; ///< server index, runs to stop
    };

    /// The runs to stop on one server so that one more task of the step fits there.
    struct PreemptionOption {
        double loss = 0; ///< work lost, in core milliseconds
        std::size_t server = 0;
        std::vector<const PreemptibleRun*> stops;
    };

    /// The options chosen so far for a step. The members of a gang end together, so stopping one member frees the
    /// capacity of all of them, and its loss is counted once.
    struct PreemptionSearch {
        Resources need; ///< of one task
        std::map<std::size_t, int> tasksByServer; ///< tasks of the step to be placed, by server index
        std::set<const TaskName*> stoppedTasks;
        std::set<const Step*> stoppedGangs;

        int tasksOn(std::size_t server) const;
        /// True when the chosen options stop the run already.
        bool stops(const PreemptibleRun& run) const;
        void add(const PreemptionOption& option);
    };

    /// A server that has not listed a run for longer may be dead; polls take up to 1.5 s.
    static constexpr Duration listingPeriod { 2000 };

    enum class PlacementOutcome { All, Some, None };

    /// The room on servers: what is free, or all of it.
    enum class Room { Free, WhenEmpty };

    void expirePreemptions(const Board& board, SteadyTime now);
    std::vector<std::size_t> candidatesFor(
        const PlanningPass& pass, const PendingStep& pending, Preferences preferences = Preferences::Kept) const;
    /// True when the step has waited for better servers as long as it may.
    bool preferencesAreOver(const PlanningPass& pass, const PendingStep& pending) const;
    /// The candidates on which the job has not failed, or all when these have no room for a task or the gang.
    static std::vector<std::size_t> preferNotFailed(
        const PlanningPass& pass, const PendingStep& pending, const std::vector<std::size_t>& candidates);
    /// True when the step, or a task of it that is no gang, fits on these servers.
    static bool canHold(
        const PlanningPass& pass, const PendingStep& pending, const std::vector<std::size_t>& servers, Room room);
    /// Restricts the candidates of a job that has failed to servers on which it did not fail, if these can hold it. Of
    /// these only the recently successful ones are returned when they have enough free capacity, or while the last
    /// attempt has waited less than its limit.
    static std::vector<std::size_t> candidatesAfterFailure(
        const PlanningPass& pass, const PendingStep& pending, const std::vector<std::size_t>& candidates);
    /// True while the job's last attempt waits for a server on which runs succeed.
    static bool waitsForSuccess(const PlanningPass& pass, const PendingStep& pending);
    bool isPreemptedForOthers(const std::string& server, const PendingStep& pending) const;
    /// The waiting task that has been without a run for the longest time; its index in the step.
    static int longestIdleTask(const PendingStep& pending);
    /// Since when the step could have run, and nothing of its job, or of a task that lasts, is known to have been
    /// running.
    static SteadyTime idleSince(const PendingStep& pending);
    /// What keeps the step from a server that has room for one of its tasks.
    WaitReason exclusionOf(const PlanningPass& pass, const PendingStep& pending, std::size_t index, bool anyRack) const;
    /// Adds to the plan what keeps the step waiting, unless it was reported a short time ago.
    void reportWait(const PlanningPass& pass, const PendingStep& pending, bool anyRack, Plan& plan);
    static void countTasksOfStep(PlanningPass& pass, const PendingStep& pending, const Plan& plan);
    void planStep(PlanningPass& pass, const PendingStep& pending, Plan& plan);
    /// Plans starts of all waiting tasks that can be placed.
    PlacementOutcome tryPlace(PlanningPass& pass, const PendingStep& pending, bool anyRack, Plan& plan);
    /// Plans the start of one waiting task, or of a whole gang, on whatever servers have room. False when none has.
    bool placeAnywhere(PlanningPass& pass, const PendingStep& pending, Plan& plan);
    /// Plans the starts of tasks for which a server was chosen. Returns their number. Precondition: `choice` has an
    /// entry for each of `tasks`.
    static std::size_t addStarts(const PlanningPass& pass, const PendingStep& pending, const std::vector<int>& tasks,
        const std::vector<std::optional<std::size_t>>& choice, Plan& plan);
    void handleUnplaced(PlanningPass& pass, const PendingStep& pending, bool anyRack, Plan& plan);
    bool preemptFor(PlanningPass& pass, const PendingStep& pending, bool inOneRack, Plan& plan);
    /// The servers on which runs may be stopped for a step.
    enum class PreemptedServers { Any, NotSlow };

    PreemptionSet bestPreemption(
        PlanningPass& pass, const PendingStep& pending, bool inOneRack, PreemptedServers among) const;
    static PreemptionSet cheapestPreemption(
        PlanningPass& pass, const PendingStep& pending, const std::vector<std::size_t>& candidates);
    IdleAccelerators idleAccelerators(const PlanningPass& pass) const;
    static std::optional<PreemptionOption> optionOn(
        PlanningPass& pass, const PendingStep& pending, const PreemptionSearch& search, std::size_t server);
    void claimServers(const PlanningPass& pass, const PendingStep& pending);
    /// True for urgent work, for work that can be stopped without loss, and for any work while most of the service is
    /// idle.
    bool mayUseReserved(const PendingStep& pending) const;
    bool hasPreemption(const PendingStep& pending) const;
    Demand demandOf(const PendingStep& pending, bool anyRack) const;
    /// True when a failed demand says something of the demands of other steps too.
    static bool isUnconstrained(const PendingStep& pending);
    /// True when an equal or smaller demand has failed in this pass and no server is preempted for the job.
    bool cannotFit(const PendingStep& pending, const Demand& demand) const;

    PlannerOptions options;
    PlanningPass::SpeedOf speedOf;
    UrgentReserve reserve;
    std::map<std::string, Preemption> preemptions; ///< by server
    std::set<std::string> claimed; ///< servers that get no other work in this pass because a gang waits for them
    std::vector<Demand> failedDemands; ///< demands that could not be placed in this pass
    SteadyTime reportsSince {}; ///< begin of the interval that reportsLeft counts for
    int reportsLeft = 0; ///< waits that may still be reported in the interval
    int preemptionSearchesLeft = 0; ///< searches for servers to preempt that this pass may still make
    bool excludeAvoided = true; ///< false when so many servers are avoided that they are used last
};

} // namespace WisteriaHill::Scheduling
