#include "scheduling/estimates/serverspeeds.h"

#include <algorithm>
#include <cmath>

namespace WisteriaHill::Scheduling::Estimates {

namespace {

constexpr std::size_t maximumMachines = 10'000; ///< of one service
constexpr std::size_t maximumServices = 200;
/// What tasks of one step share beyond their declaration, as a variance of logarithms.
constexpr double stepVariance = 0.15;
/// A run deviates from its step's figure by no more than this.
constexpr double maximumStepDeviation = 2.2;
/// Degrees of freedom of the weights by which outliers count less.
constexpr double freedom = 3;
/// Standard deviations between a machine's figure and a typical machine that make it fast or slow.
constexpr double classDeviations = 0.8;

/// Runs of a machine that count for the boundary at most, and of which each side is assumed to have some at the middle.
constexpr double boundaryRuns = 3;
constexpr double boundaryPrior = 5;

void addToBoundary(ServiceSpeeds& service, const std::string& machine, const MachineSpeed& speed)
{
    SpeedBoundary::Part& part = service.boundaryParts[machine];
    service.boundary.withdraw(part);
    part = service.boundary.add(speed.storedMean(), std::min(speed.runs(), boundaryRuns));
}

} // namespace

void SpeedBoundary::withdraw(const Part& part)
{
    Side& side = part.isSlow ? this->slow : this->fast;
    side.weight = std::max(side.weight - part.weight, 0.0);
    side.sum -= part.weight * part.value;
}

SpeedBoundary::Part SpeedBoundary::add(double value, double weight)
{
    const Part part { .weight = weight, .value = value, .isSlow = value > this->value() };
    Side& side = part.isSlow ? this->slow : this->fast;
    side.weight += weight;
    side.sum += weight * value;
    return part;
}

double SpeedBoundary::value() const
{
    const double mean = (this->fast.sum + this->slow.sum) / (this->fast.weight + this->slow.weight + boundaryPrior);
    const auto meanOf
        = [&](const Side& side) { return (side.sum + boundaryPrior * mean) / (side.weight + boundaryPrior); };
    return (meanOf(this->fast) + meanOf(this->slow)) / 2;
}

std::string speedClassName(SpeedClass speed)
{
    switch (speed) {
    case SpeedClass::Fast:
        return "fast";
    case SpeedClass::Unknown:
        return "unknown";
    case SpeedClass::Slow:
        return "slow";
    }
    return "unknown";
}

bool ServerSpeeds::differ(const std::string& service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.unevenness.isProved();
}

SpeedEstimate ServerSpeeds::of(const std::string& service, const std::string& machine) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.unevenness.isProved())
        return {};
    const auto known = found->second.machines.find(machine);
    if (known == found->second.machines.end() || known->second.runs() <= 0)
        return {};
    const MachineSpeed::Figure figure = known->second.figure(found->second.unevenness.spread(), found->second.center());
    return { .slowness = std::exp(figure.mean), .deviation = std::sqrt(figure.variance), .runs = known->second.runs() };
}

SpeedClass ServerSpeeds::classOf(const std::string& service, const std::string& machine) const
{
    const SpeedEstimate estimate = this->of(service, machine);
    if (!estimate.isKnown())
        return SpeedClass::Unknown;
    const ServiceSpeeds& known = this->services.at(service);
    const double above = std::log(estimate.slowness) + known.center() - known.boundary.value();
    if (std::abs(above) < classDeviations * estimate.deviation)
        return SpeedClass::Unknown;
    return above < 0 ? SpeedClass::Fast : SpeedClass::Slow;
}

double ServerSpeeds::believedSlowness(const std::string& service, const std::string& machine) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return 1;
    const auto known = found->second.machines.find(machine);
    if (known == found->second.machines.end())
        return 1;
    return std::exp(known->second.figure(found->second.unevenness.spread(), found->second.center()).mean);
}

void ServerSpeeds::learn(const std::string& service, const std::string& machine, const ObservedTask& task,
    const RunTimeReading& reading, RunObservation& run, StepObservation& step, SteadyTime now)
{
    if (task.declared.count() <= 0 || reading.milliseconds <= 0)
        return;
    if (this->services.size() >= maximumServices && !this->services.contains(service))
        return;
    ServiceSpeeds& known = this->services[service];
    if (known.machines.size() >= maximumMachines && !known.machines.contains(machine))
        return;
    MachineSpeed& speed = known.machines[machine];
    known.plainMeans -= speed.plainMean();
    speed.withdraw(run.machine);
    const double center = known.center();
    const Spread spread = known.unevenness.spread();
    const MachineSpeed::Figure before = speed.figure(spread, center);
    // What the task needs, without this run's own part.
    const double own = std::log(reading.milliseconds) - known.tasks.expectedLog(task.kind, task.declared);
    const double othersWeight = std::max(step.weight - run.stepWeight, 0.0);
    const double othersSum = step.sum - run.stepWeight * run.stepValue;
    const double effectVariance = 1 / (1 / stepVariance + othersWeight);
    const double residual = own - othersSum * effectVariance;
    if (!reading.isUpperBound) {
        step.weight = othersWeight;
        step.sum = othersSum;
        run.stepValue = std::clamp(own - center - before.mean, -maximumStepDeviation, maximumStepDeviation);
        // A member that is disturbed, or of a tail, tells little about the others.
        const double variance = spread.noise + before.variance + reading.variance;
        const double difference = run.stepValue - othersSum * effectVariance;
        const double deviations = difference * difference / (variance + effectVariance);
        run.stepWeight = 1 / variance * std::min(1.0, (freedom + 1) / (freedom + deviations));
        step.weight += run.stepWeight;
        step.sum += run.stepWeight * run.stepValue;
    }
    speed.add(run.machine,
        { .residual = residual,
            .variance = effectVariance + reading.variance,
            .center = center,
            .isUpperBound = reading.isUpperBound,
            .isFinal = reading.isFinal },
        spread, now);
    known.plainMeans += speed.plainMean();
    addToBoundary(known, machine, speed);
    if (run.isCounted || !reading.isFinal || reading.isUpperBound)
        return;
    run.isCounted = true;
    known.tasks.learn(task.kind, task.declared, std::log(reading.milliseconds) - center - before.mean,
        1.0 / std::max(task.taskCount, 1));
    const double weight = spread.noise / (spread.noise + effectVariance);
    double product = 0;
    if (known.unevenness.addRun(residual - center, weight) && speed.pair(residual - center, task.job, product))
        known.unevenness.addPair(product, weight);
}

void ServerSpeeds::restoreMachine(
    const std::string& service, const std::string& machine, double mean, double runs, SteadyTime now)
{
    ServiceSpeeds& known = this->services[service];
    if (known.machines.size() >= maximumMachines && !known.machines.contains(machine))
        return;
    MachineSpeed& speed = known.machines[machine];
    known.plainMeans -= speed.plainMean();
    speed.restore(mean, runs, now);
    known.plainMeans += speed.plainMean();
    addToBoundary(known, machine, speed);
}

void ServerSpeeds::restoreService(const std::string& service, const Unevenness::Sums& sums, bool isProved)
{
    this->services[service].unevenness.restore(sums, isProved);
}

void ServerSpeeds::restoreTasks(const std::string& service, const std::string& queue, const QueueTimes& times)
{
    this->services[service].tasks.restore(queue, times);
}

} // namespace WisteriaHill::Scheduling::Estimates
