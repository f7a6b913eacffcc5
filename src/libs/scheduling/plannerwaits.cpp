// What keeps waiting steps from servers that have room; the rest of Planner is in planner.cpp.

#include "scheduling/planner.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

namespace {

/// Steps of jobs that have had nothing running for this long are reported, each once per interval.
constexpr Duration waitReportDelay { 1000 };
constexpr Duration waitReportInterval { 1000 };
/// Limit for the reports of one interval, since each examines every server.
constexpr int reportsPerInterval = 16;

/// Precondition: the ticket cannot be used.
WaitReason reasonOf(Advice::TicketState ticket)
{
    switch (ticket) {
    case Advice::TicketState::Denied:
        return WaitReason::TicketDenied;
    case Advice::TicketState::Expired:
        return WaitReason::TicketExpired;
    case Advice::TicketState::Rejected:
        return WaitReason::TicketRejected;
    case Advice::TicketState::NotAsked:
    case Advice::TicketState::Usable:
        break;
    }
    return WaitReason::NoTicket;
}

} // namespace

std::string waitReasonName(WaitReason reason)
{
    switch (reason) {
    case WaitReason::NoRoom:
        return "no room";
    case WaitReason::LastAttempt:
        return "last attempt";
    case WaitReason::FailedServers:
        return "servers on which the job failed";
    case WaitReason::AvoidedServers:
        return "avoided servers";
    case WaitReason::DataRack:
        return "data rack";
    case WaitReason::PartOfGang:
        return "part of a gang";
    case WaitReason::ReservedServers:
        return "reserved servers";
    case WaitReason::ClaimedServers:
        return "claimed servers";
    case WaitReason::Preemption:
        return "servers preempted for another job";
    case WaitReason::NoTicket:
        return "no ticket requested yet";
    case WaitReason::TicketDenied:
        return "denied by the placement advice";
    case WaitReason::TicketExpired:
        return "expired tickets";
    case WaitReason::TicketRejected:
        return "rejected tickets";
    case WaitReason::LimitPerServer:
        return "limit per server";
    case WaitReason::LaterPass:
        return "later pass";
    }
    return "unknown";
}

int Planner::longestIdleTask(const PendingStep& pending)
{
    return std::ranges::min(pending.waitingTasks, {},
        [&](int index) { return pending.state->tasks[static_cast<std::size_t>(index)].lastRunAt; });
}

SteadyTime Planner::idleSince(const PendingStep& pending)
{
    const SteadyTime lastRunAt = pending.specification->longRunning
        ? pending.state->tasks[static_cast<std::size_t>(longestIdleTask(pending))].lastRunAt
        : pending.job->lastRunAt;
    return std::max(lastRunAt, pending.state->turnSince);
}

WaitReason Planner::exclusionOf(
    const PlanningPass& pass, const PendingStep& pending, std::size_t index, bool anyRack) const
{
    const PlacementServer& server = pass.servers[index];
    const StepSpecification& step = *pending.specification;
    if (this->claimed.contains(server.id))
        return WaitReason::ClaimedServers;
    if (this->isPreemptedForOthers(server.id, pending))
        return WaitReason::Preemption;
    if (server.avoided && this->excludeAvoided)
        return WaitReason::AvoidedServers;
    if (pending.queue->advice) {
        const Advice::TicketState ticket
            = pending.state->advice.stateOf(server.id, pass.boardServers[index]->startOfLife(), pass.time());
        if (ticket != Advice::TicketState::Usable)
            return reasonOf(ticket);
    }
    if (pending.job->failedOn.contains(server.id))
        return WaitReason::FailedServers;
    if (step.maximumPerServer > 0 && server.tasksOfStep >= step.maximumPerServer)
        return WaitReason::LimitPerServer;
    if (server.reserved && !this->mayUseReserved(pending) && server.rack != step.dataRack)
        return WaitReason::ReservedServers;
    if (!step.dataRack.empty() && !anyRack && server.rack != step.dataRack)
        return WaitReason::DataRack;
    if (waitsForSuccess(pass, pending))
        return WaitReason::LastAttempt;
    return step.gang ? WaitReason::PartOfGang : WaitReason::LaterPass;
}

void Planner::reportWait(const PlanningPass& pass, const PendingStep& pending, bool anyRack, Plan& plan)
{
    const SteadyTime now = pass.time();
    if (now - this->reportsSince >= waitReportInterval) {
        this->reportsSince = now;
        this->reportsLeft = reportsPerInterval;
    }
    const auto idle = std::chrono::duration_cast<Duration>(now - idleSince(pending));
    if (this->reportsLeft == 0 || idle < waitReportDelay || now - pending.state->waitReportedAt < waitReportInterval
        || (!pending.specification->longRunning && pending.job->isRunning(now - listingPeriod, now)))
        return;
    --this->reportsLeft;
    StepWait wait { .step = pending.taskName(0), .waitingTasks = pending.waitingTasks.size(), .idle = idle };
    const Resources need = countedNeed(*pending.specification);
    std::size_t most = 0;
    for (std::size_t index = 0; index < pass.servers.size(); ++index) {
        const PlacementServer& server = pass.servers[index];
        if (pass.boardServers[index]->service != pending.queue->service || !isEligible(server, *pending.specification)
            || !server.free.holds(need))
            continue;
        const WaitReason reason = this->exclusionOf(pass, pending, index, anyRack);
        const std::size_t count = ++wait.serversWithRoom[reason];
        if (count > most) {
            most = count;
            wait.reason = reason;
        }
    }
    wait.load = this->reserve.loadOf(pending.queue->service);
    plan.waits.push_back(std::move(wait));
}

} // namespace WisteriaHill::Scheduling
