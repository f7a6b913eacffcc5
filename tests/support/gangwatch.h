/// Ends gang members that wait too long for the other members, as backend servers do.
#pragma once

#include "support/fakeserver.h"

#include <memory>

namespace WisteriaHill::TestSupport {

/// Thread safety: none.
class GangWatch {
public:
    /// How long the first members of a gang wait for the others.
    static constexpr Scheduling::Duration patience { 3000 };

    /// Call it on each tick. Precondition: `jobs` contains the jobs of all active tasks.
    void check(const std::vector<std::unique_ptr<FakeServer>>& servers,
        const std::map<std::string, Scheduling::JobRecord>& jobs, Scheduling::SteadyTime now);

    int membersAlone() const { return this->alone; }

private:
    /// Members of one attempt of a gang that have started, by task and start time.
    struct Gang {
        bool complete = false; ///< all members were active at the same time
        std::map<Scheduling::TaskName, Scheduling::SteadyTime> startedAt;
    };

    std::map<std::pair<Scheduling::TaskName, int>, Gang> gangs; ///< by the gang's first task and the attempt
    int alone = 0;
};

} // namespace WisteriaHill::TestSupport
