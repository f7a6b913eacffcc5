/// Slows tasks that fill idle capacity while they disturb tasks that serve users.
#pragma once

#include "scheduling/board.h"
#include "scheduling/effects.h"

namespace WisteriaHill::Scheduling {

/// Orders paces from the latencies that servers list. Thread safety: none.
class PaceController {
public:
    PaceController(Board& board, Effects& effects)
        : board(board)
        , effects(effects)
    {
    }

    /// True when the server has to be looked at often: tasks that serve and tasks that fill stand there.
    bool isMixed(const BackendServer& server) const;

    /// Compares latencies with targets, and sets the pace of the tasks that fill.
    void tick(FencingToken token, SteadyTime now);

private:
    void paceServer(const BackendServer& server, FencingToken token, SteadyTime now);
    int wantedPercent(const BackendServer& server, int current) const;

    Board& board;
    Effects& effects;
    std::map<std::string, SteadyTime> changedAt; ///< of the last pace, by server
};

} // namespace WisteriaHill::Scheduling
