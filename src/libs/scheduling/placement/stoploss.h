/// What is lost when a run is stopped for more urgent work. Pure: no clock, no input or output. Thread safety: none.
#pragma once

#include "scheduling/board.h"

namespace WisteriaHill::Scheduling::Placement {

/// A run, or the gang that it belongs to, that could be stopped.
struct StoppableRun {
    const StepSpecification* specification = nullptr;
    const Step* step = nullptr;
    const Run* run = nullptr;
    Duration expected { 0 }; ///< run time of a task of the step on a typical server
    Duration waited { 0 }; ///< since the job became due
    Duration objective { 0 }; ///< of the job, since it became due
    Duration afterStep { 0 }; ///< run time of the steps that follow
};

struct StopLoss {
    double work = 0; ///< core milliseconds that have to be done again, weighted by what the caller loses
    Duration remaining { 0 }; ///< until the run, or the last member of its gang, is expected to end
};

/// Answers the load of urgent bursts on a full fleet, where age alone names the wrong run: the work that was done
/// counts by progress, since a run on a slow server is old and a restored one young; a run that saves its progress
/// loses only the time to save and to restore it; a gang loses the work of all members and ends with the last one. A
/// run whose caller is in time only if it goes on counts several times. Unset progress counts by age.
StopLoss stopLossOf(const StoppableRun& stoppable, SteadyTime now);

} // namespace WisteriaHill::Scheduling::Placement
