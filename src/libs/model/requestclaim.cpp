#include "model/requestclaim.h"

#include "utils/base64.h"

namespace WisteriaHill::Model {

namespace {

using Utils::Json;

Json answerToJson(const CallerAnswer& answer)
{
    return Json { { "status", answer.status }, { "outcome", static_cast<int>(answer.outcome) },
        { "body", Utils::toBase64(answer.body) }, { "contentType", answer.contentType }, { "reason", answer.reason } };
}

CallerAnswer answerFromJson(const Json& json)
{
    return CallerAnswer { .status = json.at("status").get<int>(),
        .outcome = static_cast<Outcome>(json.at("outcome").get<int>()),
        .body = Utils::fromBase64(json.at("body").get<std::string>()).value_or(""),
        .contentType = json.at("contentType").get<std::string>(),
        .reason = json.at("reason").get<std::string>() };
}

} // namespace

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::NotRun:
        return "notRun";
    case Outcome::Unknown:
        return "unknown";
    }
    return "";
}

std::string_view backendErrorName(BackendError error)
{
    switch (error) {
    case BackendError::NotSent:
        return "notSent";
    case BackendError::Busy:
        return "busy";
    case BackendError::Leaving:
        return "leaving";
    case BackendError::Failed:
        return "failed";
    case BackendError::Truncated:
        return "truncated";
    case BackendError::Oversized:
        return "oversized";
    case BackendError::TimedOut:
        return "timedOut";
    case BackendError::Malformed:
        return "malformed";
    }
    return "";
}

std::string claimRowKey(const ClientAccountId& account, const std::string& idempotencyKey)
{
    return "claims/" + account.value() + "/" + idempotencyKey;
}

std::string claimToText(const RequestClaim& claim)
{
    Json json { { "digest", claim.digest }, { "claimant", claim.claimant },
        { "claimantIncarnation", claim.claimantIncarnation }, { "nonce", claim.nonce } };
    if (claim.result)
        json["result"] = answerToJson(*claim.result);
    return json.dump();
}

std::optional<RequestClaim> claimFromText(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        RequestClaim claim { .digest = json.at("digest").get<std::string>(),
            .claimant = json.at("claimant").get<EntryHostId>(),
            .claimantIncarnation = json.at("claimantIncarnation").get<Incarnation>(),
            .nonce = json.at("nonce").get<std::uint64_t>() };
        if (json.contains("result"))
            claim.result = answerFromJson(json.at("result"));
        return claim;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace WisteriaHill::Model
