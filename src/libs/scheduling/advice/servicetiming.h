/// How fast the placement advice decides for one queue: as announced, with what its answers state.
#pragma once

#include "scheduling/advice/ticketfigures.h"
#include "utils/steadytime.h"

namespace WisteriaHill::Scheduling::Advice {

/// Thread safety: none.
class ServiceTiming {
public:
    /// Takes over the figures of the configuration in force. What was learned under other figures is forgotten.
    void announce(const PlacementAdvice& figures);

    /// The figures to count with.
    PlacementAdvice figures() const;

    /// How long a call that names so many servers may take before it is given up.
    Duration timeout(std::size_t servers) const;

    /// Learns from an answer. `stated` is zero when the answer does not state a validity.
    void answered(Duration stated) { this->statedValidity = stated; }

private:
    PlacementAdvice announced;
    Duration statedValidity { 0 };
};

} // namespace WisteriaHill::Scheduling::Advice
