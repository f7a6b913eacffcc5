/// Logs the results of a planning pass: changed outlooks, preempted runs, accelerators that stay idle.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/planner.h"

namespace WisteriaHill::Scheduling {

/// Thread safety: none.
class PlanLog {
public:
    PlanLog(Board& board, Effects& effects)
        : board(board)
        , effects(effects)
    {
    }

    /// Logs a plan and stores the outlooks of the waiting steps on the blackboard. To be called before the plan is
    /// carried out.
    void record(const Plan& plan, SteadyTime now);

private:
    void recordOutlook(const OutlookChange& change, SteadyTime now);
    void logPreemption(const PlannedStop& stop, SteadyTime now);
    void logWait(const StepWait& wait, SteadyTime now);
    void logIdle(const Plan& plan, SteadyTime now);

    Board& board;
    Effects& effects;
    SteadyTime nextIdleLogAt {};
};

} // namespace WisteriaHill::Scheduling
