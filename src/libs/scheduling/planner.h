/// Decides which waiting tasks start where, and which runs make room for more urgent ones.
#pragma once

#include "scheduling/planningpass.h"
#include "scheduling/urgentreserve.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// A start that was decided.
struct PlannedStart {
    TaskName task;
    std::string server;
};

/// A run that has to make room.
struct PlannedStop {
    TaskName task;
    std::string forJob;
};

/// A waiting step that does better or worse for its client than in the last pass.
struct OutlookChange {
    TaskName step; ///< index 0
    Forecast forecast;
};

/// Accelerators of a pass after it has placed what fits.
struct IdleAccelerators {
    std::int64_t claimed = 0; ///< on servers that drain for gangs that wait
    std::int64_t reserved = 0; ///< on servers that are held ready for urgent work
    std::int64_t unrestricted = 0; ///< on other servers

    std::int64_t total() const { return this->claimed + this->reserved + this->unrestricted; }
};

struct Plan {
    std::vector<PlannedStart> starts;
    std::vector<PlannedStop> stops;
    std::vector<OutlookChange> outlookChanges;
    IdleAccelerators idle;
    std::size_t unplacedSteps = 0; ///< steps with tasks that found no room
};

struct PlannerOptions {
    Duration rackWaitLimit { 6000 }; ///< how long a step waits for the rack that suits it
    Duration idleRackWaitLimit { 1500 }; ///< the same while most of the service is idle
    Duration guaranteedRackWaitLimit { 500 }; ///< the same for guaranteed work, whose start is bounded
    Duration preemptionDelay { 300 }; ///< how long urgent work waits for room before others are stopped for it
};

/// Reads the blackboard; remembers which servers are being cleared for whom, and recent peaks. Thread safety: none.
class Planner {
public:
    explicit Planner(PlannerOptions options)
        : options(options)
    {
    }

    /// Forgets what earlier passes left, when a term begins.
    void reset()
    {
        this->preemptions.clear();
        this->reserve.reset();
    }

    /// `usable` tells whether a server takes new runs.
    Plan plan(const Board& board, const PlanningPass::Usable& usable, SteadyTime now);

private:
    /// A server whose runs are being stopped for a job.
    struct Preemption {
        std::string jobId;
        Urgency urgency = Urgency::Urgent;
        SteadyTime until {};
    };

    /// What could not be placed in this pass. Room only shrinks during a pass, so what needs as much or more, with no
    /// more freedom, cannot be placed either.
    struct Demand {
        std::string service;
        Resources need;
        int count = 1; ///< tasks that have to be placed together
        bool inOneRack = false;
        bool mayUseReserved = false;
    };

    /// Servers to clear and the runs to stop on each.
    struct PreemptionSet {
        double loss = 0;
        std::vector<std::pair<std::size_t, std::vector<const TaskName*>>> servers;
    };

    /// Room for one task on a server, and what has to be stopped for it.
    struct PreemptionOption {
        double loss = 0;
        std::size_t server = 0;
        std::vector<const PreemptibleRun*> stops;
    };

    /// What a search for servers to clear has settled on so far. The members of a gang end together, so that the room
    /// of all is to be had for the loss of one.
    struct PreemptionSearch {
        Resources need; ///< of one task
        std::map<std::size_t, int> tasksByServer; ///< tasks by server
        std::set<const TaskName*> stoppedTasks;
        std::set<const Step*> stoppedGangs;

        int tasksOn(std::size_t server) const;
        bool stops(const PreemptibleRun& run) const;
        void add(const PreemptionOption& option);
    };

    void expirePreemptions(const Board& board, SteadyTime now);
    std::vector<std::size_t> candidatesFor(const PlanningPass& pass, const PendingStep& pending) const;
    static std::vector<std::size_t> candidatesAfterFailure(
        const PlanningPass& pass, const PendingStep& pending, const std::vector<std::size_t>& candidates);
    static void countTasksOfStep(PlanningPass& pass, const PendingStep& pending, const Plan& plan);
    void planStep(PlanningPass& pass, const PendingStep& pending, Plan& plan);
    bool tryPlace(PlanningPass& pass, const PendingStep& pending, bool anyRack, Plan& plan);
    void handleUnplaced(PlanningPass& pass, const PendingStep& pending, bool anyRack, Plan& plan);
    bool preemptFor(PlanningPass& pass, const PendingStep& pending, bool inOneRack, Plan& plan);
    static PreemptionSet cheapestPreemption(
        PlanningPass& pass, const PendingStep& pending, const std::vector<std::size_t>& candidates);
    IdleAccelerators idleAccelerators(const PlanningPass& pass) const;
    static std::optional<PreemptionOption> optionOn(
        PlanningPass& pass, const PendingStep& pending, const PreemptionSearch& search, std::size_t server);
    void claimServers(const PlanningPass& pass, const PendingStep& pending);
    /// Work that can be stopped without loss, urgent work, and any work while most of the service is idle.
    bool mayUseReserved(const PendingStep& pending) const;
    bool hasPreemption(const PendingStep& pending) const;
    Demand demandOf(const PendingStep& pending, bool anyRack) const;
    bool cannotFit(const PendingStep& pending, const Demand& demand) const;

    PlannerOptions options;
    UrgentReserve reserve;
    std::map<std::string, Preemption> preemptions; ///< by server
    std::set<std::string> claimed; ///< servers that drain for a waiting gang in this pass
    std::vector<Demand> failedDemands; ///< in this pass
    int preemptionSearchesLeft = 0; ///< searches for servers to clear that this pass may still make
    bool excludeAvoided = true;
};

} // namespace WisteriaHill::Scheduling
