#include "scheduling/board.h"

namespace WisteriaHill::Scheduling {

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
