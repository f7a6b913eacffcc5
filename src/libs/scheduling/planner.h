/// Decides which waiting tasks start where, and which runs make room for more urgent ones.
#pragma once

#include "scheduling/board.h"
#include "scheduling/effects.h"
#include "scheduling/placement.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// Urgency of a job's tasks; lower goes first, and may take the room of higher.
enum class Urgency { Guaranteed, Urgent, Ordinary };

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

struct Plan {
    std::vector<PlannedStart> starts;
    std::vector<PlannedStop> stops;
};

struct PlannerOptions {
    Duration rackPatience { 6000 }; ///< how long a step waits for the rack that suits it
    Duration idleRackPatience { 1500 }; ///< the same while most of the service is idle
    Duration guaranteedRackPatience { 500 }; ///< the same for guaranteed work, whose start is bounded
    Duration urgentPatience { 300 }; ///< how long urgent work waits for room before others are stopped for it
};

/// Reads the blackboard; keeps only which servers are being cleared for whom. Thread safety: none.
class Planner {
public:
    explicit Planner(PlannerOptions options)
        : options(options)
    {
    }

    /// Forgets which servers are being cleared.
    void reset()
    {
        this->clearing.clear();
        this->urgentPeak.clear();
    }

    /// `usable` tells whether a server takes new runs.
    Plan plan(const Board& board, const std::function<bool(const BackendServer&)>& usable, SteadyTime now);

private:
    struct Unit;
    struct Clearing;

    static std::vector<Unit> waitingUnits(const Board& board, SteadyTime now);
    std::vector<PlacementServer> serversFor(const Board& board, const std::function<bool(const BackendServer&)>& usable,
        const Unit& unit, const Plan& plan, SteadyTime now) const;
    void placeUnit(const Board& board, const std::function<bool(const BackendServer&)>& usable, const Unit& unit,
        Plan& plan, SteadyTime now);
    void claimServers(const Board& board, const std::function<bool(const BackendServer&)>& usable, const Unit& unit,
        const Plan& plan, SteadyTime now);
    bool makeRoom(const Board& board, const std::function<bool(const BackendServer&)>& usable, const Unit& unit,
        Plan& plan, bool inOneRack, SteadyTime now);

    struct Clearing {
        std::string jobId;
        Urgency urgency = Urgency::Urgent;
        SteadyTime until {};
    };

    /// Accelerators of a service.
    struct ServiceLoad {
        std::int64_t capacity = 0;
        std::int64_t used = 0;
        std::int64_t urgent = 0; ///< running for urgent work or asked for by it
        bool mostlyIdle() const { return this->used * 2 < this->capacity; }
    };

    void measureLoad(const Board& board, const std::function<bool(const BackendServer&)>& usable,
        const std::vector<Unit>& units, SteadyTime now);
    void holdServersReady(const Board& board, const std::function<bool(const BackendServer&)>& usable);

    PlannerOptions options;
    std::map<std::string, Clearing> clearing; ///< by server
    std::map<std::string, ServiceLoad> load; ///< by service, in this pass
    std::map<std::string, double> urgentPeak; ///< recent need of urgent work in accelerators, by service
    bool excludeAvoided = true;
    SteadyTime peakMeasuredAt {};
    std::set<std::string> claimed; ///< servers that drain for a waiting gang in this pass
    std::set<std::string> heldReady; ///< servers kept for urgent work in this pass
    std::map<std::string, Resources> planned; ///< taken in this pass, by server
};

/// The accounts' jobs of priority 0 that lie within their guarantee.
std::set<std::string> guaranteedJobs(const Board& board);

} // namespace WisteriaHill::Scheduling
