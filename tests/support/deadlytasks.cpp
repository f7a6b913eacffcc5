#include "support/deadlytasks.h"

#include <algorithm>

namespace WisteriaHill::TestSupport {

using namespace Scheduling;

void DeadlyTasks::check(const std::vector<std::unique_ptr<FakeServer>>& servers, SteadyTime now)
{
    for (const auto& server : servers) {
        server->crashesOn = this->options.startIsAnswered ? std::set<std::string> {} : this->jobs;
        const auto isDue = [&](const auto& entry) {
            return this->jobs.contains(entry.first.jobId) && entry.second.timeRun >= this->options.crashDelay;
        };
        const auto deadly = std::ranges::find_if(server->active, isDue);
        std::string culprit = std::exchange(server->crashedOn, {});
        if (server->alive && deadly != server->active.end())
            culprit = deadly->first.jobId;
        if (!culprit.empty()) {
            ++this->crashes[culprit];
            server->restart();
            server->alive = false;
            this->returns[server.get()] = now + this->options.downTime;
            this->onChange(*server, false);
        }
    }
    std::erase_if(this->returns, [&](const auto& entry) {
        if (now < entry.second)
            return false;
        entry.first->alive = true;
        this->onChange(*entry.first, true);
        return true;
    });
}

} // namespace WisteriaHill::TestSupport
