/// How well a job still does for its client. Pure.
#pragma once

#include "scheduling/board.h"

namespace WisteriaHill::Scheduling {

/// What a job's client can still get.
enum class Outlook {
    OnTime, ///< may end within its objective
    Late, ///< will miss its objective, but is still of use
    TooLate, ///< is of no use to its client any more
};

/// Compares the time since `since`, when the job or its occurrence became due, and the declared time of the steps from
/// `step` on with the objective of the queue.
Outlook outlookOf(const Job& job, const Queue& queue, std::size_t step, SteadyTime since, SteadyTime now);

/// Place in the order of service; lower goes first. Answers overload: work that is late already gives way to work of
/// the next priority that can still be on time, and work that is of no use any more to everything.
int standing(int priority, Outlook outlook);

} // namespace WisteriaHill::Scheduling
