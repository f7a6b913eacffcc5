/// Collects the effects of controllers, and passes the answers of calls to them.
#pragma once

#include "controllers/effects.h"

#include <functional>
#include <unordered_map>
#include <utility>

namespace WisteriaHill::Controllers {

/// Processes the answer of a call.
template <typename Answer> using Continuation = std::function<void(const Answer&, SteadyTime now)>;

/// Thread safety: none. Continuations run inside complete() and may issue further calls.
class Outbox {
public:
    void callTable(Model::TableOperation operation, Duration timeout, Continuation<Model::TableAnswer> continuation);
    void fetchHostList(Duration timeout, Continuation<HostListResult> continuation);
    void runOnServer(const Model::BackendServer& server, Model::RunRequest request, Duration timeout,
        Continuation<RunResult> continuation);
    void sendLeaseBatch(const Model::BackendServer& server, Model::LeaseBatch batch, Duration timeout,
        Continuation<LeaseBatchResult> continuation);
    void callPeer(const Model::PeerAddress& to, Model::PeerRequest request, Duration timeout,
        Continuation<PeerResult> continuation);

    /// Adds an effect that is not answered.
    void add(Effect effect) { this->effects.push_back(std::move(effect)); }
    void log(Utils::Event event, std::string details) { this->add(LogEvent { event, std::move(details) }); }

    /// Runs the continuation of a call with its answer. An answer to a call that is not open is ignored.
    void complete(CallId call, const CallAnswer& answer, SteadyTime now);

    /// Removes and returns the effects that were added since the last call, in order.
    Effects take() { return std::exchange(this->effects, {}); }

    /// The number of calls without an answer.
    std::size_t openCalls() const { return this->continuations.size(); }

private:
    template <typename Answer> CallId registerCall(Continuation<Answer> continuation)
    {
        const CallId call = ++this->lastCall;
        this->continuations.emplace(
            call, [continuation = std::move(continuation)](const CallAnswer& answer, SteadyTime now) {
                continuation(std::get<Answer>(answer), now);
            });
        return call;
    }

    Effects effects;
    std::unordered_map<CallId, Continuation<CallAnswer>> continuations;
    CallId lastCall = 0;
};

} // namespace WisteriaHill::Controllers
