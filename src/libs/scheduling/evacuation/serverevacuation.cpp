#include "scheduling/evacuation/serverevacuation.h"

#include <algorithm>

namespace WisteriaHill::Scheduling::Evacuation {

namespace {

/// Time before the server leaves, besides the stop time, in which the stop order arrives and the server lists the
/// checkpoint.
constexpr Duration stopMargin { 700 };
constexpr int completePercent = 100;

} // namespace

bool ServerEvacuation::endsBefore(const TaskName& name, const Run& run, SteadyTime bound, SteadyTime now) const
{
    const auto ran = now - run.phaseSince;
    if (run.percent <= 0 || run.percent > completePercent) {
        const Queue* queue = this->board.jobs.at(name.jobId).queue;
        const Duration declared = this->board.stepOf(name).estimate;
        return now + (queue ? this->board.runTimes.expected(queue->name, declared) : declared) < bound;
    }
    return now + ran * (completePercent - run.percent) / run.percent < bound;
}

bool ServerEvacuation::mayStopAnother(const TaskName& name) const
{
    const Step& step = this->board.jobs.at(name.jobId).occurrences.at(name.occurrence).stepAt(name.step);
    const auto missing = std::ranges::count_if(step.tasks, [](const Task& task) {
        return !task.run || task.run->phase != RunPhase::Active || task.run->percent < completePercent;
    });
    return missing < this->board.stepOf(name).maximumMissing;
}

void ServerEvacuation::tick(SteadyTime now)
{
    for (const auto& [id, server] : this->board.servers) {
        if (!server.draining || server.occupants.empty() || server.unansweredPolls > 0)
            continue;
        const SteadyTime latestStopTime = server.drainUntil - this->stopTime - stopMargin;
        const std::map<TaskName, Resources> occupants = server.occupants;
        for (const auto& [name, need] : occupants) {
            const Task* task = this->board.findTask(name);
            if (!task || !task->run || task->run->phase != RunPhase::Active)
                continue;
            const StepSpecification& step = this->board.stepOf(name);
            if (!step.savesProgress && !step.longRunning)
                continue;
            // Long-running tasks gain nothing by staying; others stay while they can still end before the server
            // leaves.
            if (step.longRunning
                || (now >= latestStopTime && !this->endsBefore(name, *task->run, server.drainUntil, now)))
                this->tracker.requestStop(name, "its server is draining", now);
        }
    }
}

void ServerEvacuation::evacuate(const BackendServer& server, bool force, SteadyTime now)
{
    const std::map<TaskName, Resources> occupants = server.occupants;
    for (const auto& [name, need] : occupants) {
        const Task* task = this->board.findTask(name);
        if (!task || !task->run || task->run->phase == RunPhase::Stopping)
            continue;
        const StepSpecification& step = this->board.stepOf(name);
        if (step.longRunning && !this->mayStopAnother(name))
            continue;
        if (force || step.longRunning || step.savesProgress)
            this->tracker.requestStop(name, "its machine is due for upkeep", now);
    }
}

} // namespace WisteriaHill::Scheduling::Evacuation
