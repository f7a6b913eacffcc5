#include "scheduling/estimates/machinespeed.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace WisteriaHill::Scheduling::Estimates {

namespace {

using namespace std::chrono_literals;

/// Runs that a figure counts at most, so that a machine that changes is known after a few.
constexpr double maximumRuns = 10;
/// Without runs a figure loses half of its weight in this time.
constexpr auto halfLife = 20min;
/// A machine with a figure of this many runs is known enough to be surprised.
constexpr double knownRuns = 2.5;
/// Difference of logarithms that contradicts a figure.
constexpr double surprise = 0.8;
constexpr double surprisedWeight = 0.1;
/// A machine has turned when this many runs more than not differ by this much from its figure. Disturbances, which last
/// some seconds, do not turn it.
constexpr int turningRuns = 3;
constexpr double turnedDifference = 0.4;
constexpr auto longestDisturbance = 10s;
/// A disturbance makes a machine slower, never faster, so a fast run weighs more than the slow figure before it.
constexpr double keptAfterFastRun = 0.3;
constexpr double keptAfterTurning = 0.05;
constexpr double upperBoundWeight = 0.5;
/// Degrees of freedom of the weights by which outliers count less.
constexpr double freedom = 3;
constexpr double smallestScale = 1e-9;
constexpr double maximumPairedRuns = 4;

} // namespace

void MachineSpeed::scaleBy(double factor)
{
    this->weight *= factor;
    this->sum *= factor;
    this->scale *= factor;
    if (this->scale < smallestScale) {
        this->scale = 1;
        ++this->era;
    }
}

void MachineSpeed::withdraw(MachineShare& share)
{
    if (share.weight <= 0 || share.era != this->era) {
        share.weight = 0;
        return;
    }
    const double factor = this->scale / share.scale;
    this->weight = std::max(this->weight - share.weight * factor, 0.0);
    this->sum = this->weight > 0 ? this->sum - share.sum * factor : 0;
    share.weight = 0;
}

MachineSpeed::Figure MachineSpeed::figure(const Spread& spread, double center) const
{
    const double prior = spread.noise / spread.machines;
    return { .mean = (this->sum - this->weight * center) / (this->weight + prior),
        .variance = spread.noise / (this->weight + prior) };
}

void MachineSpeed::add(MachineShare& share, const Observation& seen, const Spread& spread, SteadyTime now)
{
    if (this->weight > 0 && now > this->updatedAt) {
        const std::chrono::duration<double> idle = now - this->updatedAt;
        this->scaleBy(std::exp2(-idle / std::chrono::duration<double>(halfLife)));
    }
    this->updatedAt = std::max(this->updatedAt, now);
    const Figure known = this->figure(spread, seen.center);
    const double difference = seen.residual - seen.center - known.mean;
    // Nothing is known but that the machine is no slower.
    if (seen.isUpperBound && difference > 0)
        return;
    const double variance = spread.noise + seen.variance;
    double added = spread.noise / variance * (seen.isUpperBound ? upperBoundWeight : 1);
    const bool isCompared = seen.isFinal && !std::exchange(share.isCompared, share.isCompared || seen.isFinal);
    if (isCompared && this->weight >= knownRuns && this->hasTurned(difference, now)) {
        this->scaleBy(keptAfterTurning);
    } else if (difference > surprise && this->weight >= knownRuns) {
        added *= surprisedWeight;
    } else if (difference < -surprise) {
        if (isCompared)
            this->scaleBy(keptAfterFastRun);
    } else {
        const double deviations = difference * difference / (variance + known.variance);
        added *= std::min(1.0, (freedom + 1) / (freedom + deviations));
    }
    this->weight += added;
    this->sum += added * seen.residual;
    share.weight = added;
    share.sum = added * seen.residual;
    share.scale = this->scale;
    share.era = this->era;
    if (this->weight > maximumRuns)
        this->scaleBy(maximumRuns / this->weight);
}

bool MachineSpeed::hasTurned(double difference, SteadyTime now)
{
    const int direction = difference > turnedDifference ? 1 : difference < -turnedDifference ? -1 : 0;
    if (direction == 0) {
        this->contradictions -= (this->contradictions > 0) - (this->contradictions < 0);
        return false;
    }
    if (this->contradictions * direction <= 0) {
        this->contradictions = 0;
        this->contradictedSince = now;
    }
    this->contradictions += direction;
    if (std::abs(this->contradictions) < turningRuns
        || (direction > 0 && now - this->contradictedSince < longestDisturbance))
        return false;
    this->contradictions = 0;
    return true;
}

bool MachineSpeed::pair(double residual, std::size_t job, double& product)
{
    if (job != this->lastJob && this->lastJobRuns > 0) {
        if (this->pairedWeight + 1 > maximumPairedRuns) {
            this->pairedSum *= (maximumPairedRuns - 1) / this->pairedWeight;
            this->pairedWeight = maximumPairedRuns - 1;
        }
        this->pairedWeight += 1;
        this->pairedSum += this->lastJobSum / this->lastJobRuns;
        this->lastJobRuns = 0;
        this->lastJobSum = 0;
    }
    this->lastJob = job;
    this->lastJobRuns += 1;
    this->lastJobSum += residual;
    if (this->pairedWeight <= 0)
        return false;
    product = residual * this->pairedSum / this->pairedWeight;
    return true;
}

void MachineSpeed::restore(double storedMean, double storedRuns, SteadyTime now)
{
    *this = {};
    this->weight = std::clamp(storedRuns, 0.0, maximumRuns);
    this->sum = this->weight * storedMean;
    this->updatedAt = now;
}

} // namespace WisteriaHill::Scheduling::Estimates
