#include "soak/seededrandom.h"

#include <boost/asio/steady_timer.hpp>

namespace WisteriaHill::Soak {

int SeededRandom::between(int lowest, int highest)
{
    return std::uniform_int_distribution<int>(lowest, highest)(this->engine);
}

Duration SeededRandom::between(Duration shortest, Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(shortest.count(), longest.count())(this->engine));
}

void waitFor(boost::asio::io_context& context, Duration duration, const boost::asio::yield_context& yield)
{
    boost::asio::steady_timer timer(context, duration);
    timer.async_wait(yield);
}

} // namespace WisteriaHill::Soak
