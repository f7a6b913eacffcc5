#include "scheduling/runtimes.h"

#include <algorithm>
#include <cmath>

namespace WisteriaHill::Scheduling {

namespace {

/// The prior counts as this many runs whose mean run time equals the mean declared one, so that a single outlier has
/// little effect.
constexpr double priorRuns = 2;
/// The prior counts as runs with this sum of squared deviations, in squared logarithms, that took exactly the declared
/// time.
constexpr double priorDeviation = 1;
/// When the total weight of a queue's runs would exceed this, it is halved, so that recent runs count more and changed
/// declarations of the queue's clients take effect.
constexpr double maximumWeight = 200;
/// A declared run time moves the expected one by at most this factor from the queue's mean, which bounds extrapolation
/// for outliers.
constexpr double maximumFactor = 20;

} // namespace

bool RunTimes::learn(const std::string& queue, Duration declared, Duration ran, double weight)
{
    if (declared.count() <= 0 || ran.count() <= 0)
        return false;
    const double x = std::log(static_cast<double>(declared.count()));
    const double y = std::log(static_cast<double>(ran.count()));
    RunTimeSums& sums = this->queues[queue];
    if (sums.weight + weight > maximumWeight) {
        for (double* sum : { &sums.weight, &sums.x, &sums.y, &sums.xx, &sums.xy })
            *sum /= 2;
    }
    sums.weight += weight;
    sums.x += weight * x;
    sums.y += weight * y;
    sums.xx += weight * x * x;
    sums.xy += weight * x * y;
    return true;
}

Duration RunTimes::expected(const std::string& queue, Duration declared) const
{
    const auto found = this->queues.find(queue);
    if (found == this->queues.end() || found->second.weight <= 0 || declared.count() <= 0)
        return declared;
    const RunTimeSums& sums = found->second;
    const double meanX = sums.x / sums.weight;
    const double meanY = sums.y / sums.weight;
    const double deviationX = std::max(sums.xx - sums.x * meanX, 0.0);
    const double covariance = sums.xy - sums.x * meanY;
    const double slope = std::clamp((covariance + priorDeviation) / (deviationX + priorDeviation), 0.0, 1.0);
    const double center = meanX + (meanY - meanX) * sums.weight / (sums.weight + priorRuns);
    const double offset = slope * (std::log(static_cast<double>(declared.count())) - meanX);
    const double bound = std::log(maximumFactor);
    return Duration(std::llround(std::exp(center + std::clamp(offset, -bound, bound))));
}

} // namespace WisteriaHill::Scheduling
