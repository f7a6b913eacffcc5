#include "scheduling/stallcontroller.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

/// A run counts as stalled after this time without progress, or after a few times the expected time of one percent of
/// its work, if that is longer.
constexpr Duration stallTimeout { 4500 };
constexpr int stallPercents = 3;
constexpr int completePercent = 100;
/// Each stop of a task as stalled doubles the time for its next run, in case it makes slow progress; up to 2^this.
constexpr int maximumStallDoublings = 10;
constexpr Duration stallAvoidancePeriod { 8000 };

} // namespace

Duration StallController::stallTimeoutOf(const TaskName& name) const
{
    const Job& job = this->board.jobs.at(name.jobId);
    const Duration declared = this->board.stepOf(name).estimate;
    const Duration expected = job.queue ? this->board.runTimes.expected(job.queue->name, declared) : declared;
    const Step& step = job.occurrences.at(name.occurrence).steps.at(static_cast<std::size_t>(name.step));
    const bool gang = this->board.stepOf(name).gang;
    const int stalls = step.tasks.at(gang ? 0 : static_cast<std::size_t>(name.index)).stalls;
    return std::max(stallTimeout, expected * stallPercents / 100) * (1 << std::min(stalls, maximumStallDoublings));
}

bool StallController::isStalled(const TaskName& name, SteadyTime lastAnswer)
{
    const Task* task = this->board.findTask(name);
    if (!task || !task->run || task->run->phase != RunPhase::Active)
        return false;
    const StepSpecification& step = this->board.stepOf(name);
    // A gang member that has done its work waits for the slowest member.
    if (step.longRunning || (step.gang && task->run->percent >= completePercent))
        return false;
    // Progress is judged by what the server has listed, so only the time up to its last answer counts. A run that this
    // answer did not list may have ended.
    if (task->run->listedAt < lastAnswer)
        return false;
    const auto withoutProgress = lastAnswer - task->run->progressedAt;
    return withoutProgress >= stallTimeout && withoutProgress >= this->stallTimeoutOf(name);
}

void StallController::stopStalledRuns(SteadyTime now)
{
    for (auto& [id, server] : this->board.servers) {
        if (server.unansweredPolls > 0)
            continue;
        std::vector<TaskName> stalled;
        for (const auto& [name, need] : server.occupants) {
            if (this->isStalled(name, server.clockReadAt))
                stalled.push_back(name);
        }
        for (const TaskName& name : stalled) {
            if (!this->isStalled(name, server.clockReadAt))
                continue; // stopped with another member of its gang
            server.avoidUntil = now + stallAvoidancePeriod;
            this->effects.log(Event::RunStalled,
                { { "task", formatTaskName(name) }, { "server", id },
                    { "percent", this->board.findTask(name)->run->percent },
                    { "timeoutMs", this->stallTimeoutOf(name).count() } });
            const bool gang = this->board.stepOf(name).gang;
            ++this->board.findTask({ name.jobId, name.occurrence, name.step, gang ? 0 : name.index })->stalls;
            this->tracker.requestStop(name, "no progress", now);
        }
    }
}

} // namespace WisteriaHill::Scheduling
