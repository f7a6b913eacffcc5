/// Estimates the run time of a task from the completed runs of its queue. Pure: no clock, no input or output.
#pragma once

#include "scheduling/fleetjob.h"

#include <map>
#include <optional>
#include <string>

namespace WisteriaHill::Scheduling {

/// Weighted sums over the runs of one queue for a linear regression; x is the logarithm of the declared run time in
/// milliseconds, y that of the actual one.
struct RunTimeSums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;

    bool operator==(const RunTimeSums&) const = default;
};

/// Corrects declared run times: the clients of one queue declare them almost exactly, those of another no better than
/// by chance. A regression of the logarithms per queue weights the declared time: without completed runs it is the
/// expected one, and where the two are unrelated the queue's mean is expected. Thread safety: none.
class RunTimes {
public:
    /// Adds a run that ended as done. `weight` is 1 for a run with a declaration of its own, less for one of several
    /// tasks that share a declaration. Returns false, and adds nothing, when one of the times is zero or less.
    bool learn(const std::string& queue, Duration declared, Duration ran, double weight);

    /// Expected run time of a task; `declared` when the queue has no runs or the declared time is zero.
    Duration expected(const std::string& queue, Duration declared) const;

    /// Replaces the sums of a queue by those that an earlier scheduler stored.
    void restore(const std::string& queue, const RunTimeSums& sums) { this->queues[queue] = sums; }

    const std::map<std::string, RunTimeSums>& all() const { return this->queues; }
    void clear() { this->queues.clear(); }

private:
    std::map<std::string, RunTimeSums> queues;
};

} // namespace WisteriaHill::Scheduling
