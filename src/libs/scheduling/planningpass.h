/// The servers and the waiting work of one planning pass, gathered once.
#pragma once

#include "scheduling/board.h"
#include "scheduling/outlook.h"
#include "scheduling/placement.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// Urgency of a job's tasks; lower goes first, and may take the room of higher.
enum class Urgency { Guaranteed, Urgent, Ordinary };

/// The waiting tasks of one step.
struct PendingStep {
    const Job* job = nullptr;
    const Occurrence* occurrence = nullptr;
    const Step* state = nullptr;
    const StepSpecification* specification = nullptr;
    const Queue* queue = nullptr;
    int step = 0;
    Urgency urgency = Urgency::Ordinary;
    Forecast forecast;
    std::vector<int> waitingTasks;

    TaskName taskName(int index) const { return { this->job->record.id, this->occurrence->index, this->step, index }; }
};

/// A run that could be stopped for more urgent work.
struct PreemptibleRun {
    const TaskName* name = nullptr;
    Urgency urgency = Urgency::Ordinary;
    double loss = 0; ///< of work, in core milliseconds; of the whole gang for its members
    Resources need;
    bool losesGangWork = false; ///< a whole gang loses its work with it
    const Step* gang = nullptr; ///< that ends with it; null for a task of its own
};

/// Reads the board; valid while the board does not change. Thread safety: none.
class PlanningPass {
public:
    using Usable = std::function<bool(const BackendServer&)>;

    PlanningPass(const Board& board, const Usable& usable, SteadyTime now);

    /// Usable servers with their free capacity, which placing reduces.
    std::vector<PlacementServer> servers;
    /// The blackboard's entry of each of `servers`.
    std::vector<const BackendServer*> boardServers;

    /// Steps with waiting tasks, in the order of service.
    std::vector<PendingStep> pendingSteps() const;

    /// Runs on a server of which more urgent work may take the room. Gathered at the first call.
    const std::vector<PreemptibleRun>& preemptibleRuns(std::size_t server)
    {
        return this->occupancyOf(server).preemptibleRuns;
    }

    /// Room of runs that are being stopped, or that belong to no task any more: free within a stop's time.
    const Resources& beingFreed(std::size_t server) { return this->occupancyOf(server).beingFreed; }

    Urgency urgencyOf(const Job& job) const;
    const Board& state() const { return this->board; }
    SteadyTime time() const { return this->now; }

private:
    const Board& board;
    SteadyTime now;
    std::set<std::string> guaranteed;
    /// The runs of one server, seen from work that needs their room.
    struct Occupancy {
        bool gathered = false;
        std::vector<PreemptibleRun> preemptibleRuns; ///< least loss first
        Resources beingFreed;
    };

    const Occupancy& occupancyOf(std::size_t server);

    std::vector<Occupancy> occupancies; ///< by server
};

/// The jobs of priority 0 that lie within the guarantees of their accounts.
std::set<std::string> guaranteedJobs(const Board& board);

} // namespace WisteriaHill::Scheduling
