/// Steps of randomized fleet tests: work, faults and the passing of time.
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

/// One step; `first` and `second` select its host, server, sizes and lengths.
struct FleetStep {
    StepKind kind = StepKind::Advance;
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

/// State that the steps of one test share.
struct StepContext {
    std::uint32_t counter = 0;
    std::vector<Model::CallerId> jobCallers;
    std::vector<std::string> keys;
    std::set<std::size_t> leftServers;
    std::vector<Model::CallerId> edits;
};

/// A step as text for reports, such as "KillHost(1, 2)".
std::string describeStep(const FleetStep& step);

void applyStep(Fleet& fleet, StepContext& context, const FleetStep& step);

/// Describes hosts whose active revision differs from the platform's, and accepted edits that the platform lost.
std::vector<std::string> lostConfiguration(Fleet& fleet, const StepContext& context);

/// Describes accepted durable jobs that have no final state in the table.
std::vector<std::string> unsettledJobs(Fleet& fleet, const StepContext& context);

} // namespace WisteriaHill::Tests
