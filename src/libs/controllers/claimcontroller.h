/// At most once: a non-idempotent request is run only by the daemon whose claim row was inserted.
#pragma once

#include "controllers/tablewriter.h"
#include "model/blackboard.h"
#include "model/requestclaim.h"

#include <map>
#include <optional>
#include <variant>

namespace WisteriaHill::Controllers {

/// This daemon may run the request, once.
struct ClaimGranted { };
/// The request was settled before; this is its answer.
struct ClaimReplay {
    Model::CallerAnswer answer;
};
/// The key belongs to a different request.
struct ClaimMismatch { };
/// Another daemon, which lives, holds the claim.
struct ClaimInProgress { };
/// The claimant is gone and left no result; the request is never run again.
struct ClaimUnresolved { };

using ClaimDecision = std::variant<ClaimGranted, ClaimReplay, ClaimMismatch, ClaimInProgress, ClaimUnresolved>;

/// Thread safety: none.
class ClaimController {
public:
    ClaimController(Model::Blackboard& blackboard, Outbox& outbox, TableWriter& writer, Utils::RandomSource& random);

    /// Inserts the claim of a request. Precondition: the request has a key and none of this daemon's open claims is
    /// named `request`.
    void claim(std::uint64_t request, const Model::CallerRequest& callerRequest, Continuation<ClaimDecision> done,
        SteadyTime now);

    /// Gives the claim up for a request that was not run: the row is deleted as soon as that is possible, and the key
    /// can be used again. Nothing is called back any more.
    void abandon(std::uint64_t request, SteadyTime now);

    /// Adds the result to the claim, for repeated keys.
    void storeResult(std::uint64_t request, const Model::CallerAnswer& answer, SteadyTime now);

    /// Claims that are not settled yet; a graceful stop waits for them.
    std::size_t openCount() const { return this->claims.size(); }

private:
    struct OpenClaim {
        std::string rowKey;
        Model::RequestClaim claim;
        Model::RowVersion version = 0; ///< zero until inserted
        WriteId insertion = 0;
        bool abandoned = false;
        Continuation<ClaimDecision> done;
    };

    void onInserted(std::uint64_t request, const RowOutcome& outcome, SteadyTime now);
    void release(std::uint64_t request, SteadyTime now);
    ClaimDecision decide(const OpenClaim& own, const Model::TableRow& row);

    Model::Blackboard& blackboard;
    Outbox& outbox;
    TableWriter& writer;
    Utils::RandomSource& random;
    std::map<std::uint64_t, OpenClaim> claims;
};

} // namespace WisteriaHill::Controllers
