#include "support/fleetsteps.h"

#include "model/job.h"

namespace WisteriaHill::Tests {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t maximumRequestsPerStep = 6;
constexpr double lossRate = 0.3;

Model::JobSpecification makeGang(const FleetStep& step, const StepContext& context)
{
    const std::uint32_t sizes[] = { 1, 2, 4, 8 };
    const std::uint32_t lengthMs = 200 + step.first % 7 * 900;
    return { .account = Model::ClientAccountId("large"),
        .shape = { 1 + step.second % 3, sizes[step.first % 4] },
        .idempotent = step.second % 5 != 0,
        .payload = std::to_string(lengthMs),
        .idempotencyKey = step.second % 4 == 0 ? "job" + std::to_string(context.counter) : "" };
}

void sendRequests(Fleet& fleet, StepContext& context, const FleetStep& step)
{
    const std::uint32_t count = 1 + step.second % maximumRequestsPerStep;
    for (std::uint32_t number = 0; number < count; ++number) {
        const std::string name = std::to_string(++context.counter);
        const bool keyed = (step.first + number) % 2 == 0;
        if (keyed)
            context.keys.push_back(name);
        fleet.request(step.first % fleet.hostCount(), "body " + name, keyed ? name : "");
    }
}

void repeatKey(Fleet& fleet, StepContext& context, const FleetStep& step)
{
    if (context.keys.empty())
        return;
    const std::string& name = context.keys[step.second % context.keys.size()];
    fleet.request(step.first % fleet.hostCount(), "body " + name, name);
}

void submit(Fleet& fleet, StepContext& context, const FleetStep& step, const Model::JobSpecification& specification)
{
    const std::size_t host = step.first % fleet.hostCount();
    if (!fleet.isRunning(host))
        return;
    ++context.counter;
    const Model::CallerId caller = fleet.job(host, specification);
    context.jobCallers.push_back(caller);
}

void cancelSubmittedJob(Fleet& fleet, StepContext& context, const FleetStep& step)
{
    if (context.jobCallers.empty())
        return;
    const auto* answer = fleet.documentAnswer(context.jobCallers[step.second % context.jobCallers.size()]);
    if (answer && answer->document.contains("id"))
        fleet.cancelJob(step.first % fleet.hostCount(), answer->document.at("id").get<Model::JobId>());
}

void stopHost(Fleet& fleet, const FleetStep& step)
{
    const std::size_t host = step.first % fleet.hostCount();
    if (fleet.isRunning(host))
        fleet.stopGracefully(host);
}

void editConfiguration(Fleet& fleet, StepContext& context, const FleetStep& step)
{
    const std::size_t host = step.first % fleet.hostCount();
    if (!fleet.isRunning(host) || !fleet.core(host).ready())
        return;
    const auto& configuration = *fleet.core(host).state().configuration;
    Utils::Json services = configuration.documents.at("services");
    services["extra" + std::to_string(++context.counter)] = Utils::Json::object();
    fleet.edit(
        host, "services", services, configuration.versions.at("services"), "change" + std::to_string(context.counter));
}

void makeServerLeave(Fleet& fleet, StepContext& context, const FleetStep& step)
{
    if (context.leftServers.size() + 2 >= fleet.serverCount())
        return;
    const std::size_t server = step.second % fleet.serverCount();
    if (context.leftServers.insert(server).second)
        fleet.setLeaving(server);
}

} // namespace

std::string describeStep(const FleetStep& step)
{
    static const char* const names[] = { "SendRequests", "RepeatKey", "SubmitGang", "SubmitAttachedGang",
        "SubmitGuaranteedGang", "CancelJob", "KillHost", "StartHost", "PauseHost", "ResumeHost", "CutPlatform",
        "CutPeers", "CutServer", "HealCuts", "PlatformDown", "PlatformSlow", "PlatformUp", "LoseTableAnswers",
        "LoseMessages", "LoseNothing", "KillServer", "RestartServer", "SilenceServer", "FailServer", "HealServer",
        "ServerLeaves", "StopHost", "EditConfiguration", "Advance" };
    return std::string(names[static_cast<std::size_t>(step.kind)]) + "(" + std::to_string(step.first) + ", "
        + std::to_string(step.second) + ")";
}

void applyStep(Fleet& fleet, StepContext& context, const FleetStep& step)
{
    const std::size_t host = step.first % fleet.hostCount();
    const std::size_t server = step.second % fleet.serverCount();
    switch (step.kind) {
    case StepKind::SendRequests:
        sendRequests(fleet, context, step);
        break;
    case StepKind::RepeatKey:
        repeatKey(fleet, context, step);
        break;
    case StepKind::SubmitGang:
        submit(fleet, context, step, makeGang(step, context));
        break;
    case StepKind::SubmitAttachedGang: {
        Model::JobSpecification specification = makeGang(step, context);
        specification.attached = true;
        specification.idempotencyKey.clear();
        fleet.job(host, specification);
        break;
    }
    case StepKind::SubmitGuaranteedGang: {
        Model::JobSpecification specification = makeGang(step, context);
        specification.shape = { 1 + step.second % 2, 8 };
        specification.guarantee = Model::GuaranteeId("render");
        specification.urgent = true;
        submit(fleet, context, step, specification);
        break;
    }
    case StepKind::CancelJob:
        cancelSubmittedJob(fleet, context, step);
        break;
    case StepKind::KillHost:
        fleet.kill(host);
        break;
    case StepKind::StartHost:
        fleet.start(host);
        break;
    case StepKind::PauseHost:
        fleet.pause(host);
        break;
    case StepKind::ResumeHost:
        fleet.resume(host);
        break;
    case StepKind::CutPlatform:
        fleet.cutFromPlatform(host, true);
        break;
    case StepKind::CutPeers:
        fleet.cutFromPeers(host, true);
        break;
    case StepKind::CutServer:
        fleet.cutFromServer(host, server, true);
        break;
    case StepKind::HealCuts:
        fleet.cutFromPlatform(host, false);
        fleet.cutFromPeers(host, false);
        fleet.cutFromServer(host, server, false);
        break;
    case StepKind::PlatformDown:
        fleet.faults.platformDown = true;
        break;
    case StepKind::PlatformSlow:
        fleet.faults.platformDelay = Duration(step.first % 4 * 1000);
        break;
    case StepKind::PlatformUp:
        fleet.faults.platformDown = false;
        fleet.faults.platformDelay = 0ms;
        break;
    case StepKind::LoseTableAnswers:
        fleet.faults.tableAnswerLossRate = lossRate;
        break;
    case StepKind::LoseMessages:
        fleet.faults.requestLossRate = step.first % 2 == 0 ? lossRate / 3 : 0;
        fleet.faults.answerLossRate = step.first % 2 == 1 ? lossRate / 3 : 0;
        fleet.faults.heartbeatLossRate = lossRate;
        break;
    case StepKind::LoseNothing:
        fleet.faults.tableAnswerLossRate = 0;
        fleet.faults.requestLossRate = 0;
        fleet.faults.answerLossRate = 0;
        fleet.faults.heartbeatLossRate = 0;
        break;
    case StepKind::KillServer:
        fleet.killServer(server);
        break;
    case StepKind::RestartServer:
        fleet.restartServer(server);
        break;
    case StepKind::SilenceServer:
        fleet.setSilent(server, true);
        break;
    case StepKind::FailServer:
        fleet.setFailsEverything(server, true);
        break;
    case StepKind::HealServer:
        fleet.setSilent(server, false);
        fleet.setFailsEverything(server, false);
        break;
    case StepKind::ServerLeaves:
        makeServerLeave(fleet, context, step);
        break;
    case StepKind::StopHost:
        stopHost(fleet, step);
        break;
    case StepKind::EditConfiguration:
        editConfiguration(fleet, context, step);
        break;
    case StepKind::Advance:
    case StepKind::Count:
        fleet.advance(Duration(20 + step.first % 3000));
        break;
    }
    // Three of four steps let up to 39 ms pass, so that steps at the same moment are rarer than steps close together.
    if (step.second % 4 != 0)
        fleet.advance(Duration(step.second % 40));
}

std::vector<std::string> lostConfiguration(Fleet& fleet, const StepContext& context)
{
    std::vector<std::string> lost;
    const auto row = Utils::Json::parse(fleet.table().rows().at("configuration/revision").value);
    const auto revision = row.at("revision").get<Model::Revision>();
    for (std::size_t host = 0; host < fleet.hostCount(); ++host) {
        const auto& configuration = fleet.core(host).state().configuration;
        if (!configuration || configuration->revision != revision)
            lost.push_back("host" + std::to_string(host) + " has not activated revision " + std::to_string(revision));
    }
    std::size_t accepted = 0;
    for (const Model::CallerId caller : context.edits) {
        const auto* answer = fleet.documentAnswer(caller);
        constexpr int ok = 200;
        accepted += answer && answer->status == ok ? 1 : 0;
    }
    const auto services = Utils::Json::parse(fleet.table().rows().at("configuration/section/services").value);
    constexpr std::size_t seeded = 2;
    if (services.at("document").size() < seeded + accepted)
        lost.push_back("an accepted edit is missing from the services section");
    return lost;
}

std::vector<std::string> unsettledJobs(Fleet& fleet, const StepContext& context)
{
    std::vector<std::string> unsettled;
    for (const Model::CallerId caller : context.jobCallers) {
        const auto* answer = fleet.documentAnswer(caller);
        constexpr int accepted = 202;
        if (!answer || answer->status != accepted)
            continue;
        const auto id = answer->document.at("id").get<std::string>();
        const auto row = fleet.table().rows().find("jobs/akl/" + id);
        if (row == fleet.table().rows().end()) {
            unsettled.push_back(id + " has no row in the table");
            continue;
        }
        const auto job = Model::jobFromText(row->second.value);
        if (!job || !Model::isFinal(job->state))
            unsettled.push_back(id + " is still " + std::string(Model::jobStateName(job->state)) + ": " + job->reason);
    }
    return unsettled;
}

} // namespace WisteriaHill::Tests
