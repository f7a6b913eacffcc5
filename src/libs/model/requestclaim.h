/// The claim on a non-idempotent request: a row that ensures that the request is run at most once.
#pragma once

#include "model/request.h"
#include "utils/checkedjson.h"

#include <optional>
#include <string>

namespace WisteriaHill::Model {

/// The claim is written before the request is dispatched; the result is added afterwards.
struct RequestClaim {
    std::string digest; ///< digest of service and body; requests with the same key must have the same digest
    EntryHostId claimant; ///< the entry host that dispatches the request
    Incarnation claimantIncarnation = 0;
    std::uint64_t nonce = 0; ///< makes each written value unique, so that a write whose answer is lost is recognised
    std::optional<CallerAnswer> result; ///< empty until the result is known
};

std::string claimRowKey(const ClientAccountId& account, const std::string& idempotencyKey);

std::string claimToText(const RequestClaim& claim);

/// Returns nothing when the text is not a stored claim.
std::optional<RequestClaim> claimFromText(const std::string& text);

} // namespace WisteriaHill::Model
