#include "scheduling/fleetjob.h"

#include <array>
#include <charconv>

namespace WisteriaHill::Scheduling {

std::string formatTaskName(const TaskName& name)
{
    return name.jobId + '.' + std::to_string(name.occurrence) + '.' + std::to_string(name.step) + '.'
        + std::to_string(name.index);
}

bool parseTaskName(const std::string& text, TaskName& name)
{
    std::size_t start = text.find('.');
    if (start == std::string::npos || start == 0)
        return false;
    name.jobId = text.substr(0, start);
    for (int* part : std::array { &name.occurrence, &name.step, &name.index }) {
        if (start >= text.size())
            return false;
        const char* first = text.data() + start + 1;
        const char* last = text.data() + text.size();
        const auto [end, error] = std::from_chars(first, last, *part);
        if (error != std::errc() || *part < 0 || (end != last && *end != '.'))
            return false;
        start = static_cast<std::size_t>(end - text.data());
    }
    return start == text.size();
}

std::string jobStateName(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::vector<std::string> describeSteps(const JobSpecification& job)
{
    std::vector<std::string> steps;
    for (const StepSpecification& step : job.steps) {
        std::string traits;
        if (step.gang)
            traits += " gang";
        if (step.sameRack)
            traits += " sameRack";
        if (!step.dataRack.empty())
            traits += " dataRack=" + step.dataRack;
        if (!step.requiredLabel.empty())
            traits += " label=" + step.requiredLabel;
        if (step.maximumPerServer > 0)
            traits += " perServer=" + std::to_string(step.maximumPerServer);
        if (step.savesProgress)
            traits += " saves";
        if (step.duplicatesAllowed)
            traits += " duplicates";
        if (step.longRunning)
            traits += " longRunning missing=" + std::to_string(step.maximumMissing);
        if (step.fillsIdleCapacity)
            traits += " fills";
        if (step.latencyTarget.count() > 0)
            traits += " target=" + std::to_string(step.latencyTarget.count());
        steps.push_back(std::to_string(step.taskCount) + " x " + std::to_string(step.perTask.milliCores) + " mc "
            + std::to_string(step.perTask.memoryMb) + " MB " + std::to_string(step.perTask.accelerators) + " acc "
            + std::to_string(step.estimate.count()) + " ms" + traits);
    }
    return steps;
}

} // namespace WisteriaHill::Scheduling
