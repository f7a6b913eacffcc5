/// The catalogue of numbered log events with their meaning and the operator's action. docs/EVENTS.md contains it as a
/// table.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace WisteriaHill::Utils {

/// The meaning of an event number never changes, and the numbers of retired events are not used again.
enum class Event : std::uint16_t {
    DaemonStarted = 100,
    DaemonReady = 101,
    DaemonStopping = 102,
    DaemonStopped = 103,
    StopBoundReached = 104,
    SettingsInvalid = 110,
    ListenFailed = 111,
    UnexpectedError = 112,
    MemberJoined = 200,
    MemberLost = 201,
    MemberReplaced = 202,
    MemberLeft = 203,
    PeerMessageRejected = 204,
    ConfigurationApplied = 300,
    ConfigurationRejected = 301,
    ConfigurationEdited = 302,
    ConfigurationConflict = 303,
    TableUnavailable = 400,
    TableAvailable = 401,
    WriteResolved = 402,
    ServerSilent = 500,
    ServerAnswering = 501,
    ServerEjected = 502,
    ServerProbation = 503,
    ServerReinstated = 504,
    ServerLeaving = 505,
    ServerDrained = 506,
    ServerUndrained = 507,
    ServerRestarted = 508,
    ClaimReleased = 600,
    ClaimUnresolved = 601,
    RequestFailed = 602,
    JobAccepted = 700,
    JobPlaced = 701,
    JobRunning = 702,
    JobFinished = 703,
    JobRequeued = 704,
    JobRejected = 705,
    JobCancelled = 706,
    JobTakenOver = 707,
    JobLost = 708,
    GuaranteeReclaimed = 709,
    GuaranteeUncovered = 710,
    SessionLapsed = 711,
    JobFailed = 712,
    SettingsReloaded = 800,
    StoreUnreachable = 801,
    StoreReachable = 802,
    RelayUsed = 803,
    RelayFailed = 804,
    HistoryLost = 805,
    RowUnreadable = 806,
    LeaderKnown = 810,
    LeadershipTaken = 811,
    LeadershipLost = 812,
    SchedulerLoaded = 813,
    DecisionsUnstored = 814,
    FormerLeaderOver = 815,
    RenewalsEnded = 816,
    ConfigurationInForce = 820,
    ConfigurationUnreadable = 821,
    ConfigurationReadFailed = 822,
    RequestRefused = 830,
    JobStored = 831,
    JobUncertain = 832,
    CancelStored = 833,
    StatusUnknown = 834,
    ForeignJob = 835,
    JobTaken = 840,
    OccurrenceDue = 841,
    RunPlaced = 842,
    RunEnded = 843,
    RunLost = 844,
    RunPreempted = 845,
    RunStalled = 846,
    StartRefused = 847,
    StrayRun = 848,
    OrderUnanswered = 849,
    JobEnded = 850,
    OutlookChanged = 851,
    AcceleratorsIdle = 852,
    GangIncomplete = 853,
    ServerCrashedUnderTask = 854,
    JobRemoved = 855,
    RowRefused = 856,
    StepWaits = 857,
    TaskHeld = 858,
    ServerFound = 860,
    ServerDraining = 861,
    ServerEntryGone = 862,
    ServerUnreachable = 863,
    ServerReachable = 864,
    LookRefused = 865,
    MachineReturned = 866,
    ServerEntryUnused = 867,
    EndRecordsCut = 868,
    LogLinesDropped = 870,
    AdviceTaken = 880,
    AdviceMissing = 881,
    RunPaced = 882,
    WaveBegun = 883,
    UpkeepOrdered = 884,
    WaveCompleted = 885,
    TicketsUnusable = 886,
    TicketRejected = 887,
    ZoneEvacuationBegun = 900,
    ZoneTakenBack = 901,
    EvacuationsUnknown = 902,
    EvacuationsKnown = 903,
    RunMovedOut = 904,
    SpeedsDiffer = 910,
    MachineSpeedClassed = 911,
    ClientsLimited = 940,
};

enum class EventLevel { Information, Warning, Error };

struct EventDescription {
    Event event;
    EventLevel level;
    std::string_view name;
    std::string_view meaning;
    std::string_view action;
};

/// Returns all events, sorted by number. May be called from any thread.
std::span<const EventDescription> eventCatalogue();

/// Returns the description of one event. Precondition: the event is in the catalogue. May be called from any thread.
const EventDescription& describeEvent(Event event);

/// Returns the catalogue as the Markdown table in docs/EVENTS.md.
std::string eventCatalogueMarkdown();

} // namespace WisteriaHill::Utils
