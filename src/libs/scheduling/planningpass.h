/// The servers and the waiting tasks of one planning pass, collected once.
#pragma once

#include "scheduling/board.h"
#include "scheduling/outlook.h"
#include "scheduling/placement.h"
#include "scheduling/placement/speedchoice.h"
#include "scheduling/placement/stoploss.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// Urgency of a job's tasks, most urgent first. A more urgent job may preempt runs of a less urgent one.
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
    Placement::SpeedNeed speed;
    std::vector<int> waitingTasks; ///< indices

    TaskName taskName(int index) const { return { this->job->record.id, this->occurrence->index, this->step, index }; }
};

/// A run that could be stopped for more urgent work.
struct PreemptibleRun {
    const TaskName* name = nullptr;
    Urgency urgency = Urgency::Ordinary;
    double loss = 0; ///< work lost, in core milliseconds; for a gang member, that of the whole gang
    Duration remaining { Duration::max() }; ///< until its expected end; known only where servers differ in speed
    Resources need;
    bool losesGangWork = false; ///< the run belongs to a gang that does not save progress
    const Step* gang = nullptr; ///< gang that ends with the run; null for a single task
};

/// Reads the board; valid while the board does not change. Thread safety: none.
class PlanningPass {
public:
    using Usable = std::function<bool(const BackendServer&)>;
    /// The speed of a server; unset while the servers of its service are not proved to differ.
    using SpeedOf = std::function<std::optional<Placement::ServerSpeed>(const Board&, const BackendServer&)>;

    PlanningPass(const Board& board, const Usable& usable, SteadyTime now, const SpeedOf& speedOf = speedOnBoard);

    /// What the blackboard's estimate says of a server.
    static std::optional<Placement::ServerSpeed> speedOnBoard(const Board& board, const BackendServer& server);

    /// Usable servers with their free capacity, which placement reduces.
    std::vector<PlacementServer> servers;
    /// The blackboard's entries of `servers`, at the same indices.
    std::vector<const BackendServer*> boardServers;

    /// Steps with waiting tasks, in the order of servedBefore().
    std::vector<PendingStep> pendingSteps() const;

    /// Runs on a server that more urgent work may preempt, those with the least loss first. Computed at the first call.
    const std::vector<PreemptibleRun>& preemptibleRuns(std::size_t server)
    {
        return this->occupancyOf(server).preemptibleRuns;
    }

    /// Capacity of runs that are being stopped or no longer belong to a task. It becomes free within a stop's time.
    const Resources& beingFreed(std::size_t server) { return this->occupancyOf(server).beingFreed; }

    Urgency urgencyOf(const Job& job) const;
    /// The speeds of a service's usable servers.
    const Placement::SpeedSpread& spreadOf(const std::string& service) const;
    const Board& state() const { return this->board; }
    SteadyTime time() const { return this->now; }

private:
    const Board& board;
    SteadyTime now;
    std::set<std::string> guaranteed;
    std::map<std::string, Placement::SpeedSpread> spreads; ///< by service
    /// What more urgent work can preempt on one server.
    struct Occupancy {
        bool gathered = false; ///< the other members are filled in
        std::vector<PreemptibleRun> preemptibleRuns; ///< in order of increasing loss
        Resources beingFreed;
    };

    Placement::SpeedNeed speedNeedOf(const PendingStep& pending) const;
    Placement::StopLoss stopLossOf(const Job& job, const TaskName& name, const Run& run) const;
    const Occupancy& occupancyOf(std::size_t server);

    std::vector<Occupancy> occupancies; ///< by server
};

/// Ids of the jobs of priority 0 within the guarantees of their client accounts: an account's jobs are summed up,
/// oldest first, until their accelerators exceed the guaranteed number.
std::set<std::string> guaranteedJobs(const Board& board);

} // namespace WisteriaHill::Scheduling
