#include "scheduling/serverorders.h"

namespace WisteriaHill::Scheduling {

std::string orderRefusalName(OrderRefusal refusal)
{
    switch (refusal) {
    case OrderRefusal::Fenced:
        return "fenced";
    case OrderRefusal::Outdated:
        return "outdated attempt";
    case OrderRefusal::LeaseExpired:
        return "lease expired";
    case OrderRefusal::NoCapacity:
        return "no free capacity";
    case OrderRefusal::NoTicket:
        return "no ticket";
    case OrderRefusal::Unhealthy:
        return "unhealthy";
    case OrderRefusal::WrongInstance:
        return "wrong server instance";
    case OrderRefusal::Invalid:
        return "invalid";
    }
    return "unknown";
}

std::string runEndName(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::Lapsed:
        return "lapsed";
    case RunEnd::Broken:
        return "broken";
    case RunEnd::Alone:
        return "alone";
    }
    return "unknown";
}

} // namespace WisteriaHill::Scheduling
