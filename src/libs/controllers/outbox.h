/// Collects the effects of controllers and brings the answers of calls back to them.
#pragma once

#include "controllers/effects.h"

#include <functional>
#include <unordered_map>
#include <utility>

namespace WisteriaHill::Controllers {

/// What a controller does with the answer of a call.
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
    void askPeer(const Model::PeerAddress& to, Model::PeerRequest question, Duration timeout,
        Continuation<PeerResult> continuation);

    /// Adds an effect that nobody waits for.
    void add(Effect effect) { this->effects.push_back(std::move(effect)); }
    void log(Utils::Event event, std::string details) { this->add(LogEvent { event, std::move(details) }); }

    /// Hands the answer of a call to whoever issued it. A call that is not open is ignored.
    void complete(CallId call, const CallAnswer& answer, SteadyTime now);

    /// The effects since the last time, in order.
    Effects take() { return std::exchange(this->effects, {}); }

    /// Calls without an answer yet.
    std::size_t openCalls() const { return this->continuations.size(); }

private:
    template <typename Answer> CallId open(Continuation<Answer> continuation)
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
