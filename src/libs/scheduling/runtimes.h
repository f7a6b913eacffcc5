/// Estimates the run time of a task from the completed runs of its queue. Pure: no clock, no input or output.
#pragma once

#include "scheduling/estimates/tasktimes.h"
#include "scheduling/fleetjob.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace WisteriaHill::Scheduling {

/// Corrects declared run times: the clients of one queue declare them almost exactly, those of another no better than
/// by chance. A regression of the logarithms per queue weights the declared time: without completed runs it is the
/// expected one, and where the two are unrelated the queue's mean is expected. Where machines are proved to differ in
/// speed, the time on a typical machine is expected instead, by account and size. Thread safety: none.
class RunTimes {
public:
    /// Adds a run that ended as done. `weight` is 1 for a run with a declaration of its own, less for one of several
    /// tasks that share a declaration. Returns false, and adds nothing, when one of the times is zero or less.
    bool learn(const std::string& queue, Duration declared, Duration ran, double weight);

    /// Adds the same run for the time on a typical machine. `slowness` is that of the machine it ran on, and of the
    /// slowest one for a gang. Precondition: slowness > 0.
    void learnTypical(const Estimates::TaskKind& kind, Duration declared, Duration ran, double slowness, double weight);

    /// Sets whether the machines of the queue's service are proved to differ.
    void setUneven(const std::string& queue, bool isUneven);
    bool isUneven(std::string_view queue) const { return this->uneven.contains(queue); }

    /// Expected run time of a task; `declared` when the queue has no runs or the declared time is zero. On a typical
    /// machine where machines differ.
    Duration expected(std::string_view queue, Duration declared) const;

    /// The same by account and size where machines differ; that of the queue alone elsewhere.
    Duration expectedFor(const Estimates::TaskKind& kind, Duration declared) const;

    /// Share of the queue's runs that take longer than `multiple` of the expected time; 0 when nothing is known.
    double tailShare(const std::string& queue, double multiple) const
    {
        return this->typical.tailShare(queue, multiple);
    }

    /// Replaces the sums of a queue by those that an earlier scheduler stored.
    void restore(const std::string& queue, const RunTimeSums& sums) { this->queues[queue] = sums; }
    void restoreTypical(const std::string& queue, const Estimates::QueueTimes& times)
    {
        this->typical.restore(queue, times);
    }

    const std::map<std::string, RunTimeSums, std::less<>>& all() const { return this->queues; }
    /// What is known of the queue on typical machines; null unless its machines are proved to differ.
    const Estimates::QueueTimes* typicalOf(const std::string& queue) const;
    void clear() { *this = {}; }

private:
    std::map<std::string, RunTimeSums, std::less<>> queues;
    Estimates::TaskTimes typical;
    std::set<std::string, std::less<>> uneven; ///< names of queues
};

} // namespace WisteriaHill::Scheduling
