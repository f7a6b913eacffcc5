#include "utils/eventcatalogue.h"

#include <algorithm>
#include <array>

namespace WisteriaHill::Utils {

namespace {

using enum EventLevel;

constexpr std::array catalogue {
    EventDescription { Event::DaemonStarted, Information, "DaemonStarted",
        "The process listens and looks for a configuration.", "None." },
    EventDescription { Event::DaemonReady, Information, "DaemonReady",
        "A configuration is in force; the balancer may send work.", "None." },
    EventDescription { Event::DaemonStopping, Information, "DaemonStopping",
        "A graceful stop began; readiness is withdrawn.", "None; wait for 103." },
    EventDescription {
        Event::DaemonStopped, Information, "DaemonStopped", "Nothing was left to finish; the process exits.", "None." },
    EventDescription { Event::StopBoundReached, Error, "StopBoundReached",
        "The bound of the stop passed with work unfinished.",
        "Look at the dump fields named; raise stop.bound if requests are longer." },
    EventDescription { Event::SettingsInvalid, Error, "SettingsInvalid",
        "The settings file has faults; the process exits with 2.", "Mend each path named." },
    EventDescription { Event::ListenFailed, Error, "ListenFailed",
        "An address could not be listened on; the process exits with 1.", "Free the port or change the setting." },
    EventDescription {
        Event::MemberJoined, Information, "MemberJoined", "Another entry host was heard for the first time.", "None." },
    EventDescription { Event::MemberLost, Warning, "MemberLost",
        "No heartbeat of an entry host for the failure timeout.",
        "Check the host or the network between the zones if it lasts." },
    EventDescription {
        Event::MemberReplaced, Information, "MemberReplaced", "An entry host came back as a new process.", "None." },
    EventDescription {
        Event::MemberLeft, Information, "MemberLeft", "An entry host said goodbye on a graceful stop.", "None." },
    EventDescription { Event::PeerMessageRejected, Warning, "PeerMessageRejected",
        "A datagram or peer message was malformed and dropped.", "Check for mixed versions or foreign senders." },
    EventDescription { Event::ConfigurationApplied, Information, "ConfigurationApplied",
        "A higher revision is in force on this host.", "None." },
    EventDescription { Event::ConfigurationRejected, Error, "ConfigurationRejected",
        "A committed document does not read; the old one stays in force.",
        "Check that all hosts run versions that read the document." },
    EventDescription { Event::ConfigurationEdited, Information, "ConfigurationEdited",
        "An operator's edit was committed here.", "None." },
    EventDescription { Event::ConfigurationConflict, Information, "ConfigurationConflict",
        "An edit lost against another one of the same section.",
        "The operator reads the new version and edits again." },
    EventDescription { Event::TableUnavailable, Warning, "TableUnavailable",
        "The table service fails or times out; writes are retried.",
        "See the platform's own state; requests with claims are refused meanwhile." },
    EventDescription {
        Event::TableAvailable, Information, "TableAvailable", "The table service answers again.", "None." },
    EventDescription { Event::WriteResolved, Information, "WriteResolved",
        "A write whose answer was lost was read back and settled.", "None." },
    EventDescription { Event::ServerSilent, Warning, "ServerSilent",
        "A backend server fails probes on new connections.", "Check the server if it lasts." },
    EventDescription {
        Event::ServerAnswering, Information, "ServerAnswering", "A silent backend server answers again.", "None." },
    EventDescription { Event::ServerEjected, Warning, "ServerEjected", "A backend server fails most distinct requests.",
        "Check the server's own logs." },
    EventDescription { Event::ServerProbation, Information, "ServerProbation",
        "An ejected backend server gets one request to prove itself.", "None." },
    EventDescription {
        Event::ServerReinstated, Information, "ServerReinstated", "A backend server on probation succeeded.", "None." },
    EventDescription { Event::ServerLeaving, Information, "ServerLeaving",
        "A backend server is leaving and gets no new work.", "None." },
    EventDescription { Event::ServerDrained, Information, "ServerDrained", "An operator drained a backend server.",
        "Undrain it when the work is done." },
    EventDescription {
        Event::ServerUndrained, Information, "ServerUndrained", "An operator's drain was lifted.", "None." },
    EventDescription { Event::ServerRestarted, Information, "ServerRestarted",
        "A backend server has a new incarnation; its leases are gone.", "None." },
    EventDescription { Event::ClaimReleased, Information, "ClaimReleased",
        "The claim of a request that was not run was deleted.", "None." },
    EventDescription { Event::ClaimUnresolved, Warning, "ClaimUnresolved",
        "A claim has no result and its claimant is gone; it is never run again.",
        "The caller decides with its own records." },
    EventDescription { Event::RequestFailed, Warning, "RequestFailed", "A request ended as unknown.",
        "See the reason; check the backend server named." },
    EventDescription { Event::JobAccepted, Information, "JobAccepted", "A job was accepted.", "None." },
    EventDescription {
        Event::JobPlaced, Information, "JobPlaced", "A placement was found; members are being reserved.", "None." },
    EventDescription {
        Event::JobRunning, Information, "JobRunning", "Every member of a gang confirmed its start.", "None." },
    EventDescription { Event::JobFinished, Information, "JobFinished", "Every member of a gang finished.", "None." },
    EventDescription { Event::JobRequeued, Information, "JobRequeued", "A gang was stopped as a whole and waits again.",
        "See the reason with explain." },
    EventDescription {
        Event::JobRejected, Warning, "JobRejected", "A job can never run and was refused.", "See the reason." },
    EventDescription {
        Event::JobCancelled, Information, "JobCancelled", "A job was cancelled by its client account.", "None." },
    EventDescription {
        Event::JobTakenOver, Information, "JobTakenOver", "A job of a lapsed session was taken over.", "None." },
    EventDescription {
        Event::JobLost, Warning, "JobLost", "Another entry host owns a job now; this one let go of it.", "None." },
    EventDescription { Event::GuaranteeReclaimed, Information, "GuaranteeReclaimed",
        "Borrowers were evicted from a guaranteed shape.", "None." },
    EventDescription { Event::GuaranteeUncovered, Warning, "GuaranteeUncovered",
        "A guaranteed shape has no home left: too many servers are away.", "Restore servers or lower guarantees." },
    EventDescription { Event::SessionLapsed, Warning, "SessionLapsed",
        "This host could not renew its session; durable jobs start nothing.", "See the platform's state." },
    EventDescription {
        Event::JobFailed, Warning, "JobFailed", "A job ended without a result.", "See the reason with explain." },
    EventDescription { Event::SettingsReloaded, Information, "SettingsReloaded",
        "The settings file was read again after SIGHUP.", "None." },
    EventDescription { Event::StoreUnreachable, Warning, "StoreUnreachable",
        "Calls to the state store fail; they go through another daemon where one answers.",
        "See the store and the network if it lasts." },
    EventDescription {
        Event::StoreReachable, Information, "StoreReachable", "The state store answers this daemon again.", "None." },
    EventDescription { Event::RelayUsed, Information, "RelayUsed", "Store calls go through another daemon.",
        "See 801 for the cause." },
    EventDescription { Event::RelayFailed, Warning, "RelayFailed", "A daemon that relayed store calls did not answer.",
        "Another one is tried; check the network if it lasts." },
    EventDescription { Event::HistoryLost, Information, "HistoryLost",
        "The store no longer has the changes after a position; the table is read again.", "None." },
    EventDescription { Event::RowUnreadable, Warning, "RowUnreadable",
        "A row has missing fields or another type and is ignored.", "Find its writer by the table and key." },
    EventDescription { Event::LeaderKnown, Information, "LeaderKnown", "Another daemon schedules.", "None." },
    EventDescription {
        Event::LeadershipTaken, Information, "LeadershipTaken", "This daemon schedules from now on.", "None." },
    EventDescription {
        Event::LeadershipLost, Warning, "LeadershipLost", "This daemon stopped scheduling.", "See the reason." },
    EventDescription {
        Event::SchedulerLoaded, Information, "SchedulerLoaded", "All rows are read; scheduling begins.", "None." },
    EventDescription { Event::ConfigurationInForce, Information, "ConfigurationInForce",
        "A newer configuration is in force in this daemon.", "None." },
    EventDescription { Event::ConfigurationUnreadable, Error, "ConfigurationUnreadable",
        "A configuration does not read; the one before stays in force.", "Compare the document with the reason." },
    EventDescription { Event::RequestRefused, Information, "RequestRefused", "A call of a client was refused.",
        "See the reason; the answer says when to come back." },
    EventDescription { Event::JobStored, Information, "JobStored", "A job was accepted: its row is stored.", "None." },
    EventDescription { Event::JobUncertain, Warning, "JobUncertain",
        "The store did not say whether a job was stored; the client was told so.",
        "The client submits again under the same id." },
    EventDescription { Event::CancelStored, Information, "CancelStored",
        "The mark that a job is to be cancelled is stored.", "None." },
    EventDescription {
        Event::StatusUnknown, Warning, "StatusUnknown", "The state of a job could not be read in time.", "See 801." },
    EventDescription {
        Event::JobTaken, Information, "JobTaken", "The scheduler took a stored job into its queue.", "None." },
    EventDescription {
        Event::OccurrenceDue, Information, "OccurrenceDue", "An occurrence of a scheduled job is due.", "None." },
    EventDescription { Event::RunPlaced, Information, "RunPlaced",
        "A task was given a backend server; the start follows when that is stored.", "None." },
    EventDescription { Event::RunEnded, Information, "RunEnded", "A backend server listed the end of a run.", "None." },
    EventDescription {
        Event::RunLost, Warning, "RunLost", "A run is over without an end; its task waits again.", "See the reason." },
    EventDescription { Event::RunPreempted, Information, "RunPreempted",
        "A run is stopped to make room for a more urgent job.", "None." },
    EventDescription { Event::RunStalled, Warning, "RunStalled",
        "A run made no progress; it is stopped and started elsewhere.", "Check the backend server." },
    EventDescription {
        Event::StartRefused, Information, "StartRefused", "A backend server refused a start.", "See the reason." },
    EventDescription { Event::StrayRun, Warning, "StrayRun",
        "A backend server runs what is not wanted there; it is told to stop.",
        "None; orders can be carried out late." },
    EventDescription { Event::OrderUnanswered, Warning, "OrderUnanswered",
        "A backend server did not answer an order, which may be carried out late.", "Check the server if it lasts." },
    EventDescription { Event::JobEnded, Information, "JobEnded", "A job has ended.", "See the reason." },
    EventDescription { Event::OutlookChanged, Information, "OutlookChanged",
        "A job that waits does better or worse for its client than before; its place in the queue changes.",
        "Compare declaredMs with the run times of its queue." },
    EventDescription { Event::AcceleratorsIdle, Information, "AcceleratorsIdle",
        "Work waits while accelerators are idle; written at most once a second.",
        "See what they are kept for; the rest fits no task that waits." },
    EventDescription {
        Event::ServerFound, Information, "ServerFound", "A backend server has a new entry in the store.", "None." },
    EventDescription { Event::ServerDraining, Information, "ServerDraining",
        "A backend server is draining and gets no new runs.", "None." },
    EventDescription { Event::ServerEntryGone, Information, "ServerEntryGone",
        "The entry of a backend server is gone from the store.", "None." },
    EventDescription { Event::ServerUnreachable, Warning, "ServerUnreachable",
        "A backend server does not answer; no runs are placed there.", "Check the server if it lasts." },
    EventDescription {
        Event::ServerReachable, Information, "ServerReachable", "A backend server answers again.", "None." },
    EventDescription {
        Event::LookRefused, Warning, "LookRefused", "A backend server refused to list its runs.", "See the reason." },
    EventDescription { Event::LogLinesDropped, Warning, "LogLinesDropped",
        "Lines of an event were left out to bound the volume.", "See the counters of the metrics address." },
    EventDescription { Event::AdviceTaken, Information, "AdviceTaken",
        "The placement advice named the servers that may run a step.", "None." },
    EventDescription { Event::AdviceMissing, Warning, "AdviceMissing",
        "The placement advice did not answer; it is asked again.", "Check the advice service if it lasts." },
    EventDescription { Event::RunPaced, Information, "RunPaced",
        "A task that fills idle capacity was slowed down or let go.", "None." },
    EventDescription { Event::WaveBegun, Information, "WaveBegun", "A wave of upkeep was taken up.", "None." },
    EventDescription { Event::UpkeepOrdered, Information, "UpkeepOrdered", "A machine was ordered into its upkeep.",
        "See the result; it is tried again until it is done." },
    EventDescription {
        Event::WaveCompleted, Information, "WaveCompleted", "Every machine of a wave has begun its upkeep.", "None." },
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
