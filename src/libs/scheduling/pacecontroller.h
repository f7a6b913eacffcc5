/// Slows tasks that fill idle capacity while they raise the latency of tasks that serve users.
#pragma once

#include "scheduling/board.h"
#include "scheduling/effects.h"

namespace WisteriaHill::Scheduling {

/// Derives the paces of tasks from the latencies that the servers list. Thread safety: none.
class PaceController {
public:
    PaceController(Board& board, Effects& effects)
        : board(board)
        , effects(effects)
    {
    }

    /// True when the server runs both tasks with a latency target and tasks that fill idle capacity. Such a server has
    /// to be polled often.
    bool isMixed(const BackendServer& server) const;

    /// Compares latencies with their targets, and sets the pace of the tasks that fill idle capacity.
    void tick(FencingToken token, SteadyTime now);

private:
    void paceServer(const BackendServer& server, FencingToken token, SteadyTime now);
    int wantedPercent(const BackendServer& server, int current) const;

    Board& board;
    Effects& effects;
    std::map<std::string, SteadyTime> changedAt; ///< time of the last change of a pace, by server
};

} // namespace WisteriaHill::Scheduling
