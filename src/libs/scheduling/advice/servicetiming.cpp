#include "scheduling/advice/servicetiming.h"

namespace WisteriaHill::Scheduling::Advice {

namespace {

constexpr Duration queueingSlack { 800 }; ///< for calls of other daemons that the service decides on before

} // namespace

void ServiceTiming::announce(const PlacementAdvice& figures)
{
    if (figures != this->announced)
        *this = ServiceTiming {};
    this->announced = figures;
}

PlacementAdvice ServiceTiming::figures() const
{
    PlacementAdvice known = this->announced;
    if (this->statedValidity.count() > 0)
        known.ticketValidity = this->statedValidity;
    return known;
}

Duration ServiceTiming::timeout(std::size_t servers) const
{
    return decisionTime(this->figures(), servers) + queueingSlack;
}

} // namespace WisteriaHill::Scheduling::Advice
