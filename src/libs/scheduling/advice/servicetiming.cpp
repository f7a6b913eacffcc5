#include "scheduling/advice/servicetiming.h"

#include <algorithm>

namespace WisteriaHill::Scheduling::Advice {

namespace {

constexpr Duration queueingSlack { 800 }; ///< for calls of other daemons that the service decides on before
constexpr Duration longestPatience { 30'000 };
constexpr Duration learnedLifetime { 60'000 };

} // namespace

void ServiceTiming::announce(const PlacementAdvice& figures)
{
    if (figures != this->announced)
        *this = ServiceTiming {};
    this->announced = figures;
}

bool ServiceTiming::isFresh(SteadyTime now) const
{
    return this->hasLearned && now - this->learnedAt < learnedLifetime;
}

PlacementAdvice ServiceTiming::figures(SteadyTime now) const
{
    PlacementAdvice known = this->announced;
    if (this->statedValidity.count() > 0)
        known.ticketValidity = this->statedValidity;
    if (this->isFresh(now))
        known.timePerServer = std::max(known.timePerServer, this->learnedTimePerServer);
    return known;
}

Duration ServiceTiming::timeout(std::size_t servers, SteadyTime now) const
{
    const Duration added = this->isFresh(now) ? this->patience : Duration(0);
    return decisionTime(this->figures(now), servers) + queueingSlack + added;
}

void ServiceTiming::learnTimePerServer(std::size_t servers, Duration took, SteadyTime now)
{
    this->learnedTimePerServer = std::max(Duration(0), took - this->announced.decisionTime)
        / static_cast<std::int64_t>(std::max<std::size_t>(servers, 1));
    this->learnedAt = now;
    this->hasLearned = true;
}

void ServiceTiming::answered(std::size_t servers, Duration took, Duration stated, SteadyTime now)
{
    this->statedValidity = stated;
    this->patience = Duration(0);
    this->learnTimePerServer(servers, took, now);
}

void ServiceTiming::timedOut(std::size_t servers, Duration waited, SteadyTime now)
{
    // The service may still decide on the call, and on those before it, when the next one arrives.
    this->patience = std::min(longestPatience, this->isFresh(now) ? 2 * this->patience + queueingSlack : queueingSlack);
    this->learnTimePerServer(servers, waited, now);
}

} // namespace WisteriaHill::Scheduling::Advice
