/// Moves work off backend servers that are about to leave: draining ones, and those on machines due for upkeep.
#pragma once

#include "scheduling/jobtracker.h"

namespace WisteriaHill::Scheduling::Evacuation {

/// Stops runs whose progress is saved, and long-running ones. All other runs continue to their end or until the server
/// leaves, unless evacuate() forces their stop. Thread safety: none.
class ServerEvacuation {
public:
    ServerEvacuation(Board& board, JobTracker& tracker, Duration stopTime)
        : board(board)
        , tracker(tracker)
        , stopTime(stopTime)
    {
    }

    /// Stops runs on draining servers: long-running ones at once, those that save progress when just enough time is
    /// left for the stop and they are not expected to end before the server leaves.
    void tick(SteadyTime now);

    /// Stops the runs on a server whose machine is due for upkeep; of a long-running step only as many as its
    /// `maximumMissing` allows. With `force`, runs without saved progress are stopped too.
    void evacuate(const BackendServer& server, bool force, SteadyTime now);

    /// True when the run is expected to end by itself before `bound`. Precondition: the task is known.
    bool endsBefore(const TaskName& name, const Run& run, SteadyTime bound, SteadyTime now) const;

    /// True when the step of a long-running task may miss one more of its tasks. Precondition: the task is known.
    bool mayStopAnother(const TaskName& name) const;

private:
    Board& board;
    JobTracker& tracker;
    Duration stopTime;
};

} // namespace WisteriaHill::Scheduling::Evacuation
