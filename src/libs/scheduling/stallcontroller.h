/// Stops runs that make no progress, so that their tasks start on other servers.
#pragma once

#include "scheduling/jobtracker.h"

namespace WisteriaHill::Scheduling {

/// Judges runs by the progress that servers have listed. Runs in the leader only. Thread safety: none.
class StallController {
public:
    StallController(Board& board, Effects& effects, JobTracker& tracker)
        : board(board)
        , effects(effects)
        , tracker(tracker)
    {
    }

    /// Requests the stops of stalled runs on reachable servers, and avoids these servers for a while.
    void stopStalledRuns(SteadyTime now);

private:
    /// True when the task's run made no progress for too long before its server's last answer.
    bool isStalled(const TaskName& name, SteadyTime lastAnswer);
    /// How long the task's run may go without progress. Precondition: the task is known.
    Duration stallTimeoutOf(const TaskName& name) const;

    Board& board;
    Effects& effects;
    JobTracker& tracker;
};

} // namespace WisteriaHill::Scheduling
