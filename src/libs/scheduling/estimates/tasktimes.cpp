#include "scheduling/estimates/tasktimes.h"

#include <algorithm>
#include <cmath>

namespace WisteriaHill::Scheduling::Estimates {

namespace {

constexpr std::size_t maximumQueues = 500;
/// Accounts and sizes of a queue that have a figure of their own; others get that of the queue.
constexpr std::size_t maximumGroups = 64;
/// The queue's mean counts as this many runs of each account and each size.
constexpr double priorRuns = 5;
constexpr double maximumWeight = 100;
/// Runs further from the expected time, in logarithms, count as that far.
constexpr double maximumDeviation = 1.5;

double mean(const Deviation& deviation) { return deviation.sum / (deviation.weight + priorRuns); }

template <typename Groups, typename Key> double meanOf(const Groups& groups, const Key& key)
{
    const auto found = groups.find(key);
    return found == groups.end() ? 0 : mean(found->second);
}

template <typename Groups, typename Key> void add(Groups& groups, const Key& key, double value, double weight)
{
    auto found = groups.find(key);
    if (found == groups.end()) {
        if (groups.size() >= maximumGroups)
            return;
        found = groups.emplace(key, Deviation {}).first;
    }
    Deviation& group = found->second;
    if (group.weight + weight > maximumWeight)
        group = { .weight = group.weight / 2, .sum = group.sum / 2 };
    group.weight += weight;
    group.sum += weight * value;
}

} // namespace

void TailCounts::add(double multiple, double weight)
{
    const auto cell = static_cast<std::size_t>(std::ranges::upper_bound(bounds, multiple) - bounds.begin());
    double total = weight;
    for (const double count : this->counts)
        total += count;
    if (total > 2 * maximumWeight) {
        for (double& count : this->counts)
            count /= 2;
    }
    this->counts.at(cell) += weight;
}

double TailCounts::shareBeyond(double multiple) const
{
    double total = 0;
    double beyond = 0;
    for (std::size_t cell = 0; cell < this->counts.size(); ++cell) {
        total += this->counts.at(cell);
        if (cell > 0 && bounds.at(cell - 1) >= multiple)
            beyond += this->counts.at(cell);
    }
    return total > 0 ? beyond / total : 0;
}

void TaskTimes::learn(const TaskKind& kind, Duration declared, double logRan, double weight)
{
    if (declared.count() <= 0 || weight <= 0 || !std::isfinite(logRan))
        return;
    auto found = this->queues.find(kind.queue);
    if (found == this->queues.end() && this->queues.size() >= maximumQueues)
        return;
    const double deviation = logRan - this->expectedLog(kind, declared);
    if (found == this->queues.end())
        found = this->queues.emplace(kind.queue, QueueTimes {}).first;
    QueueTimes& times = found->second;
    times.tail.add(std::exp(deviation), weight);
    const double x = std::log(static_cast<double>(declared.count()));
    const double own = meanOf(times.accounts, kind.account) + meanOf(times.sizes, kind.accelerators);
    const double bounded = std::clamp(deviation, -maximumDeviation, maximumDeviation);
    // What the account and the size explain is not the queue's.
    times.sums.add(x, logRan - own, weight);
    add(times.accounts, kind.account, bounded + meanOf(times.accounts, kind.account), weight);
    add(times.sizes, kind.accelerators, bounded + meanOf(times.sizes, kind.accelerators), weight);
}

double TaskTimes::expectedLog(const TaskKind& kind, Duration declared) const
{
    const double x = std::log(static_cast<double>(declared.count()));
    const auto found = this->queues.find(kind.queue);
    if (found == this->queues.end() || found->second.sums.weight <= 0)
        return x;
    const QueueTimes& times = found->second;
    return times.sums.expected(x) + meanOf(times.accounts, kind.account) + meanOf(times.sizes, kind.accelerators);
}

double TaskTimes::tailShare(const std::string& queue, double multiple) const
{
    const auto found = this->queues.find(queue);
    return found == this->queues.end() ? 0 : found->second.tail.shareBeyond(multiple);
}

} // namespace WisteriaHill::Scheduling::Estimates
