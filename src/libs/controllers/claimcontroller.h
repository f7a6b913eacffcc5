/// Runs non-idempotent requests at most once: only the daemon that inserted the claim row may run the request.
#pragma once

#include "controllers/tablewriter.h"
#include "model/blackboard.h"
#include "model/requestclaim.h"

#include <map>
#include <optional>
#include <variant>

namespace WisteriaHill::Controllers {

/// This daemon may run the request once.
struct ClaimGranted { };
/// The request was answered before; this is its answer.
struct ClaimReplay {
    Model::CallerAnswer answer;
};
/// The key belongs to a different request.
struct ClaimMismatch { };
/// A live daemon holds the claim; it may be this one. Also the decision when the claim was deleted in the meantime.
struct ClaimInProgress { };
/// The claimant is no longer live and stored no result; the request is never run again.
struct ClaimUnresolved { };

using ClaimDecision = std::variant<ClaimGranted, ClaimReplay, ClaimMismatch, ClaimInProgress, ClaimUnresolved>;

/// Thread safety: none.
class ClaimController {
public:
    ClaimController(Model::Blackboard& blackboard, Outbox& outbox, TableWriter& writer, Utils::RandomSource& random);

    /// Inserts the claim row of a request. Precondition: the request has a key, and this daemon has no open claim with
    /// the id `request`.
    void claim(std::uint64_t request, const Model::CallerRequest& callerRequest, Continuation<ClaimDecision> done,
        SteadyTime now);

    /// Releases the claim of a request that was not run: the row is deleted as soon as possible, and the key can be
    /// used again. `done` is not called after this.
    void abandon(std::uint64_t request, SteadyTime now);

    /// Stores the result in the claim row, as the answer to later requests with the same key.
    void storeResult(std::uint64_t request, const Model::CallerAnswer& answer, SteadyTime now);

    /// The number of claims that are not settled; a graceful stop waits for them.
    std::size_t openCount() const { return this->claims.size(); }

private:
    struct OpenClaim {
        std::string rowKey;
        Model::RequestClaim claim;
        Model::RowVersion version = 0; ///< zero until the row is inserted
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
