#include "model/lease.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace WisteriaHill::Model {

namespace {

using Utils::Json;
using Utils::Overloaded;

template <typename Value> struct NamedValue {
    Value value;
    std::string_view name;
};

constexpr std::array<NamedValue<LeaseState>, 7> states { {
    { LeaseState::Waiting, "waiting" },
    { LeaseState::Reserved, "reserved" },
    { LeaseState::Running, "running" },
    { LeaseState::Evicting, "evicting" },
    { LeaseState::Evicted, "evicted" },
    { LeaseState::Finished, "finished" },
    { LeaseState::Failed, "failed" },
} };

constexpr std::array<NamedValue<LeaseRefusal>, 4> refusals { {
    { LeaseRefusal::Occupied, "occupied" },
    { LeaseRefusal::UnknownToken, "unknownToken" },
    { LeaseRefusal::Leaving, "leaving" },
    { LeaseRefusal::WrongState, "wrongState" },
} };

template <typename Value, std::size_t size>
std::string_view nameOf(const std::array<NamedValue<Value>, size>& names, Value value)
{
    return std::ranges::find(names, value, &NamedValue<Value>::value)->name;
}

template <typename Value, std::size_t size>
Value valueOf(const std::array<NamedValue<Value>, size>& names, const std::string& name)
{
    const auto found = std::ranges::find(names, name, &NamedValue<Value>::name);
    if (found == names.end())
        throw Json::other_error::create(501, "unknown lease state or refusal: " + name, nullptr);
    return found->value;
}

Duration durationFrom(const Json& json, const char* name) { return Duration(json.value(name, std::int64_t { 0 })); }

Json termsToJson(const LeaseTerms& terms)
{
    return Json {
        { "job", terms.job },
        { "account", terms.account },
        { "guarantee", terms.guarantee },
        { "preemptible", terms.preemptible },
        { "attempt", terms.attempt },
        { "gangToken", terms.gangToken },
        { "accelerators", terms.accelerators },
        { "members", terms.members },
    };
}

LeaseTerms termsFromJson(const Json& json)
{
    return LeaseTerms {
        .job = json.at("job").get<JobId>(),
        .account = json.at("account").get<ClientAccountId>(),
        .guarantee = json.at("guarantee").get<GuaranteeId>(),
        .preemptible = json.at("preemptible").get<bool>(),
        .attempt = json.at("attempt").get<std::uint32_t>(),
        .gangToken = json.at("gangToken").get<std::uint64_t>(),
        .accelerators = json.at("accelerators").get<AcceleratorSet>(),
        .members = json.at("members").get<Placement>(),
    };
}

Json operationToJson(const LeaseOperation& operation)
{
    return std::visit(
        Overloaded {
            [](const ReserveLease& reserve) {
                return Json { { "operation", "reserve" }, { "terms", termsToJson(reserve.terms) },
                    { "timeToLiveMs", reserve.timeToLive.count() }, { "replaces", reserve.replaces },
                    { "graceMs", reserve.grace.count() } };
            },
            [](const StartTask& start) {
                return Json { { "operation", "start" }, { "token", start.token },
                    { "timeToLiveMs", start.timeToLive.count() }, { "payload", start.payload },
                    { "resumeFromMs", start.resumeFrom.count() } };
            },
            [](const RenewLease& renew) {
                return Json { { "operation", "renew" }, { "token", renew.token },
                    { "timeToLiveMs", renew.timeToLive.count() } };
            },
            [](const AdoptLease& adopt) {
                return Json { { "operation", "adopt" }, { "token", adopt.token },
                    { "timeToLiveMs", adopt.timeToLive.count() } };
            },
            [](const EvictLease& evict) {
                return Json { { "operation", "evict" }, { "token", evict.token }, { "graceMs", evict.grace.count() } };
            },
            [](const CheckpointTask& checkpoint) {
                return Json { { "operation", "checkpoint" }, { "token", checkpoint.token } };
            },
            [](const ThrottleTask& throttle) {
                return Json { { "operation", "throttle" }, { "token", throttle.token },
                    { "percent", throttle.percent } };
            },
            [](const StopLease& stop) {
                return Json { { "operation", "stop" }, { "token", stop.token } };
            },
        },
        operation);
}

LeaseOperation operationFromJson(const Json& json)
{
    const auto name = json.at("operation").get<std::string>();
    if (name == "reserve") {
        return ReserveLease { .terms = termsFromJson(json.at("terms")),
            .timeToLive = durationFrom(json, "timeToLiveMs"),
            .replaces = json.at("replaces").get<std::vector<LeaseToken>>(),
            .grace = durationFrom(json, "graceMs") };
    }
    const auto token = json.at("token").get<LeaseToken>();
    if (name == "start") {
        return StartTask { .token = token,
            .timeToLive = durationFrom(json, "timeToLiveMs"),
            .payload = json.at("payload").get<std::string>(),
            .resumeFrom = durationFrom(json, "resumeFromMs") };
    }
    if (name == "renew")
        return RenewLease { .token = token, .timeToLive = durationFrom(json, "timeToLiveMs") };
    if (name == "adopt")
        return AdoptLease { .token = token, .timeToLive = durationFrom(json, "timeToLiveMs") };
    if (name == "evict")
        return EvictLease { .token = token, .grace = durationFrom(json, "graceMs") };
    if (name == "checkpoint")
        return CheckpointTask { .token = token };
    if (name == "throttle")
        return ThrottleTask { .token = token, .percent = json.at("percent").get<std::uint32_t>() };
    if (name == "stop")
        return StopLease { .token = token };
    throw Json::other_error::create(501, "unknown lease operation: " + name, nullptr);
}

Json resultToJson(const LeaseResult& result)
{
    return std::visit(Overloaded {
                          [](const LeaseGranted& granted) {
                              return Json { { "token", granted.token }, { "state", leaseStateName(granted.state) },
                                  { "checkpointedMs", granted.checkpointed.count() } };
                          },
                          [](LeaseRefusal refusal) {
                              return Json { { "refused", leaseRefusalName(refusal) } };
                          },
                      },
        result);
}

LeaseResult resultFromJson(const Json& json)
{
    if (json.contains("refused"))
        return valueOf(refusals, json.at("refused").get<std::string>());
    return LeaseGranted { .token = json.at("token").get<LeaseToken>(),
        .state = valueOf(states, json.at("state").get<std::string>()),
        .checkpointed = durationFrom(json, "checkpointedMs") };
}

Json viewToJson(const LeaseView& view)
{
    return Json { { "token", view.token }, { "state", leaseStateName(view.state) },
        { "terms", termsToJson(view.terms) } };
}

LeaseView viewFromJson(const Json& json)
{
    return LeaseView { .token = json.at("token").get<LeaseToken>(),
        .state = valueOf(states, json.at("state").get<std::string>()),
        .terms = termsFromJson(json.at("terms")) };
}

Json reportToJson(const ServerReport& report)
{
    Json json { { "incarnation", report.incarnation }, { "leaving", report.leaving }, { "busySlots", report.busySlots },
        { "free", report.free }, { "preemptible", report.preemptible } };
    if (!report.leases.empty()) {
        json["leases"] = Json::array();
        for (const LeaseView& lease : report.leases)
            json["leases"].push_back(viewToJson(lease));
    }
    return json;
}

ServerReport reportFromJson(const Json& json)
{
    ServerReport report { .incarnation = json.at("incarnation").get<Incarnation>(),
        .leaving = json.at("leaving").get<bool>(),
        .busySlots = json.at("busySlots").get<std::uint32_t>(),
        .free = json.at("free").get<AcceleratorSet>(),
        .preemptible = json.at("preemptible").get<AcceleratorSet>() };
    if (json.contains("leases")) {
        for (const Json& lease : json.at("leases"))
            report.leases.push_back(viewFromJson(lease));
    }
    return report;
}

} // namespace

std::string_view leaseStateName(LeaseState state) { return nameOf(states, state); }

std::string_view leaseRefusalName(LeaseRefusal refusal) { return nameOf(refusals, refusal); }

Json leaseBatchToJson(const LeaseBatch& batch)
{
    Json operations = Json::array();
    for (const LeaseOperation& operation : batch.operations)
        operations.push_back(operationToJson(operation));
    return Json { { "operations", operations }, { "inspect", batch.inspect } };
}

LeaseBatch leaseBatchFromJson(const Json& json)
{
    LeaseBatch batch;
    for (const Json& operation : json.at("operations"))
        batch.operations.push_back(operationFromJson(operation));
    batch.inspect = json.value("inspect", false);
    return batch;
}

Json leaseBatchAnswerToJson(const LeaseBatchAnswer& answer)
{
    Json results = Json::array();
    for (const LeaseResult& result : answer.results)
        results.push_back(resultToJson(result));
    return Json { { "results", results }, { "report", reportToJson(answer.report) } };
}

LeaseBatchAnswer leaseBatchAnswerFromJson(const Json& json)
{
    LeaseBatchAnswer answer;
    for (const Json& result : json.at("results"))
        answer.results.push_back(resultFromJson(result));
    answer.report = reportFromJson(json.at("report"));
    return answer;
}

void to_json(Json& json, const PlacementMember& member)
{
    json = Json { { "server", member.server }, { "accelerators", member.accelerators } };
}

void from_json(const Json& json, PlacementMember& member)
{
    member.server = json.at("server").get<BackendServerId>();
    member.accelerators = json.at("accelerators").get<AcceleratorSet>();
}

} // namespace WisteriaHill::Model
