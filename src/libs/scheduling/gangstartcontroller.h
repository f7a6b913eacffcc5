/// Stops gangs of which not all members start, before their servers end the members that wait.
#pragma once

#include "scheduling/jobtracker.h"

#include <string_view>

namespace WisteriaHill::Scheduling {

struct GangStartOptions {
    Duration patience { 3000 }; ///< how long a server lets a gang member wait for the other members
};

/// Answers the load of many gangs on a fleet that loses servers: members that wait for a lost one hold servers that
/// other work needs. The gang is queued again; a member whose fate is unknown delays it until its server's lease is
/// over, so that no task runs twice. Runs in the leader only. Thread safety: none.
class GangStartController {
public:
    GangStartController(Board& board, Effects& effects, JobTracker& tracker, GangStartOptions options)
        : board(board)
        , effects(effects)
        , tracker(tracker)
        , options(options)
    {
    }

    /// Requests the stops of gangs that cannot become complete in time.
    void stopIncompleteGangs(SteadyTime now);

private:
    /// How far the members of a gang have come.
    struct Progress {
        int started = 0; ///< confirmed by their servers
        int unconfirmed = 0; ///< ordered, without a confirmation
        int withoutRun = 0;
        bool adopted = false;
        SteadyTime since = SteadyTime::max(); ///< when the first start was ordered, or was adopted
        const Run* missing = nullptr; ///< an unconfirmed member
        bool serverSilent = false; ///< the server of an unconfirmed member does not answer
    };

    Progress progressOf(const Step& gang) const;
    /// Empty when the gang needs no stop.
    std::string_view reasonToStop(const Progress& progress, SteadyTime now) const;
    void avoidServersOfMissing(const Step& gang, SteadyTime now);

    Board& board;
    Effects& effects;
    JobTracker& tracker;
    GangStartOptions options;
};

} // namespace WisteriaHill::Scheduling
