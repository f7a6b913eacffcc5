#include "scheduling/advice/ticketfigures.h"

#include <algorithm>

namespace WisteriaHill::Scheduling::Advice {

namespace {

constexpr std::size_t serversPerCall = 30; ///< the decision time grows with each server and delays all tickets
/// Limit for the part of a call's time that grows with the servers named, since the service decides on one call at a
/// time. A call whose fixed part takes longer may take twice that.
constexpr Duration longestDecision { 2000 };
constexpr Duration longestOrderMargin { 400 };
constexpr int orderMarginDivisor = 4; ///< of a short validity
constexpr Duration longestTightMargin { 80 }; ///< an undisturbed start is stored and sent within it
constexpr int tightMarginDivisor = 8;

std::size_t quotient(Duration time, Duration step)
{
    return time.count() <= 0 ? 0 : static_cast<std::size_t>(time / step);
}

} // namespace

const char* validityStartName(ValidityStart start) { return start == ValidityStart::Call ? "call" : "answer"; }

Duration decisionTime(const PlacementAdvice& figures, std::size_t servers)
{
    return figures.decisionTime + figures.timePerServer * static_cast<std::int64_t>(servers);
}

Duration orderMargin(Duration validity) { return std::min(longestOrderMargin, validity / orderMarginDivisor); }

Duration tightMargin(Duration validity) { return std::min(longestTightMargin, validity / tightMarginDivisor); }

std::size_t usualCallSize(const PlacementAdvice& figures, ValidityStart start)
{
    const Duration validity = figures.ticketValidity;
    std::size_t size = serversPerCall;
    if (figures.timePerServer.count() > 0)
        size = std::clamp<std::size_t>(
            quotient(std::max(figures.decisionTime, longestDecision), figures.timePerServer), 1, serversPerCall);
    if (start == ValidityStart::Answer || validity.count() <= 0)
        return size;
    // Time for starts to be placed, and then for their orders.
    for (const Duration margin : { orderMargin(validity), tightMargin(validity) }) {
        const Duration left = validity - 2 * margin - figures.decisionTime;
        if (left >= figures.timePerServer)
            return figures.timePerServer.count() > 0 ? std::min(size, quotient(left, figures.timePerServer)) : size;
    }
    return 0;
}

bool canBeValidTogether(const PlacementAdvice& figures, std::size_t servers, ValidityStart start, Duration window)
{
    if (figures.ticketValidity.count() <= 0)
        return true;
    // Tickets that count from the answer leave out the time of the first call, which therefore names all that it may.
    const std::size_t counted = start == ValidityStart::Call ? servers
        : servers > maximumServersPerCall                    ? servers - maximumServersPerCall
                                                             : 0;
    const auto calls = static_cast<std::int64_t>((counted + maximumServersPerCall - 1) / maximumServersPerCall);
    return figures.decisionTime * calls + figures.timePerServer * static_cast<std::int64_t>(counted) + window
        <= figures.ticketValidity;
}

bool canBeUsedTogether(const PlacementAdvice& figures, std::size_t servers, ValidityStart start)
{
    return canBeValidTogether(figures, servers, start, 2 * tightMargin(figures.ticketValidity));
}

} // namespace WisteriaHill::Scheduling::Advice
