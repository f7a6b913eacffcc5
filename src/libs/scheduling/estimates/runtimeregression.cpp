#include "scheduling/estimates/runtimeregression.h"

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

void RunTimeSums::add(double logDeclared, double logRan, double runWeight)
{
    if (this->weight + runWeight > maximumWeight) {
        for (double* sum : { &this->weight, &this->x, &this->y, &this->xx, &this->xy })
            *sum /= 2;
    }
    this->weight += runWeight;
    this->x += runWeight * logDeclared;
    this->y += runWeight * logRan;
    this->xx += runWeight * logDeclared * logDeclared;
    this->xy += runWeight * logDeclared * logRan;
}

double RunTimeSums::expected(double logDeclared) const
{
    const double meanX = this->x / this->weight;
    const double meanY = this->y / this->weight;
    const double deviationX = std::max(this->xx - this->x * meanX, 0.0);
    const double covariance = this->xy - this->x * meanY;
    const double slope = std::clamp((covariance + priorDeviation) / (deviationX + priorDeviation), 0.0, 1.0);
    const double center = meanX + (meanY - meanX) * this->weight / (this->weight + priorRuns);
    const double offset = slope * (logDeclared - meanX);
    const double bound = std::log(maximumFactor);
    return center + std::clamp(offset, -bound, bound);
}

} // namespace WisteriaHill::Scheduling
