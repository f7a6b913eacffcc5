/// Expected run times of tasks by queue, client account and size. Pure: no clock, no input or output.
#pragma once

#include "scheduling/estimates/runtimeregression.h"
#include "utils/steadytime.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace WisteriaHill::Scheduling::Estimates {

using Utils::Duration;

/// What runs are compared by. Does not own its names.
struct TaskKind {
    std::string_view queue; ///< name
    std::string_view account;
    std::int64_t accelerators = 0;
};

/// Mean deviation of an account's or a size's runs from what the queue lets expect, in logarithms.
struct Deviation {
    double weight = 0;
    double sum = 0;

    bool operator==(const Deviation&) const = default;
};

/// Counts of runs by how much longer they took than expected; runs beyond the last bound count in the last cell.
struct TailCounts {
    static constexpr std::array bounds { 1.0, 1.25, 1.5, 2.0, 3.0, 5.0 }; ///< multiples of the expected run time
    std::array<double, bounds.size() + 1> counts {};

    bool operator==(const TailCounts&) const = default;

    void add(double multiple, double weight);
    /// Share of runs that take longer than `multiple` of the expected time, by the next bound below; 0 without runs.
    double shareBeyond(double multiple) const;
};

/// Run times on a typical machine, of one queue.
struct QueueTimes {
    RunTimeSums sums;
    std::map<std::string, Deviation, std::less<>> accounts;
    std::map<std::int64_t, Deviation> sizes; ///< by accelerators
    TailCounts tail;

    bool operator==(const QueueTimes&) const = default;
};

/// Thread safety: none.
class TaskTimes {
public:
    /// Adds a run that would have taken exp(`logRan`) ms on a typical machine. Ignored when `declared` is not above
    /// zero, or the queue is new and too many are known.
    void learn(const TaskKind& kind, Duration declared, double logRan, double weight);

    /// Logarithm of the expected run time in milliseconds; that of `declared` when the queue has no runs.
    /// Precondition: declared > 0.
    double expectedLog(const TaskKind& kind, Duration declared) const;

    /// Share of the queue's runs that take longer than `multiple` of what is expected; 0 when nothing is known.
    double tailShare(const std::string& queue, double multiple) const;

    const std::map<std::string, QueueTimes, std::less<>>& all() const { return this->queues; }
    void restore(const std::string& queue, const QueueTimes& times) { this->queues[queue] = times; }

private:
    std::map<std::string, QueueTimes, std::less<>> queues;
};

} // namespace WisteriaHill::Scheduling::Estimates
