/// How many servers a call to the placement advice may name so that its tickets can still be used. Pure: no clock, no
/// input or output.
#pragma once

#include "scheduling/fleetconfiguration.h"

#include <cstddef>

namespace WisteriaHill::Scheduling::Advice {

/// The moment from which the service counts the validity of a ticket. The platform does not say which one it is.
enum class ValidityStart {
    Call, ///< the service takes up the call; a ticket is certainly valid until then and its validity
    Answer, ///< the service answers
};

/// Lower-case name, for logs.
const char* validityStartName(ValidityStart start);

constexpr std::size_t maximumServersPerCall = 100; ///< that the service accepts

/// Time from a call until its answer.
Duration decisionTime(const PlacementAdvice& figures, std::size_t servers);

/// The part of a ticket's validity that is left for a start order to arrive.
Duration orderMargin(Duration validity);

/// The same, where more would leave no time to use the ticket.
Duration tightMargin(Duration validity);

/// The number of servers that a call names for a step whose tasks start one by one; zero when not even the ticket for a
/// single server would be usable. A validity of zero is an unknown one.
std::size_t usualCallSize(const PlacementAdvice& figures, ValidityStart start);

/// True when tickets for so many servers, from one call after the other, can be valid at the same time for `window`.
bool canBeValidTogether(
    const PlacementAdvice& figures, std::size_t servers, ValidityStart start, Duration window = Duration(0));

/// True when tickets for so many servers can be valid together until start orders have arrived.
bool canBeUsedTogether(const PlacementAdvice& figures, std::size_t servers, ValidityStart start);

} // namespace WisteriaHill::Scheduling::Advice
