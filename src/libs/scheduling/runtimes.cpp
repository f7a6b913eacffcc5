#include "scheduling/runtimes.h"

#include <cmath>

namespace WisteriaHill::Scheduling {

bool RunTimes::learn(const std::string& queue, Duration declared, Duration ran, double weight)
{
    if (declared.count() <= 0 || ran.count() <= 0)
        return false;
    this->queues[queue].add(
        std::log(static_cast<double>(declared.count())), std::log(static_cast<double>(ran.count())), weight);
    return true;
}

void RunTimes::learnTypical(
    const Estimates::TaskKind& kind, Duration declared, Duration ran, double slowness, double weight)
{
    if (declared.count() > 0 && ran.count() > 0)
        this->typical.learn(kind, declared, std::log(static_cast<double>(ran.count())) - std::log(slowness), weight);
}

void RunTimes::setUneven(const std::string& queue, bool isUneven)
{
    if (isUneven)
        this->uneven.insert(queue);
    else
        this->uneven.erase(queue);
}

Duration RunTimes::expected(std::string_view queue, Duration declared) const
{
    if (this->isUneven(queue) && declared.count() > 0)
        return this->expectedFor({ .queue = queue, .account = {} }, declared);
    const auto found = this->queues.find(queue);
    if (found == this->queues.end() || found->second.weight <= 0 || declared.count() <= 0)
        return declared;
    const double logDeclared = std::log(static_cast<double>(declared.count()));
    return Duration(std::llround(std::exp(found->second.expected(logDeclared))));
}

Duration RunTimes::expectedFor(const Estimates::TaskKind& kind, Duration declared) const
{
    if (!this->isUneven(kind.queue) || declared.count() <= 0)
        return this->expected(kind.queue, declared);
    return Duration(std::llround(std::exp(this->typical.expectedLog(kind, declared))));
}

const Estimates::QueueTimes* RunTimes::typicalOf(const std::string& queue) const
{
    const auto found = this->typical.all().find(queue);
    return this->isUneven(queue) && found != this->typical.all().end() ? &found->second : nullptr;
}

} // namespace WisteriaHill::Scheduling
