/// What keeps a waiting step from servers that have room for one of its tasks.
#pragma once

#include <string>

namespace WisteriaHill::Scheduling {

enum class WaitReason {
    NoRoom, ///< no server that the step may use has room for a task
    LastAttempt, ///< its last attempt waits for a server on which runs succeed
    FailedServers, ///< its job has failed on them
    AvoidedServers, ///< they failed, restarted or refused a start a short time ago
    DataRack, ///< they are not in the rack of its data
    PartOfGang, ///< they have room for a part of the gang only, or not within one rack
    ReservedServers, ///< they are reserved for urgent work
    ClaimedServers, ///< they are claimed for a waiting gang
    Preemption, ///< runs on them were stopped for another job
    NoTicket, ///< the placement advice was not asked about them yet, or has not answered
    TicketDenied, ///< the placement advice does not allow them
    TicketExpired, ///< the step's tickets for them have expired
    TicketRejected, ///< they have rejected the step's tickets
    LimitPerServer, ///< they run as many tasks of the step as one server may
    LaterPass, ///< nothing; the next pass places it
};

/// Name of a reason, for logs.
std::string waitReasonName(WaitReason reason);

} // namespace WisteriaHill::Scheduling
