#include "scheduling/estimates/progressreading.h"

#include <algorithm>

namespace WisteriaHill::Scheduling::Estimates {

namespace {

constexpr int wholeRun = 100; ///< percent
/// Progress that a reading, a stretch whose rate is compared, and a run that counts must have made; percents.
constexpr double readableProgress = 8;
constexpr double stretchProgress = 15;
constexpr double finalProgress = 25;
/// A run whose mean rate is this much slower than its fastest stretch was disturbed.
constexpr double disturbedRatio = 1.3;
/// Uncertainty of the begin of the work, and of a percent that is cut to a whole one.
constexpr double beginMilliseconds = 40;
constexpr double roundedPercent = 0.4;

double square(double value) { return value * value; }

/// Percents are cut, not rounded.
double shareOf(int percent) { return percent <= 0 || percent >= wholeRun ? percent : percent + 0.5; }

} // namespace

void ProgressReading::begin(ServerTime start)
{
    this->base = Point { .time = start };
    this->mark = *this->base;
}

std::optional<RunTimeReading> ProgressReading::add(ServerTime time, int percent)
{
    percent = std::min(percent, wholeRun);
    if (percent <= this->lastPercent)
        return std::nullopt;
    this->lastPercent = percent;
    const Point point { .time = time, .percent = shareOf(percent) };
    if (!this->base) {
        this->base = point;
        this->mark = point;
        return std::nullopt;
    }
    const auto rate = [&](const Point& from) {
        return static_cast<double>((point.time - from.time).count()) / (point.percent - from.percent);
    };
    const double progress = point.percent - this->base->percent;
    const double elapsed = static_cast<double>((time - this->base->time).count());
    if (elapsed <= 0)
        return std::nullopt;
    const bool isComplete = percent >= wholeRun;
    // A run that is listed as complete may wait for the rest of its gang since long.
    if (isComplete && this->hasRate())
        return std::nullopt;
    if (point.percent - this->mark.percent >= stretchProgress && time > this->mark.time) {
        if (!isComplete)
            this->fastest = std::min(this->fastest, rate(this->mark));
        this->mark = point;
    }
    if (progress < readableProgress)
        return std::nullopt;
    const double mean = rate(*this->base);
    const double used = mean > this->fastest * disturbedRatio ? this->fastest : mean;
    return RunTimeReading { .milliseconds = used * wholeRun,
        .variance = square(beginMilliseconds / elapsed) + square(roundedPercent / progress),
        .isUpperBound = isComplete,
        .isFinal = progress >= finalProgress };
}

std::optional<RunTimeReading> ProgressReading::end(ServerTime time) const
{
    if (!this->base || time <= this->base->time)
        return std::nullopt;
    const double elapsed = static_cast<double>((time - this->base->time).count());
    const double progress = wholeRun - this->base->percent;
    if (progress < readableProgress)
        return std::nullopt;
    const double mean = elapsed / progress;
    return RunTimeReading { .milliseconds = (mean > this->fastest * disturbedRatio ? this->fastest : mean) * wholeRun,
        .variance = square(beginMilliseconds / elapsed) + square(roundedPercent / progress),
        .isFinal = progress >= finalProgress };
}

} // namespace WisteriaHill::Scheduling::Estimates
