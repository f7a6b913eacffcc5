/// Moves work off backend servers that are about to go: draining ones, and machines due for upkeep.
#pragma once

#include "scheduling/jobtracker.h"

namespace WisteriaHill::Scheduling {

/// Stops runs whose progress is saved, and long-running ones as far as their step may miss tasks. Others run to their
/// end or until the server goes. Thread safety: none.
class Evacuation {
public:
    Evacuation(Board& board, JobTracker& tracker, Duration stopTime)
        : board(board)
        , tracker(tracker)
        , stopTime(stopTime)
    {
    }

    /// Handles draining servers.
    void tick(SteadyTime now);

    /// Begins to empty a server. With `force`, runs without saved progress are stopped too.
    void evacuate(const BackendServer& server, bool force, SteadyTime now);

private:
    bool endsBefore(const TaskName& name, const Run& run, SteadyTime bound, SteadyTime now) const;
    bool mayStopAnother(const TaskName& name) const;

    Board& board;
    JobTracker& tracker;
    Duration stopTime;
};

} // namespace WisteriaHill::Scheduling
