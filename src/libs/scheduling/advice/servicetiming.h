/// How fast the placement advice decides for one queue: as announced, corrected by what its answers have shown.
#pragma once

#include "scheduling/advice/ticketfigures.h"
#include "utils/steadytime.h"

namespace WisteriaHill::Scheduling::Advice {

/// Thread safety: none.
class ServiceTiming {
public:
    /// Takes over the figures of the configuration in force. What was learned under other figures is forgotten.
    void announce(const PlacementAdvice& figures);

    /// The figures to count with. What was learned holds for a minute after the last call.
    PlacementAdvice figures(SteadyTime now) const;

    /// How long a call that names so many servers may take before it is given up.
    Duration timeout(std::size_t servers, SteadyTime now) const;

    /// Learns from an answer. `statedValidity` is zero when the answer does not state it.
    void answered(std::size_t servers, Duration took, Duration statedValidity, SteadyTime now);

    /// Learns from a call that was given up after `waited`.
    void timedOut(std::size_t servers, Duration waited, SteadyTime now);

private:
    bool isFresh(SteadyTime now) const;
    /// Takes the time that a call has taken for that of its servers.
    void learnTimePerServer(std::size_t servers, Duration took, SteadyTime now);

    PlacementAdvice announced;
    Duration statedValidity { 0 };
    Duration learnedTimePerServer { 0 };
    Duration patience { 0 }; ///< added to a call's expected time, beside the usual slack
    SteadyTime learnedAt {};
    bool hasLearned = false;
};

} // namespace WisteriaHill::Scheduling::Advice
