/// The order in which waiting steps are placed. Pure: no clock, no input or output.
#pragma once

#include "scheduling/planningpass.h"

namespace WisteriaHill::Scheduling {

/// True when `left` is served before `right`; a strict weak order.
///
/// Guaranteed work goes first, oldest first, whatever its outlook. All other work is ranked by priority and outlook:
/// late work goes after work of the next priority that can still be on time, and work that is too late goes last.
///
/// Among ordinary work that can still be on time the newest goes first, because of overload: with the oldest first,
/// each job would start when it has used up its slack waiting, so that any delay of its run makes it and the next one
/// late.
bool servedBefore(const PendingStep& left, const PendingStep& right);

} // namespace WisteriaHill::Scheduling
