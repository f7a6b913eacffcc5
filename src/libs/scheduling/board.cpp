#include "scheduling/board.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

std::string outlookName(Outlook outlook)
{
    switch (outlook) {
    case Outlook::OnTime:
        return "onTime";
    case Outlook::Late:
        return "late";
    case Outlook::TooLate:
        return "tooLate";
    }
    return "unknown";
}

std::optional<Duration> Run::ranFor(SteadyTime now) const
{
    if (!this->activeSince)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(now - *this->activeSince);
}

Utils::Json ranMs(const Run& run, SteadyTime now)
{
    const std::optional<Duration> ran = run.ranFor(now);
    return ran ? Utils::Json(ran->count()) : Utils::Json();
}

bool Job::isRunning(SteadyTime listedSince, SteadyTime startingSince) const
{
    const auto hasRun = [&](const Task& task) {
        if (!task.run)
            return false;
        const Run& run = *task.run;
        switch (run.phase) {
        case RunPhase::Recording:
        case RunPhase::Ordered:
            return run.phaseSince > startingSince;
        case RunPhase::Active:
        case RunPhase::Stopping:
            return run.listedAt > listedSince;
        }
        return false;
    };
    return std::ranges::any_of(this->occurrences, [&](const auto& entry) {
        return std::ranges::any_of(entry.second.steps,
            [&](const Step& step) { return step.running > 0 && std::ranges::any_of(step.tasks, hasRun); });
    });
}

void Board::setConfiguration(std::shared_ptr<const FleetConfiguration> inForce)
{
    this->configuration = std::move(inForce);
    this->hasAdvisedQueues
        = std::ranges::any_of(this->configuration->queues, [](const Queue& queue) { return queue.advice.has_value(); });
    for (auto& [id, job] : this->jobs)
        job.queue = this->configuration->queueOf(job.record);
}

int Occurrence::rowOf(int step, int index) const
{
    std::size_t position = static_cast<std::size_t>(index);
    for (int earlier = 0; earlier < step; ++earlier)
        position += this->steps.at(static_cast<std::size_t>(earlier)).tasks.size();
    return static_cast<int>(position / tasksPerRow);
}

Step* Board::findStep(const TaskName& name)
{
    const auto job = this->jobs.find(name.jobId);
    if (job == this->jobs.end())
        return nullptr;
    const auto occurrence = job->second.occurrences.find(name.occurrence);
    if (occurrence == job->second.occurrences.end())
        return nullptr;
    std::vector<Step>& steps = occurrence->second.steps;
    if (name.step < 0 || static_cast<std::size_t>(name.step) >= steps.size())
        return nullptr;
    return &steps[static_cast<std::size_t>(name.step)];
}

Task* Board::findTask(const TaskName& name)
{
    Step* step = this->findStep(name);
    if (!step)
        return nullptr;
    std::vector<Task>& tasks = step->tasks;
    if (name.index < 0 || static_cast<std::size_t>(name.index) >= tasks.size())
        return nullptr;
    return &tasks[static_cast<std::size_t>(name.index)];
}

const StepSpecification& Board::stepOf(const TaskName& name) const
{
    return this->jobs.at(name.jobId).record.specification.steps.at(static_cast<std::size_t>(name.step));
}

WaitingStepCounts countWaitingSteps(const Board& board)
{
    WaitingStepCounts waiting;
    for (const auto& [id, job] : board.jobs) {
        if (job.ended())
            continue;
        for (const auto& [index, occurrence] : job.occurrences) {
            for (const Step& step : occurrence.steps) {
                if (step.ready && step.done + step.running < static_cast<int>(step.tasks.size()))
                    ++waiting[{ job.record.pathPrefix, step.outlook }];
            }
        }
    }
    return waiting;
}

} // namespace WisteriaHill::Scheduling
