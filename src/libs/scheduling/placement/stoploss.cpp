#include "scheduling/placement/stoploss.h"

#include <algorithm>

namespace WisteriaHill::Scheduling::Placement {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr Milliseconds restartTime { 2000 };
/// What a run loses that saves its progress: the time to save and to restore it.
constexpr Milliseconds restoreTime { 400 };
constexpr double coresPerAccelerator = 8;
constexpr double milliCoresPerCore = 1000;
constexpr double completePercent = 100;
/// Progress below this says little of the speed of a run.
constexpr int leastPercent = 10;
/// Result on time is worth about this multiple of a late one.
constexpr double inTimeWeight = 3;

struct Progress {
    Milliseconds done { 0 }; ///< in run time on a typical server
    Milliseconds remaining { 0 };
};

Progress progressOf(const Run& run, Milliseconds expected, SteadyTime now)
{
    const Milliseconds byPercent = expected * (run.percent / completePercent);
    const std::optional<Duration> ran = run.ranFor(now);
    if (!ran)
        return { byPercent, std::max(expected - byPercent, Milliseconds(0)) };
    const Milliseconds age = *ran;
    const Milliseconds listedAge = run.progressedAt - *run.activeSince;
    if (run.percent < leastPercent || !run.checkpoint.empty() || listedAge.count() <= 0)
        return { std::max(age, byPercent), std::max(expected - std::max(age, byPercent), Milliseconds(0)) };
    const Milliseconds whole = listedAge * (completePercent / run.percent);
    return { std::max(age, byPercent), std::max(whole - age, Milliseconds(0)) };
}

} // namespace

StopLoss stopLossOf(const StoppableRun& stoppable, SteadyTime now)
{
    const StepSpecification& specification = *stoppable.specification;
    const double cores = static_cast<double>(specification.perTask.milliCores) / milliCoresPerCore
        + coresPerAccelerator * static_cast<double>(specification.perTask.accelerators);
    Milliseconds done { 0 };
    Milliseconds remaining { 0 };
    double members = 0;
    const auto include = [&](const Run& run) {
        const Progress progress = progressOf(run, stoppable.expected, now);
        done += progress.done;
        remaining = std::max(remaining, progress.remaining);
        ++members;
    };
    if (!specification.gang)
        include(*stoppable.run);
    for (const Task& task : stoppable.step->tasks) {
        if (specification.gang && task.run)
            include(*task.run);
    }
    const Milliseconds lost = specification.savesProgress ? members * restoreTime : members * restartTime + done;
    const Milliseconds endIfLeft = stoppable.waited + remaining + stoppable.afterStep;
    const Milliseconds again = specification.savesProgress ? remaining : Milliseconds(stoppable.expected);
    const Milliseconds endIfStopped = stoppable.waited + restartTime + again + stoppable.afterStep;
    const bool losesObjective = endIfLeft <= stoppable.objective && endIfStopped > stoppable.objective;
    return { .work = cores * lost.count() * (losesObjective ? inTimeWeight : 1),
        .remaining = std::chrono::ceil<Duration>(remaining) };
}

} // namespace WisteriaHill::Scheduling::Placement
