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
    std::int64_t held = 0; ///< on servers that are held ready for urgent work
    std::int64_t open = 0; ///< on other servers

    std::int64_t total() const { return this->claimed + this->held + this->open; }
};

struct Plan {
    std::vector<PlannedStart> starts;
    std::vector<PlannedStop> stops;
    std::vector<OutlookChange> outlookChanges;
    IdleAccelerators idle;
    std::size_t waitingUnits = 0; ///< steps with tasks that found no room
};

struct PlannerOptions {
    Duration rackPatience { 6000 }; ///< how long a step waits for the rack that suits it
    Duration idleRackPatience { 1500 }; ///< the same while most of the service is idle
    Duration guaranteedRackPatience { 500 }; ///< the same for guaranteed work, whose start is bounded
    Duration urgentPatience { 300 }; ///< how long urgent work waits for room before others are stopped for it
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
        this->clearings.clear();
        this->reserve.reset();
    }

    /// `usable` tells whether a server takes new runs.
    Plan plan(const Board& board, const PlanningPass::Usable& usable, SteadyTime now);

private:
    /// A server whose runs are being stopped for a job.
    struct Clearing {
        std::string jobId;
        Urgency urgency = Urgency::Urgent;
        SteadyTime until {};
    };

    /// What could not be placed in this pass. Room only shrinks during a pass, so what needs as much or more, with no
    /// more freedom, cannot be placed either.
    struct FailedShape {
        std::string service;
        Resources need;
        int count = 1; ///< tasks that have to be placed together
        bool inOneRack = false;
        bool mayUseHeldReady = false;
    };

    /// Servers to clear and the runs to stop on each.
    struct ClearingChoice {
        double loss = 0;
        std::vector<std::pair<std::size_t, std::vector<const TaskName*>>> servers;
    };

    /// Room for one task on a server, and what has to be stopped for it.
    struct ClearingOffer {
        double loss = 0;
        std::size_t server = 0;
        std::vector<const PossibleVictim*> stops;
    };

    /// What a search for servers to clear has settled on so far. The members of a gang end together, so that the room
    /// of all is to be had for the loss of one.
    struct ClearingSearch {
        Resources need; ///< of one task
        std::map<std::size_t, int> chosen; ///< tasks by server
        std::set<const TaskName*> stoppedTasks;
        std::set<const Step*> stoppedGangs;

        int chosenOn(std::size_t server) const;
        bool stops(const PossibleVictim& victim) const;
        void take(const ClearingOffer& offer);
    };

    void expireClearings(const Board& board, SteadyTime now);
    std::vector<std::size_t> candidatesFor(const PlanningPass& pass, const WaitingUnit& unit) const;
    static std::vector<std::size_t> provenAmong(
        const PlanningPass& pass, const WaitingUnit& unit, const std::vector<std::size_t>& candidates);
    static void countTasksOfStep(PlanningPass& pass, const WaitingUnit& unit, const Plan& plan);
    void placeUnit(PlanningPass& pass, const WaitingUnit& unit, Plan& plan);
    bool placeTasksOf(PlanningPass& pass, const WaitingUnit& unit, bool anyRack, Plan& plan);
    void waitForRoom(PlanningPass& pass, const WaitingUnit& unit, bool anyRack, Plan& plan);
    bool makeRoom(PlanningPass& pass, const WaitingUnit& unit, bool inOneRack, Plan& plan);
    static ClearingChoice cheapestClearing(
        PlanningPass& pass, const WaitingUnit& unit, const std::vector<std::size_t>& candidates);
    IdleAccelerators idleAccelerators(const PlanningPass& pass) const;
    static std::optional<ClearingOffer> offerOf(
        PlanningPass& pass, const WaitingUnit& unit, const ClearingSearch& search, std::size_t server);
    void claimServers(const PlanningPass& pass, const WaitingUnit& unit);
    /// Work that can be stopped without loss, urgent work, and any work while most of the service is idle.
    bool mayUseHeldReady(const WaitingUnit& unit) const;
    bool ownsClearing(const WaitingUnit& unit) const;
    FailedShape shapeOf(const WaitingUnit& unit, bool anyRack) const;
    bool mustFail(const WaitingUnit& unit, const FailedShape& shape) const;

    PlannerOptions options;
    UrgentReserve reserve;
    std::map<std::string, Clearing> clearings; ///< by server
    std::set<std::string> claimed; ///< servers that drain for a waiting gang in this pass
    std::vector<FailedShape> failedShapes; ///< in this pass
    int clearingsLeft = 0; ///< searches for servers to clear that this pass may still make
    bool excludeAvoided = true;
};

} // namespace WisteriaHill::Scheduling
