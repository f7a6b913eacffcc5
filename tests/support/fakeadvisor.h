/// An in-memory placement advice service: decides on one call after the other and issues tickets.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/fleetconfiguration.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::TestSupport {

/// Thread safety: none.
class FakeAdvisor {
public:
    /// From when the validity of a ticket counts.
    enum class ValidityStart { Call, Answer };

    Scheduling::PlacementAdvice figures; ///< that the service keeps to, whatever the configuration says
    ValidityStart validityStart = ValidityStart::Answer;
    Scheduling::Duration statedValidity { 0 }; ///< in the answers; zero for answers without it
    std::set<std::string> denied; ///< servers that may not run any step
    bool rejectsTickets = false; ///< servers reject every ticket

    /// Finds the start time of a server's present life.
    std::function<std::int64_t(const std::string& server)> lifeOf;

    struct Decision {
        Scheduling::SteadyTime at {}; ///< when the service answers
        Scheduling::AdviceAnswer answer;
    };

    /// Handles a call that arrives at `now`, after those before it.
    Decision decide(const Scheduling::AdviceCall& call, Scheduling::SteadyTime now);

    /// True when a server accepts the order's ticket at `now`.
    bool accepts(const Scheduling::StartOrder& order, const std::string& server, Scheduling::SteadyTime now) const;

    std::map<std::string, int> calls; ///< by job id
    std::size_t serversNamed = 0; ///< by all calls
    std::size_t mostServersNamed = 0; ///< by one call
    int rejectedStarts = 0; ///< by servers, for want of a valid ticket

private:
    struct IssuedTicket {
        Scheduling::TaskName step;
        std::string server;
        std::int64_t life = 0;
        Scheduling::SteadyTime begin {};
        Scheduling::SteadyTime end {};
    };

    std::vector<IssuedTicket> issued; ///< a ticket's text is its index
    Scheduling::SteadyTime busyUntil {};
};

} // namespace WisteriaHill::TestSupport
