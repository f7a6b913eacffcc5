#include "model/job.h"

#include "model/lease.h"

#include <algorithm>
#include <array>

namespace WisteriaHill::Model {

namespace {

using Utils::Json;

struct NamedState {
    JobState state;
    std::string_view name;
};

constexpr std::array<NamedState, 9> states { {
    { JobState::Queued, "queued" },
    { JobState::Reserving, "reserving" },
    { JobState::Starting, "starting" },
    { JobState::Running, "running" },
    { JobState::Stopping, "stopping" },
    { JobState::Finished, "finished" },
    { JobState::Failed, "failed" },
    { JobState::Cancelled, "cancelled" },
    { JobState::Rejected, "rejected" },
} };

constexpr std::size_t maximumPayloadBytes = 65'536;

Json specificationToJson(const JobSpecification& specification)
{
    return Json { { "account", specification.account },
        { "shape",
            { { "servers", specification.shape.servers },
                { "acceleratorsPerServer", specification.shape.acceleratorsPerServer } } },
        { "guarantee", specification.guarantee }, { "urgent", specification.urgent },
        { "idempotent", specification.idempotent }, { "attached", specification.attached },
        { "declaredRunTime", Utils::formatDuration(specification.declaredRunTime) },
        { "payload", specification.payload }, { "idempotencyKey", specification.idempotencyKey } };
}

JobSpecification specificationFromJson(const Json& json)
{
    return JobSpecification { .account = json.at("account").get<ClientAccountId>(),
        .shape = { .servers = json.at("shape").at("servers").get<std::uint32_t>(),
            .acceleratorsPerServer = json.at("shape").at("acceleratorsPerServer").get<std::uint32_t>() },
        .guarantee = json.at("guarantee").get<GuaranteeId>(),
        .urgent = json.at("urgent").get<bool>(),
        .idempotent = json.at("idempotent").get<bool>(),
        .attached = json.at("attached").get<bool>(),
        .declaredRunTime = Utils::parseDuration(json.at("declaredRunTime").get<std::string>()).value_or(Duration(0)),
        .payload = json.at("payload").get<std::string>(),
        .idempotencyKey = json.at("idempotencyKey").get<std::string>() };
}

} // namespace

std::string_view jobStateName(JobState state) { return std::ranges::find(states, state, &NamedState::state)->name; }

bool isFinal(JobState state)
{
    return state == JobState::Finished || state == JobState::Failed || state == JobState::Cancelled
        || state == JobState::Rejected;
}

std::string jobRowPrefix(const AvailabilityZoneId& zone) { return "jobs/" + zone.value() + "/"; }

std::string jobRowKey(const AvailabilityZoneId& zone, const JobId& job) { return jobRowPrefix(zone) + job.value(); }

Json jobToJson(const JobRecord& job)
{
    return Json { { "id", job.id }, { "zone", job.zone }, { "specification", specificationToJson(job.specification) },
        { "state", jobStateName(job.state) }, { "attempt", job.attempt }, { "gangToken", job.gangToken },
        { "owner", job.owner }, { "ownerIncarnation", job.ownerIncarnation }, { "placement", job.placement },
        { "checkpointedMs", job.checkpointed.count() }, { "reason", job.reason },
        { "cancelRequested", job.cancelRequested }, { "nonce", job.nonce } };
}

std::optional<JobRecord> jobFromText(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        const auto stateName = json.at("state").get<std::string>();
        const auto state = std::ranges::find(states, stateName, &NamedState::name);
        if (state == states.end())
            return std::nullopt;
        return JobRecord { .id = json.at("id").get<JobId>(),
            .zone = json.at("zone").get<AvailabilityZoneId>(),
            .specification = specificationFromJson(json.at("specification")),
            .state = state->state,
            .attempt = json.at("attempt").get<std::uint32_t>(),
            .gangToken = json.at("gangToken").get<std::uint64_t>(),
            .owner = json.at("owner").get<EntryHostId>(),
            .ownerIncarnation = json.at("ownerIncarnation").get<Incarnation>(),
            .placement = json.at("placement").get<Placement>(),
            .checkpointed = Duration(json.at("checkpointedMs").get<std::int64_t>()),
            .reason = json.at("reason").get<std::string>(),
            .cancelRequested = json.at("cancelRequested").get<bool>(),
            .nonce = json.at("nonce").get<std::uint64_t>() };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

JobSpecification jobSpecificationFromJson(const Json& document, Utils::JsonFaults& faults)
{
    using namespace std::chrono_literals;
    Utils::JsonObjectReader reader(document, "", faults);
    JobSpecification specification;
    reader.object("shape", [&](Utils::JsonObjectReader& shape) {
        specification.shape.servers = static_cast<std::uint32_t>(shape.integerOr("servers", { 1, 256 }, 1));
        specification.shape.acceleratorsPerServer
            = static_cast<std::uint32_t>(shape.integer("acceleratorsPerServer", { 1, maximumAcceleratorsPerServer }));
    });
    specification.guarantee = GuaranteeId(reader.textOr("guarantee", ""));
    specification.urgent = reader.booleanOr("urgent", false);
    specification.idempotent = reader.booleanOr("idempotent", true);
    specification.attached = reader.booleanOr("attached", false);
    specification.declaredRunTime = reader.durationOr("declaredRunTime", { 0s, 720h }, 0s);
    specification.payload = reader.textOr("payload", "");
    specification.idempotencyKey = reader.textOr("idempotencyKey", "");
    if (specification.payload.size() > maximumPayloadBytes)
        reader.fault("payload", "must be at most " + std::to_string(maximumPayloadBytes) + " bytes");
    if (!specification.idempotencyKey.empty() && !Utils::isIdentifier(specification.idempotencyKey))
        reader.fault("idempotencyKey", "must be 1 to 128 letters, digits, '.', '_' or '-'");
    reader.finish();
    return specification;
}

} // namespace WisteriaHill::Model
