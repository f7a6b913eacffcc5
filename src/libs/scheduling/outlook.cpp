#include "scheduling/outlook.h"

#include <algorithm>
#include <functional>

namespace WisteriaHill::Scheduling {

namespace {

/// A job that ends later than this multiple of its objective is of no use to its client.
constexpr int tooLateMultiple = 3;

/// Run time of the longest chain of dependent steps among those from index `first` on. `runTime` returns the run time
/// of a step.
template <typename RunTime> Duration criticalPathTime(const JobSpecification& job, std::size_t first, RunTime runTime)
{
    if (job.steps.size() == 1 && first == 0)
        return runTime(job.steps.front());
    std::vector<Duration> ends(job.steps.size(), Duration(0));
    Duration longest { 0 };
    for (std::size_t index = first; index < job.steps.size(); ++index) {
        Duration begin { 0 };
        for (const int earlier : job.steps[index].prerequisites)
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        ends[index] = begin + runTime(job.steps[index]);
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

} // namespace

Forecast forecastFor(const RunTimes& runTimes, const Job& job, const Queue& queue, std::size_t step, SteadyTime since,
    SteadyTime now, double slowness)
{
    const JobSpecification& specification = job.record.specification;
    const auto expected = [&](const StepSpecification& one) {
        return runTimes.expectedFor(
            { .queue = queue.name, .account = job.record.account, .accelerators = one.perTask.accelerators },
            one.estimate);
    };
    const Duration total = criticalPathTime(specification, 0, expected);
    const Duration remaining = step == 0 ? total : criticalPathTime(specification, step, expected);
    Forecast forecast { .declared = criticalPathTime(specification, 0, std::mem_fn(&StepSpecification::estimate)),
        .expected = total,
        .waited = std::chrono::duration_cast<Duration>(now - since),
        .remaining = remaining,
        .objective = std::chrono::duration_cast<Duration>(total * queue.stretchFactor) + queue.targetDuration };
    forecast.expectedEnd = forecast.waited + std::chrono::duration_cast<Duration>(remaining * slowness);
    if (forecast.expectedEnd > forecast.objective)
        forecast.outlook
            = forecast.expectedEnd <= forecast.objective * tooLateMultiple ? Outlook::Late : Outlook::TooLate;
    return forecast;
}

} // namespace WisteriaHill::Scheduling
