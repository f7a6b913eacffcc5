#include "controllers/statedump.h"

namespace WisteriaHill::Controllers {

namespace {

using Utils::Json;
using Utils::SteadyTime;

std::int64_t ageMs(SteadyTime now, SteadyTime then)
{
    return std::chrono::duration_cast<Utils::Duration>(now - then).count();
}

Json dumpMembers(const Model::Blackboard& blackboard, SteadyTime now)
{
    Json members = Json::object();
    for (const auto& [host, member] : blackboard.members) {
        members[host.value()] = { { "zone", member.zone }, { "incarnation", member.incarnation },
            { "address", member.address.address + ":" + std::to_string(member.address.port) },
            { "phase", hostPhaseName(member.phase) }, { "revision", member.revision }, { "live", member.live },
            { "heardMsAgo", ageMs(now, member.lastHeard) } };
    }
    return members;
}

Json dumpServers(const Model::Blackboard& blackboard, SteadyTime now)
{
    Json servers = Json::object();
    for (const auto& [id, view] : blackboard.servers) {
        servers[id.value()] = { { "rack", view.server.rack }, { "position", view.server.position },
            { "incarnation", view.incarnation }, { "acceptsWork", view.acceptsWork() }, { "leaving", view.leaving },
            { "listedLeaving", view.listedLeaving }, { "drained", view.drained }, { "silent", view.silent },
            { "ejected", view.ejected }, { "probation", view.probation }, { "inFlight", view.inFlight },
            { "concurrencyLimit", view.concurrencyLimit }, { "busySlots", view.busySlots }, { "free", view.free },
            { "preemptible", view.preemptible }, { "reportMsAgo", ageMs(now, view.lastReport) } };
    }
    return servers;
}

Json dumpLayout(const Model::Blackboard& blackboard)
{
    Json homes = Json::object();
    for (const auto& [id, home] : blackboard.layout.homes)
        homes[id.value()] = home.size();
    Json uncovered = Json::array();
    for (const Model::GuaranteeId& id : blackboard.layout.uncovered)
        uncovered.push_back(id);
    return { { "homeServers", homes }, { "uncovered", uncovered } };
}

} // namespace

std::string_view hostPhaseName(Model::HostPhase phase)
{
    switch (phase) {
    case Model::HostPhase::Starting:
        return "starting";
    case Model::HostPhase::Ready:
        return "ready";
    case Model::HostPhase::Stopping:
        return "stopping";
    case Model::HostPhase::Left:
        return "left";
    }
    return "";
}

Json dumpCounters(const Model::Counters& counters)
{
    return { { "requestsCompleted", counters.requestsCompleted }, { "requestsNotRun", counters.requestsNotRun },
        { "requestsUnknown", counters.requestsUnknown }, { "requestsReplayed", counters.requestsReplayed },
        { "dispatches", counters.dispatches }, { "retries", counters.retries },
        { "tableTransactions", counters.tableTransactions }, { "tableRowsWritten", counters.tableRowsWritten },
        { "tableReads", counters.tableReads }, { "heartbeatsSent", counters.heartbeatsSent },
        { "heartbeatsReceived", counters.heartbeatsReceived }, { "probesSent", counters.probesSent },
        { "leaseBatches", counters.leaseBatches }, { "gangsStarted", counters.gangsStarted },
        { "gangsRequeued", counters.gangsRequeued }, { "reclaims", counters.reclaims } };
}

Json dumpBlackboard(const Model::Blackboard& blackboard, SteadyTime now)
{
    return { { "host", blackboard.self.host }, { "zone", blackboard.self.zone },
        { "incarnation", blackboard.self.incarnation }, { "phase", hostPhaseName(blackboard.phase) },
        { "revision", blackboard.configuration ? blackboard.configuration->revision : 0 },
        { "tableAvailable", blackboard.tableAvailable }, { "members", dumpMembers(blackboard, now) },
        { "servers", dumpServers(blackboard, now) }, { "guarantees", dumpLayout(blackboard) },
        { "counters", dumpCounters(blackboard.counters) } };
}

} // namespace WisteriaHill::Controllers
