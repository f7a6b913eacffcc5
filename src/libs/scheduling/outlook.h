/// Forecasts when a job will end and of what use its result will still be to its client. Pure: no clock, no input or
/// output.
#pragma once

#include "scheduling/board.h"

namespace WisteriaHill::Scheduling {

/// When a job will end, compared with its queue's objective. All durations but the run times count from when the job,
/// or its occurrence, became due.
struct Forecast {
    Duration declared { 0 }; ///< declared run time of the critical path of steps
    Duration expected { 0 }; ///< run time of the critical path as learned from the queue's earlier runs
    Duration waited { 0 };
    Duration remaining { 0 }; ///< run time of the steps that are still to be run, on typical servers
    Duration expectedEnd { 0 }; ///< end of the job if the step in question starts now
    Duration objective { 0 }; ///< latest end that is on time
    Outlook outlook = Outlook::OnTime;
};

/// Forecast for a job whose steps from `step` on are still to be run; no step is left when `step` is the number of
/// steps. `since` is when the job, or its occurrence, became due. `slowness` is that of the servers on which the rest
/// can run, compared with typical ones; the objective is that of typical ones.
Forecast forecastFor(const RunTimes& runTimes, const Job& job, const Queue& queue, std::size_t step, SteadyTime since,
    SteadyTime now, double slowness = 1);

} // namespace WisteriaHill::Scheduling
