/// What the placement advice has said about one step, and what servers have said about its tickets.
#pragma once

#include "utils/steadytime.h"

#include <cstdint>
#include <map>
#include <string>

namespace WisteriaHill::Scheduling::Advice {

using Utils::Duration;
using Utils::SteadyTime;

/// Permission to run a step's tasks on one life of a server.
struct Ticket {
    std::string text; ///< empty once its server has rejected it
    std::int64_t life = 0; ///< start of the server's life, BackendServer::startOfLife()
    SteadyTime calledAt {}; ///< when the call was sent
    SteadyTime answeredAt {};
    Duration validity { 0 }; ///< zero when unknown
    SteadyTime end {}; ///< it is not valid any more, as far as is known
    SteadyTime usableUntil {}; ///< a run placed before starts in time
};

/// A ticket that its server has rejected though it counted as valid.
struct Rejection {
    std::int64_t life = 0;
    int count = 0; ///< in a row
    SteadyTime askAgainAt {};
};

enum class TicketState {
    Usable,
    NotAsked,
    Denied, ///< the advice does not allow the server
    Expired,
    Rejected, ///< the server has rejected a ticket, and no other one is requested yet
};

/// Everything is by server id, and holds for the life of the server that it names.
struct StepTickets {
    std::map<std::string, Ticket> tickets; ///< expired ones too: the advice allows these servers
    std::map<std::string, std::int64_t> denied; ///< lives; what the advice says of a step does not change
    std::map<std::string, Rejection> rejections;
    SteadyTime lastCallAt {};
    SteadyTime nextLookAt {}; ///< the step asks for nothing before
    int callsSinceStart = 0; ///< answered calls since one of its tasks was placed last

    TicketState stateOf(const std::string& server, std::int64_t life, SteadyTime now) const;

    /// The text of a ticket that is valid when an order is sent now; empty when there is none.
    std::string textFor(const std::string& server, std::int64_t life, SteadyTime now) const;
};

} // namespace WisteriaHill::Scheduling::Advice
