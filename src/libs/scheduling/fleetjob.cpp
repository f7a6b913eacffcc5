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

} // namespace WisteriaHill::Scheduling
