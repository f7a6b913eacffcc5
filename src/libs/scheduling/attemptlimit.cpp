#include "scheduling/attemptlimit.h"

namespace WisteriaHill::Scheduling {

namespace {

constexpr int crashesBeforeLastRuns = 3;
constexpr int lastRuns = 2;

const Task& taskOf(const Job& job, const TaskName& name)
{
    const Step& step = job.occurrences.at(name.occurrence).steps.at(static_cast<std::size_t>(name.step));
    return step.tasks.at(static_cast<std::size_t>(name.index));
}

bool hasUsedLastRuns(const Task& task)
{
    return task.crashes >= crashesBeforeLastRuns && task.provenCrashes >= provenCrashesToGiveUp
        && task.runsAfterCrashes >= lastRuns;
}

int failuresOf(const Job& job, const TaskName& name)
{
    const Step& step = job.occurrences.at(name.occurrence).steps.at(static_cast<std::size_t>(name.step));
    const bool gang = job.record.specification.steps.at(static_cast<std::size_t>(name.step)).gang;
    return step.tasks.at(gang ? 0 : static_cast<std::size_t>(name.index)).failures;
}

} // namespace

bool hasUsedAttempts(const Job& job, const TaskName& task)
{
    if (hasUsedLastRuns(taskOf(job, task)))
        return true;
    const int limit = job.queue ? job.queue->maximumAttempts : 0;
    const bool longRunning = job.record.specification.steps.at(static_cast<std::size_t>(task.step)).longRunning;
    return limit > 0 && !longRunning && failuresOf(job, task) >= limit;
}

std::optional<TaskName> findExhaustedTask(const Job& job)
{
    for (const auto& [index, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<Task>& tasks = occurrence.steps[step].tasks;
            for (std::size_t position = 0; position < tasks.size(); ++position) {
                const TaskName name { job.record.id, index, static_cast<int>(step), static_cast<int>(position) };
                if (tasks[position].phase == TaskPhase::Waiting && hasUsedAttempts(job, name))
                    return name;
            }
        }
    }
    return std::nullopt;
}

void countRunAfterCrashes(Task& task)
{
    if (task.run->listedAt - task.run->orderedAt >= provenRunTime)
        clearCrashes(task);
    else if (task.crashes >= crashesBeforeLastRuns)
        ++task.runsAfterCrashes;
}

void clearCrashes(Task& task)
{
    task.crashes = 0;
    task.provenCrashes = 0;
    task.suspicion = 0;
    task.runsAfterCrashes = 0;
}

std::string exhaustionReason(const Job& job, const TaskName& task)
{
    if (const Task& exhausted = taskOf(job, task); hasUsedLastRuns(exhausted))
        return std::to_string(exhausted.crashes) + " backend servers crashed under task " + formatTaskName(task)
            + ", and none of " + std::to_string(exhausted.runsAfterCrashes)
            + " runs after the third crash ended as done";
    return "task " + formatTaskName(task) + " failed " + std::to_string(failuresOf(job, task)) + " times";
}

} // namespace WisteriaHill::Scheduling
