/// How well a job still does for its client. Pure.
#pragma once

#include "scheduling/board.h"

namespace WisteriaHill::Scheduling {

/// When a job will end, compared with how long its client values it. Times count from when the job, or its occurrence,
/// became due.
struct Forecast {
    Duration declared { 0 }; ///< run time of the longest path of steps, as the client declared it
    Duration expected { 0 }; ///< the same as the runs of the queue let expect
    Duration expectedEnd { 0 }; ///< if the step in question begins now
    Duration objective { 0 }; ///< an end by then is on time
    Outlook outlook = Outlook::OnTime;
};

/// The forecast for a job whose steps from `step` on are still to be run; none when `step` is their number.
Forecast forecastFor(
    const RunTimes& runTimes, const Job& job, const Queue& queue, std::size_t step, SteadyTime since, SteadyTime now);

} // namespace WisteriaHill::Scheduling
