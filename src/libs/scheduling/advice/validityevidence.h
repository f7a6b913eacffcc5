/// What starts have shown about the moment from which tickets count.
#pragma once

#include "scheduling/advice/steptickets.h"
#include "scheduling/advice/ticketfigures.h"

#include <optional>

namespace WisteriaHill::Scheduling::Advice {

/// Thread safety: none.
class ValidityEvidence {
public:
    /// Returns true when a start with the ticket shows from when it counts: the two moments differ in whether the
    /// ticket was valid when the order, sent at `sentAt` and answered at `now`, was carried out.
    bool learn(const Ticket& ticket, bool accepted, SteadyTime sentAt, SteadyTime now);

    /// Unset when nothing is known, or when it is long ago.
    std::optional<ValidityStart> proven(SteadyTime now) const;

private:
    std::optional<ValidityStart> start;
    SteadyTime learnedAt {};
};

} // namespace WisteriaHill::Scheduling::Advice
