/// The row by which a non-idempotent request is run at most once.
#pragma once

#include "model/request.h"
#include "utils/checkedjson.h"

#include <optional>
#include <string>

namespace WisteriaHill::Model {

/// Written before the request is dispatched; the result is added to it afterwards.
struct RequestClaim {
    std::string digest; ///< of service and body; a repeated key must carry the same request
    EntryHostId claimant;
    Incarnation claimantIncarnation = 0;
    std::uint64_t nonce = 0; ///< makes each claim's value unique, so that a lost answer can be recognised
    std::optional<CallerAnswer> result;
};

/// The key of the claim's row.
std::string claimRowKey(const ClientAccountId& account, const std::string& idempotencyKey);

std::string claimToText(const RequestClaim& claim);

/// Empty when the text is not a claim.
std::optional<RequestClaim> claimFromText(const std::string& text);

} // namespace WisteriaHill::Model
