#include "scheduling/runtimes.h"

#include <algorithm>
#include <cmath>

namespace WisteriaHill::Scheduling {

namespace {

/// Declared times are believed as if this many runs had confirmed their mean, so that one odd run decides nothing.
constexpr double priorRuns = 2;
/// And as if runs with this sum of squared deviations, in squared logarithms, had taken just the declared time.
constexpr double priorDeviation = 1;
/// Beyond this many runs the older ones lose half of their weight, so that changed habits of a queue's clients show.
constexpr double maximumWeight = 200;
/// A run time is expected within this factor of the queue's mean: logarithms of outliers must not run away.
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
