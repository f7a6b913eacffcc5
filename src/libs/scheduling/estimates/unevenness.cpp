#include "scheduling/estimates/unevenness.h"

#include <algorithm>
#include <cmath>

namespace WisteriaHill::Scheduling::Estimates {

namespace {

constexpr double farOutlier = 0.95; ///< a factor of 2.6
/// Older runs count half when there are more, so that a fleet that changes is seen.
constexpr double maximumPairs = 600;
/// Machines that differ by less, as a standard deviation of 20%, are within what the objectives of callers bear.
constexpr double provedVariance = 0.04;
/// The proof ends when they are alike within 13%.
constexpr double alikeVariance = 0.017;
constexpr double provingPairs = 30;
constexpr double alikePairs = 200;
/// Standard deviations by which the mean product has to exceed zero. Checked for days without a break, three or four
/// would be exceeded by chance.
constexpr double provingDeviations = 5;
/// What is assumed counts as this many runs and pairs.
constexpr double priorRuns = 20;
constexpr double priorNoise = 0.12;
constexpr double priorMachines = 0.08;
constexpr double leastNoise = 0.02;
constexpr double leastMachines = 0.01;
constexpr double mostSpread = 0.6;

} // namespace

bool Unevenness::addRun(double residual, double weight)
{
    if (std::abs(residual) > farOutlier)
        return false;
    if (this->counted.runs > 2 * maximumPairs) {
        this->counted.runs /= 2;
        this->counted.squares /= 2;
    }
    this->counted.runs += weight;
    this->counted.squares += weight * residual * residual;
    return true;
}

void Unevenness::addPair(double product, double weight)
{
    if (this->counted.pairs > maximumPairs) {
        this->counted.pairs /= 2;
        this->counted.products /= 2;
        this->counted.productSquares /= 2;
    }
    this->counted.pairs += weight;
    this->counted.products += weight * product;
    this->counted.productSquares += weight * weight * product * product;
    this->judge();
}

void Unevenness::judge()
{
    const double mean = this->counted.products / this->counted.pairs;
    if (this->proved) {
        this->proved = this->counted.pairs < alikePairs || mean > alikeVariance;
        return;
    }
    this->proved = this->counted.pairs >= provingPairs && mean >= provedVariance
        && this->counted.products >= provingDeviations * std::sqrt(this->counted.productSquares);
}

Spread Unevenness::spread() const
{
    const double total
        = (this->counted.squares + priorRuns * (priorNoise + priorMachines)) / (this->counted.runs + priorRuns);
    const double machines = (this->counted.products + priorRuns * priorMachines) / (this->counted.pairs + priorRuns);
    return { .noise = std::clamp(total - machines, leastNoise, mostSpread),
        .machines = std::clamp(machines, leastMachines, mostSpread) };
}

void Unevenness::restore(const Sums& sums, bool wasProved)
{
    this->counted = sums;
    this->proved = wasProved;
}

} // namespace WisteriaHill::Scheduling::Estimates
