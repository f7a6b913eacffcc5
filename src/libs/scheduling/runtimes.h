/// What run time to expect of a task, learned from the runs of its queue. Pure.
#pragma once

#include "scheduling/fleetjob.h"

#include <map>
#include <optional>
#include <string>

namespace WisteriaHill::Scheduling {

/// Weighted sums over the runs of one queue; x is the logarithm of the declared run time in milliseconds, y that of the
/// run time.
struct RunTimeSums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;

    bool operator==(const RunTimeSums&) const = default;
};

/// Answers declared run times that are wrong by a factor: clients of one queue declare almost exactly, those of another
/// no better than by chance. A regression of the logarithms per queue tells how much a declared time is worth: without
/// runs the declared time is believed; where it tells nothing, the queue's mean is expected. Thread safety: none.
class RunTimes {
public:
    /// Takes over a run that ended as done. `weight` is 1 for a run that tells as much as a job of its own, less for
    /// one of several tasks with one declaration. False when one of the times is zero, which teaches nothing.
    bool learn(const std::string& queue, Duration declared, Duration ran, double weight);

    /// The run time to expect of a task.
    Duration expected(const std::string& queue, Duration declared) const;

    /// Takes over what an earlier scheduler has learned of a queue.
    void restore(const std::string& queue, const RunTimeSums& sums) { this->queues[queue] = sums; }

    const std::map<std::string, RunTimeSums>& all() const { return this->queues; }
    void clear() { this->queues.clear(); }

private:
    std::map<std::string, RunTimeSums> queues;
};

} // namespace WisteriaHill::Scheduling
