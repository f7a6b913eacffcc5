#include "utils/eventcatalogue.h"

#include <algorithm>
#include <array>

namespace WisteriaHill::Utils {

namespace {

using enum EventLevel;

constexpr std::array catalogue {
    EventDescription { Event::DaemonStarted, Information, "DaemonStarted",
        "The process listens on its addresses and waits for a configuration.", "None." },
    EventDescription { Event::DaemonReady, Information, "DaemonReady",
        "A configuration is in force; the load balancer may send work.", "None." },
    EventDescription { Event::DaemonStopping, Information, "DaemonStopping",
        "A graceful stop has begun; the process no longer reports itself as ready.", "None; wait for 103." },
    EventDescription {
        Event::DaemonStopped, Information, "DaemonStopped", "All work is finished; the process exits.", "None." },
    EventDescription { Event::StopBoundReached, Error, "StopBoundReached",
        "The time limit of the graceful stop passed with unfinished work.",
        "Check the dump fields named; raise stop.bound if requests take longer." },
    EventDescription { Event::SettingsInvalid, Error, "SettingsInvalid",
        "The settings file has faults; the process exits with status 2.", "Correct the setting at each path named." },
    EventDescription { Event::ListenFailed, Error, "ListenFailed",
        "The process cannot listen on an address and exits with status 1.", "Free the port or change the setting." },
    EventDescription { Event::UnexpectedError, Error, "UnexpectedError",
        "A handler failed with an error that it does not expect. The daemon releases the leadership, finishes its open "
        "calls and exits with status 3.",
        "Report the reason with the lines before it; the host's process starts again by itself." },
    EventDescription { Event::MemberJoined, Information, "MemberJoined",
        "The first heartbeat of another entry host arrived.", "None." },
    EventDescription { Event::MemberLost, Warning, "MemberLost",
        "No heartbeat of an entry host arrived within the failure timeout.",
        "Check the host or the network between the zones if it lasts." },
    EventDescription { Event::MemberReplaced, Information, "MemberReplaced",
        "An entry host was restarted as a new process.", "None." },
    EventDescription {
        Event::MemberLeft, Information, "MemberLeft", "An entry host left after a graceful stop.", "None." },
    EventDescription { Event::PeerMessageRejected, Warning, "PeerMessageRejected",
        "A datagram or peer message was malformed and dropped.",
        "Check for daemons of different versions and for other senders." },
    EventDescription { Event::ConfigurationApplied, Information, "ConfigurationApplied",
        "A higher configuration revision is in force on this host.", "None." },
    EventDescription { Event::ConfigurationRejected, Error, "ConfigurationRejected",
        "A committed configuration document cannot be read; the previous one stays in force.",
        "Check that all hosts run versions that can read the document." },
    EventDescription { Event::ConfigurationEdited, Information, "ConfigurationEdited",
        "This host committed an operator's edit of the configuration.", "None." },
    EventDescription { Event::ConfigurationConflict, Information, "ConfigurationConflict",
        "An edit was rejected because another edit of the same section was committed first.",
        "The operator reads the new version and edits again." },
    EventDescription { Event::TableUnavailable, Warning, "TableUnavailable",
        "Calls of the table service fail or time out; writes are retried.",
        "Check the state of the platform; requests that need a claim are refused meanwhile." },
    EventDescription {
        Event::TableAvailable, Information, "TableAvailable", "The table service answers again.", "None." },
    EventDescription { Event::WriteResolved, Information, "WriteResolved",
        "The answer to a write was lost; the row was read again to find out whether the write took effect.", "None." },
    EventDescription { Event::ServerSilent, Warning, "ServerSilent",
        "A backend server fails probes on new connections.", "Check the server if it lasts." },
    EventDescription {
        Event::ServerAnswering, Information, "ServerAnswering", "A silent backend server answers again.", "None." },
    EventDescription { Event::ServerEjected, Warning, "ServerEjected",
        "Most distinct requests to a backend server fail; it gets no requests for a while.",
        "Check the server's own logs." },
    EventDescription { Event::ServerProbation, Information, "ServerProbation",
        "An ejected backend server gets one request as a test.", "None." },
    EventDescription { Event::ServerReinstated, Information, "ServerReinstated",
        "A backend server on probation completed its request and gets requests again.", "None." },
    EventDescription { Event::ServerLeaving, Information, "ServerLeaving",
        "A backend server is leaving and gets no new work.", "None." },
    EventDescription { Event::ServerDrained, Information, "ServerDrained", "An operator drained a backend server.",
        "Undrain the server after the maintenance." },
    EventDescription { Event::ServerUndrained, Information, "ServerUndrained",
        "An operator ended the drain of a backend server.", "None." },
    EventDescription { Event::ServerRestarted, Information, "ServerRestarted",
        "A backend server has a new incarnation; its leases no longer exist.", "None." },
    EventDescription { Event::ClaimReleased, Information, "ClaimReleased",
        "The claim on a request was deleted because the request was not run.", "None." },
    EventDescription { Event::ClaimUnresolved, Warning, "ClaimUnresolved",
        "A claim has no result and the entry host that wrote it is no longer running; the request is never run again.",
        "The caller decides from its own records whether to repeat the request." },
    EventDescription { Event::RequestFailed, Warning, "RequestFailed", "A request ended with an unknown outcome.",
        "See the reason; check the backend server named." },
    EventDescription { Event::JobAccepted, Information, "JobAccepted", "A job was accepted.", "None." },
    EventDescription {
        Event::JobPlaced, Information, "JobPlaced", "A placement was found; members are being reserved.", "None." },
    EventDescription {
        Event::JobRunning, Information, "JobRunning", "All members of a gang confirmed their start.", "None." },
    EventDescription { Event::JobFinished, Information, "JobFinished", "All members of a gang finished.", "None." },
    EventDescription { Event::JobRequeued, Information, "JobRequeued",
        "All members of a gang were stopped; the job is queued again.", "See the reason with explain." },
    EventDescription {
        Event::JobRejected, Warning, "JobRejected", "A job was rejected because it can never run.", "See the reason." },
    EventDescription {
        Event::JobCancelled, Information, "JobCancelled", "A job was cancelled by its client account.", "None." },
    EventDescription { Event::JobTakenOver, Information, "JobTakenOver",
        "This host took over ownership of a job from a host whose session lapsed.", "None." },
    EventDescription {
        Event::JobLost, Warning, "JobLost", "Another entry host owns a job now; this host dropped it.", "None." },
    EventDescription { Event::GuaranteeReclaimed, Information, "GuaranteeReclaimed",
        "Jobs that borrowed accelerators of a guarantee were evicted.", "None." },
    EventDescription { Event::GuaranteeUncovered, Warning, "GuaranteeUncovered",
        "A guarantee has no home: too few backend servers are available.",
        "Restore servers or reduce the guarantees." },
    EventDescription { Event::SessionLapsed, Warning, "SessionLapsed",
        "This host could not renew its session; no durable job is started.", "Check the state of the platform." },
    EventDescription {
        Event::JobFailed, Warning, "JobFailed", "A job ended without a result.", "See the reason with explain." },
    EventDescription { Event::SettingsReloaded, Information, "SettingsReloaded",
        "The settings file was read again after SIGHUP.", "None." },
    EventDescription { Event::StoreUnreachable, Warning, "StoreUnreachable",
        "Calls of the state store fail; they are relayed through another daemon if one answers.",
        "Check the store and the network if it lasts." },
    EventDescription {
        Event::StoreReachable, Information, "StoreReachable", "The state store answers this daemon again.", "None." },
    EventDescription { Event::RelayUsed, Information, "RelayUsed", "Store calls are relayed through another daemon.",
        "See 801 for the cause." },
    EventDescription { Event::RelayFailed, Warning, "RelayFailed", "A daemon that relayed store calls did not answer.",
        "Another one is tried; check the network if it lasts." },
    EventDescription { Event::HistoryLost, Information, "HistoryLost",
        "The store no longer has the changes after the last position read; the table is read again.", "None." },
    EventDescription { Event::RowUnreadable, Warning, "RowUnreadable",
        "A row has missing fields or another type and is ignored.",
        "Find the writer of the row by the table and key." },
    EventDescription {
        Event::LeaderKnown, Information, "LeaderKnown", "Another daemon is the leader and schedules.", "None." },
    EventDescription { Event::LeadershipTaken, Information, "LeadershipTaken",
        "This daemon became the leader and schedules from now on.", "None." },
    EventDescription { Event::LeadershipLost, Warning, "LeadershipLost",
        "This daemon is no longer the leader and stopped scheduling.", "See the reason." },
    EventDescription {
        Event::SchedulerLoaded, Information, "SchedulerLoaded", "All rows are read; scheduling begins.", "None." },
    EventDescription { Event::DecisionsUnstored, Warning, "DecisionsUnstored",
        "A transaction of the scheduler was rejected (answered) or got no answer; it is sent again.",
        "Check the store if it repeats for long." },
    EventDescription { Event::FormerLeaderOver, Information, "FormerLeaderOver",
        "The former leader knows its successor; it renews no leases any more.", "None." },
    EventDescription { Event::RenewalsEnded, Warning, "RenewalsEnded",
        "The store has not confirmed the leadership for so long that leases are no longer renewed; running work ends "
        "with them.",
        "Find out why this daemon does not reach the store." },
    EventDescription { Event::ConfigurationInForce, Information, "ConfigurationInForce",
        "A newer configuration is in force in this daemon.", "None." },
    EventDescription { Event::ConfigurationUnreadable, Error, "ConfigurationUnreadable",
        "A configuration cannot be read; the previous one stays in force.", "Compare the document with the reason." },
    EventDescription { Event::ConfigurationReadFailed, Warning, "ConfigurationReadFailed",
        "A read or watch of the configuration failed or timed out; the version in force may be old.",
        "Compare the bytes received with the elapsed time; see 801." },
    EventDescription { Event::RequestRefused, Information, "RequestRefused", "A request of a client was refused.",
        "See the reason; the answer says when to try again." },
    EventDescription { Event::JobStored, Information, "JobStored", "A job was accepted: its row is stored.", "None." },
    EventDescription { Event::JobUncertain, Warning, "JobUncertain",
        "The store did not confirm whether a job was stored; the client was told that this is uncertain.",
        "The client submits again under the same id." },
    EventDescription {
        Event::CancelStored, Information, "CancelStored", "The request to cancel a job is stored.", "None." },
    EventDescription {
        Event::StatusUnknown, Warning, "StatusUnknown", "The state of a job could not be read in time.", "See 801." },
    EventDescription { Event::ForeignJob, Warning, "ForeignJob",
        "A call named a job of another client account or queue; it was answered as if there were no such job.",
        "Ask the account's owner if it repeats." },
    EventDescription { Event::JobTaken, Information, "JobTaken", "The scheduler queued a stored job.", "None." },
    EventDescription {
        Event::OccurrenceDue, Information, "OccurrenceDue", "An occurrence of a scheduled job is due.", "None." },
    EventDescription { Event::RunPlaced, Information, "RunPlaced",
        "A task was placed on a backend server; it is started once the placement is stored.", "None." },
    EventDescription {
        Event::RunEnded, Information, "RunEnded", "A backend server reported the end of a run.", "None." },
    EventDescription { Event::RunLost, Warning, "RunLost",
        "A run is over, but no end of it was reported; its task is queued again.", "See the reason." },
    EventDescription { Event::RunPreempted, Information, "RunPreempted",
        "A run is stopped to free capacity for a more urgent job.", "None." },
    EventDescription { Event::RunStalled, Warning, "RunStalled",
        "A run made no progress; it is stopped and started on another backend server.", "Check the backend server." },
    EventDescription { Event::StartRefused, Information, "StartRefused", "A backend server refused to start a task.",
        "See the reason." },
    EventDescription { Event::StrayRun, Warning, "StrayRun",
        "A backend server runs a task that must not run there; the run is stopped.",
        "None; this happens when a server carries out an order late." },
    EventDescription { Event::OrderUnanswered, Warning, "OrderUnanswered",
        "A backend server did not answer an order; it may still carry it out if it was sent.",
        "Check the server if it lasts." },
    EventDescription { Event::JobEnded, Information, "JobEnded", "A job has ended.", "See the reason." },
    EventDescription { Event::OutlookChanged, Information, "OutlookChanged",
        "The outlook of a waiting job improves or worsens; its place in the queue changes.",
        "Compare declaredMs with the run times of its queue." },
    EventDescription { Event::AcceleratorsIdle, Information, "AcceleratorsIdle",
        "Tasks wait while accelerators are idle; logged at most once per second.",
        "See what the idle accelerators are reserved for; no waiting task fits the others." },
    EventDescription { Event::GangIncomplete, Warning, "GangIncomplete",
        "Some members of a gang did not start; the others are stopped and the gang is queued again.",
        "Check the server named." },
    EventDescription { Event::ServerCrashedUnderTask, Warning, "ServerCrashedUnderTask",
        "A backend server restarted under a run of the task; a task that crashes servers by its start is given up.",
        "See the verdict; if it is suspect repeatedly, inspect the job's payload." },
    EventDescription { Event::JobRemoved, Information, "JobRemoved",
        "The rows of a job that ended long ago are removed; its id is no longer known.", "None." },
    EventDescription { Event::RowRefused, Error, "RowRefused",
        "The store will never accept a row of the scheduler; if it is the progress of a job, the job is given up.",
        "Compare the size of the row with the store's limit." },
    EventDescription { Event::StepWaits, Information, "StepWaits",
        "A job has had nothing running for a while, and servers have room for one of its tasks; logged at most once "
        "per "
        "second for a step, and for a limited number of steps per second.",
        "See what keeps the step from these servers." },
    EventDescription { Event::TaskHeld, Information, "TaskHeld",
        "A task is not started again before its next crash of a server could be told from others.",
        "None; the time is stated." },
    EventDescription { Event::ServerFound, Information, "ServerFound",
        "A new entry of a backend server was found in the store.", "None." },
    EventDescription { Event::ServerDraining, Information, "ServerDraining",
        "A backend server is draining and gets no new runs.", "None." },
    EventDescription { Event::ServerEntryGone, Information, "ServerEntryGone",
        "The entry of a backend server was deleted from the store.", "None." },
    EventDescription { Event::ServerUnreachable, Warning, "ServerUnreachable",
        "A backend server does not answer; no runs are placed there.", "Check the server if it lasts." },
    EventDescription {
        Event::ServerReachable, Information, "ServerReachable", "A backend server answers again.", "None." },
    EventDescription {
        Event::LookRefused, Warning, "LookRefused", "A backend server refused to list its runs.", "See the reason." },
    EventDescription { Event::MachineReturned, Information, "MachineReturned",
        "A backend server has answered as a later life of a machine that has a server already; the one that started "
        "earlier is over, unless it still answers.",
        "None." },
    EventDescription { Event::ServerEntryUnused, Information, "ServerEntryUnused",
        "A server entry names a service that the configuration in force does not have; it is used once one has it.",
        "Find the writer of the entry if the service is unknown." },
    EventDescription { Event::EndRecordsCut, Information, "EndRecordsCut",
        "A backend server has more end records than one answer lists; runs that it does not list stay undecided until "
        "the rest is read.",
        "Check the state store if it lasts: end records are read on once they are stored." },
    EventDescription { Event::LogLinesDropped, Warning, "LogLinesDropped",
        "Log lines of an event were dropped because they exceeded its rate limit.",
        "See the counters of the metrics address." },
    EventDescription { Event::AdviceTaken, Information, "AdviceTaken",
        "The placement advice returned the backend servers that may run a step.", "None." },
    EventDescription { Event::AdviceMissing, Warning, "AdviceMissing",
        "The placement advice did not answer; the request is repeated.",
        "Check the placement advice service if it lasts." },
    EventDescription { Event::RunPaced, Information, "RunPaced",
        "The speed of a task that fills idle capacity was reduced or raised.", "None." },
    EventDescription { Event::WaveBegun, Information, "WaveBegun", "A wave of upkeep was started.", "None." },
    EventDescription { Event::UpkeepOrdered, Information, "UpkeepOrdered", "A machine was ordered to begin its upkeep.",
        "See the result; the order is repeated until it succeeds." },
    EventDescription {
        Event::WaveCompleted, Information, "WaveCompleted", "Every machine of a wave has begun its upkeep.", "None." },
    EventDescription { Event::TicketsUnusable, Warning, "TicketsUnusable",
        "The tickets of the placement advice had expired when they arrived; the next call names fewer servers.",
        "See validMs, tookMs and announcedMs: the queue's figures leave no time to use a ticket, or the service is "
        "slow." },
    EventDescription { Event::TicketRejected, Warning, "TicketRejected",
        "A backend server rejected a ticket that counted as valid; it is not used again.",
        "None, unless it lasts: then the servers and the placement advice disagree, or their figures are wrong." },
    EventDescription { Event::ZoneEvacuationBegun, Information, "ZoneEvacuationBegun",
        "The operator evacuates a zone; no run is started there until it is taken back.", "None." },
    EventDescription { Event::ZoneTakenBack, Information, "ZoneTakenBack",
        "The operator has taken an evacuated zone back; its servers get runs again.", "None." },
    EventDescription { Event::EvacuationsUnknown, Warning, "EvacuationsUnknown",
        "The requests to evacuate zones have not been read for longer than their bound; no run is started.",
        "Check the state store." },
    EventDescription { Event::EvacuationsKnown, Information, "EvacuationsKnown",
        "The requests to evacuate zones have been read again.", "None." },
    EventDescription { Event::RunMovedOut, Information, "RunMovedOut",
        "A run is stopped in an evacuated zone and goes on in another zone, which has room for it.", "None." },
    EventDescription { Event::SpeedsDiffer, Information, "SpeedsDiffer",
        "Run times prove that a service's machines differ in speed, or that they do not any more. Work is placed and "
        "forecast by speed while they do.",
        "None. Unexpected: see the speeds in the state dump." },
    EventDescription { Event::MachineSpeedClassed, Information, "MachineSpeedClassed",
        "A machine is now known as fast, known as slow, or not known as either.",
        "Slow without a reason: see the machine." },
    EventDescription { Event::ClientsLimited, Warning, "ClientsLimited",
        "Clients of an address reached a limit of the budget since the last line: requests were refused or unfinished "
        "connections closed; logged at most once per second for an address.",
        "Compare the counts with the limits of SETTINGS.md; see OPERATIONS.md." },
};

std::string_view levelName(EventLevel level)
{
    switch (level) {
    case Information:
        return "information";
    case Warning:
        return "warning";
    case Error:
        return "error";
    }
    return "";
}

} // namespace

std::span<const EventDescription> eventCatalogue() { return catalogue; }

const EventDescription& describeEvent(Event event)
{
    return *std::ranges::find(catalogue, event, &EventDescription::event);
}

std::string eventCatalogueMarkdown()
{
    std::string text = "| number | name | level | meaning | action |\n|---|---|---|---|---|\n";
    for (const EventDescription& line : catalogue) {
        text += "| " + std::to_string(static_cast<int>(line.event)) + " | " + std::string(line.name) + " | "
            + std::string(levelName(line.level)) + " | " + std::string(line.meaning) + " | " + std::string(line.action)
            + " |\n";
    }
    return text;
}

} // namespace WisteriaHill::Utils
