/// Learns run times and the speed of machines from the progress and the ends of runs.
#pragma once

#include "scheduling/board.h"
#include "scheduling/effects.h"

namespace WisteriaHill::Scheduling::Estimates {

/// Reads the blackboard and writes its estimates; pushes log lines and measurements, but no calls. Thread safety: none.
class SpeedLearner {
public:
    SpeedLearner(Board& board, Effects& effects)
        : board(board)
        , effects(effects)
    {
    }

    /// The server has listed this progress of its current run. Called before `run.percent` changes. Precondition: the
    /// task is known; the server's clock is that of the answer.
    void progressed(const BackendServer& server, const TaskName& name, Run& run, int percent, SteadyTime now);

    /// The server has listed the run as done, and for a gang member the gang. Precondition: the job's runs are still on
    /// the blackboard.
    void ended(const BackendServer& server, Job& job, const TaskName& name, Run& run, SteadyTime now);

    /// Applies to every queue whether the machines of its service are proved to differ.
    void applyProofs();

private:
    /// True when the run time tells something about the machine and the queue.
    bool isComparable(const BackendServer& server, const Job& job, const TaskName& name, const Run& run) const;
    /// When the work of the run began, if it is known. A gang works from the moment when all members are there.
    std::optional<SteadyTime> workSince(const Job& job, const TaskName& name, const Run& run) const;
    void learn(const BackendServer& server, Job& job, const TaskName& name, Run& run, const RunTimeReading& reading,
        SteadyTime now);
    void learnMembers(Job& job, const TaskName& name, const Run& run, SteadyTime now);
    void learnRunTime(const BackendServer& server, const Job& job, const TaskName& name, Duration ran);
    double slownessOf(const Job& job, const TaskName& name, const BackendServer& server) const;
    void report(const BackendServer& server, SpeedClass before, bool wasProved, SteadyTime now);

    Board& board;
    Effects& effects;
    SteadyTime reportsSince {};
    int reports = 0; ///< of classes, since `reportsSince`
    int unreported = 0;
};

} // namespace WisteriaHill::Scheduling::Estimates
