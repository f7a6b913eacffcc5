/// Handles callers' requests: admission, fair queueing, routing, retries and exactly one final answer for each.
#pragma once

#include "controllers/claimcontroller.h"
#include "controllers/fairqueue.h"
#include "controllers/outbox.h"
#include "controllers/retrybudget.h"
#include "controllers/serverhealthcontroller.h"
#include "model/blackboard.h"
#include "model/request.h"
#include "utils/randomsource.h"

#include <map>
#include <set>
#include <string>

namespace WisteriaHill::Controllers {

/// Thread safety: none.
class RequestController {
public:
    RequestController(Model::Blackboard& blackboard, Outbox& outbox, ClaimController& claims,
        ServerHealthController& health, Utils::RandomSource& random);

    /// Accepts or refuses a request. Exactly one AnswerCaller effect follows, at once or later.
    void submit(CallerId caller, Model::CallerRequest request, SteadyTime now);

    /// The caller disconnected. Its request ends as not run if it is not dispatched.
    void callerDisconnected(CallerId caller, SteadyTime now);

    /// Answers undispatched requests that passed their deadline, and dispatches queued ones to servers with capacity.
    void tick(SteadyTime now);

    /// Answers every open request at once. For a graceful stop that reached its time limit.
    void abandonAll(SteadyTime now);

    /// The number of requests without a final answer.
    std::size_t openCount() const { return this->requests.size(); }
    std::size_t queued() const { return this->queue.size(); }

private:
    enum class Stage {
        Claiming,
        Queued,
        Dispatched,
    };
    struct PendingRequest {
        CallerId caller = 0;
        Model::CallerRequest request;
        bool idempotent = true;
        double weight = 1;
        std::size_t maximumAnswer = 0;
        SteadyTime deadline;
        SteadyTime dispatchedAt;
        Stage stage = Stage::Queued;
        std::uint32_t attempts = 0;
        std::uint32_t refusals = 0; ///< attempts that a backend server provably did not run
        std::set<Model::BackendServerId> failedOn; ///< servers on which it failed and may have run
        std::set<Model::BackendServerId> avoid; ///< servers that further attempts use last
    };

    void enqueue(std::uint64_t id, SteadyTime now);
    void onClaim(std::uint64_t id, const ClaimDecision& decision, SteadyTime now);
    void dispatchQueued(SteadyTime now);
    void dispatch(std::uint64_t id, const Model::BackendServerId& server, SteadyTime now);
    void onResult(std::uint64_t id, const Model::BackendServerId& server, const RunResult& result, SteadyTime now);
    void onAnswered(
        std::uint64_t id, const Model::BackendServerId& server, const Model::RunAnswer& answer, SteadyTime now);
    void onRefusedByServer(std::uint64_t id, Model::BackendError error, SteadyTime now);
    void onFailed(std::uint64_t id, const Model::BackendServerId& server, Model::BackendError error, SteadyTime now);
    Duration attemptTimeout(const PendingRequest& request, SteadyTime now) const;
    Duration expectedWait(const PendingRequest& request, std::size_t ahead) const;

    void finishCompleted(std::uint64_t id, Model::CallerAnswer answer, SteadyTime now);
    void finishNotRun(std::uint64_t id, int status, std::string reason, SteadyTime now);
    void finishUnknown(std::uint64_t id, int status, std::string reason, SteadyTime now);
    /// Answers that the request was not run and may be repeated after `retryAfter`.
    void refuseTemporarily(CallerId caller, int status, std::string reason, Duration retryAfter);
    /// Answers that the request was not run and that repeating it unchanged is useless.
    void refusePermanently(CallerId caller, int status, std::string reason);
    void expire(SteadyTime now);

    Model::Blackboard& blackboard;
    Outbox& outbox;
    ClaimController& claims;
    ServerHealthController& health;
    Utils::RandomSource& random;
    std::map<std::uint64_t, PendingRequest> requests;
    FairQueue<std::uint64_t> queue;
    RetryBudget retryBudget;
    double meanServiceMs = 0; ///< moving average over answered dispatches
    std::uint64_t lastId = 0;
};

} // namespace WisteriaHill::Controllers
