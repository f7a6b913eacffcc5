#include "scheduling/board.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

void Board::setConfiguration(std::shared_ptr<const FleetConfiguration> inForce)
{
    this->configuration = std::move(inForce);
    this->advisedQueues
        = std::ranges::any_of(this->configuration->queues, [](const Queue& queue) { return queue.advice.has_value(); });
    for (auto& [id, job] : this->jobs)
        job.queue = this->configuration->queueOf(job.record);
}

Task* Board::findTask(const TaskName& name)
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
    std::vector<Task>& tasks = steps[static_cast<std::size_t>(name.step)].tasks;
    if (name.index < 0 || static_cast<std::size_t>(name.index) >= tasks.size())
        return nullptr;
    return &tasks[static_cast<std::size_t>(name.index)];
}

const StepSpecification& Board::stepOf(const TaskName& name) const
{
    return this->jobs.at(name.jobId).record.specification.steps.at(static_cast<std::size_t>(name.step));
}

} // namespace WisteriaHill::Scheduling
