#include "support/gangwatch.h"

namespace WisteriaHill::TestSupport {

using namespace Scheduling;

void GangWatch::check(const std::vector<std::unique_ptr<FakeServer>>& servers,
    const std::map<std::string, JobRecord>& jobs, SteadyTime now)
{
    std::map<std::pair<TaskName, int>, std::size_t> present;
    std::vector<std::pair<FakeServer*, TaskName>> waiting;
    for (const auto& server : servers) {
        if (!server->alive)
            continue;
        for (const auto& [name, task] : server->active) {
            const StepSpecification& step
                = jobs.at(name.jobId).specification.steps.at(static_cast<std::size_t>(name.step));
            if (!step.gang)
                continue;
            const std::pair key { TaskName { name.jobId, name.occurrence, name.step, 0 }, task.attempt };
            Gang& gang = this->gangs[key];
            gang.startedAt.try_emplace(name, now);
            gang.complete = gang.complete || ++present[key] == static_cast<std::size_t>(step.taskCount);
            if (!task.stopping && now - gang.startedAt.at(name) >= patience)
                waiting.emplace_back(server.get(), name);
        }
    }
    for (const auto& [server, name] : waiting) {
        const int attempt = server->active.at(name).attempt;
        if (this->gangs.at({ { name.jobId, name.occurrence, name.step, 0 }, attempt }).complete)
            continue;
        server->end(name, RunEnd::Alone);
        ++this->alone;
    }
}

} // namespace WisteriaHill::TestSupport
