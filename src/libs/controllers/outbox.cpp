#include "controllers/outbox.h"

namespace WisteriaHill::Controllers {

void Outbox::callTable(Model::TableOperation operation, Duration timeout, Continuation<Model::TableAnswer> continuation)
{
    const CallId call = this->registerCall(std::move(continuation));
    this->add(CallTable { call, std::move(operation), timeout });
}

void Outbox::fetchHostList(Duration timeout, Continuation<HostListResult> continuation)
{
    const CallId call = this->registerCall(std::move(continuation));
    this->add(FetchHostList { call, timeout });
}

void Outbox::runOnServer(const Model::BackendServer& server, Model::RunRequest request, Duration timeout,
    Continuation<RunResult> continuation)
{
    const CallId call = this->registerCall(std::move(continuation));
    this->add(RunOnServer { call, server, std::move(request), timeout });
}

void Outbox::sendLeaseBatch(const Model::BackendServer& server, Model::LeaseBatch batch, Duration timeout,
    Continuation<LeaseBatchResult> continuation)
{
    const CallId call = this->registerCall(std::move(continuation));
    this->add(SendLeaseBatch { call, server, std::move(batch), timeout });
}

void Outbox::callPeer(
    const Model::PeerAddress& to, Model::PeerRequest request, Duration timeout, Continuation<PeerResult> continuation)
{
    const CallId call = this->registerCall(std::move(continuation));
    this->add(CallPeer { call, to, std::move(request), timeout });
}

void Outbox::complete(CallId call, const CallAnswer& answer, SteadyTime now)
{
    const auto found = this->continuations.find(call);
    if (found == this->continuations.end())
        return;
    const Continuation<CallAnswer> continuation = std::move(found->second);
    this->continuations.erase(found);
    continuation(answer, now);
}

} // namespace WisteriaHill::Controllers
