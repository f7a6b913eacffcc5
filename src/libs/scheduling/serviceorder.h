/// The order in which waiting steps are served. Pure.
#pragma once

#include "scheduling/planningpass.h"

namespace WisteriaHill::Scheduling {

/// True when `left` is served before `right`; a strict weak order.
///
/// Guaranteed work goes first, whatever its outlook, oldest first. Then by standing: work that is late already gives
/// way to work of the next priority that can still be on time, and work that is of no use any more to everything.
///
/// Answers overload: among ordinary work that can still be on time the newest goes first. Oldest first would start each
/// job when it has used up its slack waiting, so that whatever delays its run makes it late, and the next one too.
bool servedBefore(const PendingStep& left, const PendingStep& right);

} // namespace WisteriaHill::Scheduling
