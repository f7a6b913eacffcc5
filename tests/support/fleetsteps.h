/// Random things that happen to a fleet: work, faults and time.
#pragma once

#include "support/fleet.h"

#include <string>

namespace WisteriaHill::Tests {

enum class StepKind {
    SendRequests,
    RepeatKey,
    SubmitGang,
    SubmitAttachedGang,
    SubmitGuaranteedGang,
    CancelJob,
    KillHost,
    StartHost,
    PauseHost,
    ResumeHost,
    CutPlatform,
    CutPeers,
    CutServer,
    HealCuts,
    PlatformDown,
    PlatformSlow,
    PlatformUp,
    LoseTableAnswers,
    LoseMessages,
    LoseNothing,
    KillServer,
    RestartServer,
    SilenceServer,
    FailServer,
    HealServer,
    ServerLeaves,
    StopHost,
    EditConfiguration,
    Advance,
    Count,
};

/// One step; the numbers choose hosts, servers, sizes and lengths.
struct FleetStep {
    StepKind kind = StepKind::Advance;
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

/// What steps remember of each other.
struct StepContext {
    std::uint32_t counter = 0;
    std::vector<Model::CallerId> jobCallers;
    std::vector<std::string> keys;
    std::set<std::size_t> leftServers;
    std::vector<Model::CallerId> edits;
};

/// The words for a step, for reports.
std::string describeStep(const FleetStep& step);

void applyStep(Fleet& fleet, StepContext& context, const FleetStep& step);

/// Hosts that have another revision in force than the platform, and accepted edits that the platform does not hold.
std::vector<std::string> lostConfiguration(Fleet& fleet, const StepContext& context);

/// Durable jobs that were accepted but have no final state in the table.
std::vector<std::string> unsettledJobs(Fleet& fleet, const StepContext& context);

} // namespace WisteriaHill::Tests
