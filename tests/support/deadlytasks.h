/// Crashes servers that start the tasks of some jobs, as a defect in their payload would.
#pragma once

#include "support/fakeserver.h"

#include <memory>

namespace WisteriaHill::TestSupport {

/// Thread safety: none.
class DeadlyTasks {
public:
    struct Options {
        Scheduling::Duration crashDelay { 30 }; ///< from the start of a task until its server crashes
        Scheduling::Duration downTime { 3000 }; ///< until the server is back, under a new incarnation
        bool startIsAnswered = true; ///< when false, the server crashes before it answers the start order
    };

    Options options;
    std::set<std::string> jobs; ///< ids of the jobs whose tasks crash servers
    /// Called when a server has crashed, and when it is back.
    std::function<void(FakeServer&, bool alive)> onChange = [](FakeServer&, bool) {};

    /// Call it on each tick, before the servers advance.
    void check(const std::vector<std::unique_ptr<FakeServer>>& servers, Scheduling::SteadyTime now);

    /// Number of crashes, under a task of the job.
    int crashesUnder(const std::string& job) const
    {
        const auto found = this->crashes.find(job);
        return found == this->crashes.end() ? 0 : found->second;
    }

private:
    std::map<FakeServer*, Scheduling::SteadyTime> returns;
    std::map<std::string, int> crashes;
};

} // namespace WisteriaHill::TestSupport
