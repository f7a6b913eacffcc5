#include "controllers/leasegateway.h"

#include <memory>
#include <utility>

namespace WisteriaHill::Controllers {

namespace {

constexpr int periodParts = 10;
constexpr int timeToLiveParts = 6;
constexpr int renewParts = 2;
constexpr int startBoundParts = 4;

} // namespace

LeaseTimings LeaseTimings::from(const Model::Policy& policy)
{
    const Duration part = policy.leasePeriod / periodParts;
    return { .timeToLive = part * timeToLiveParts,
        .renewInterval = part * renewParts,
        .roundBound = part * renewParts,
        .callTimeout = part,
        .startBound = part * startBoundParts };
}

LeaseGateway::LeaseGateway(Model::Blackboard& blackboard, Outbox& outbox, ServerHealthController& health)
    : blackboard(blackboard)
    , outbox(outbox)
    , health(health)
{
}

void LeaseGateway::post(
    const Model::BackendServerId& server, Model::LeaseOperation operation, Continuation<LeaseOutcome> done)
{
    PendingBatch& batch = this->pending[server];
    batch.batch.operations.push_back(std::move(operation));
    batch.operations.push_back(std::move(done));
}

void LeaseGateway::inspect(const Model::BackendServerId& server, Continuation<InspectOutcome> done)
{
    PendingBatch& batch = this->pending[server];
    batch.batch.inspect = true;
    batch.inspections.push_back(std::move(done));
}

void LeaseGateway::flush(SteadyTime now)
{
    while (!this->pending.empty()) {
        auto node = this->pending.extract(this->pending.begin());
        const Model::BackendServerId server = node.key();
        auto batch = std::make_shared<PendingBatch>(std::move(node.mapped()));
        const auto known = this->blackboard.servers.find(server);
        if (known == this->blackboard.servers.end()) {
            this->onAnswer(server, *batch, Model::BackendError::NotSent, now);
            continue;
        }
        ++this->blackboard.counters.leaseBatches;
        const Duration timeout = LeaseTimings::from(this->blackboard.configuration->policy).callTimeout;
        this->outbox.sendLeaseBatch(known->second.server, batch->batch, timeout,
            [this, server, batch](const LeaseBatchResult& result, SteadyTime at) {
                this->health.leaseBatchEnded(server, result, at);
                this->onAnswer(server, *batch, result, at);
            });
    }
}

void LeaseGateway::onAnswer(
    const Model::BackendServerId&, const PendingBatch& batch, const LeaseBatchResult& result, SteadyTime now)
{
    const auto* answer = std::get_if<Model::LeaseBatchAnswer>(&result);
    if (!answer) {
        const Model::BackendError error = std::get<Model::BackendError>(result);
        for (const auto& done : batch.operations)
            done(error, now);
        for (const auto& done : batch.inspections)
            done(error, now);
        return;
    }
    for (std::size_t index = 0; index < batch.operations.size(); ++index) {
        std::visit([&](const auto& outcome) { batch.operations[index](outcome, now); }, answer->results[index]);
    }
    for (const auto& done : batch.inspections)
        done(answer->report, now);
}

std::string outcomeText(const LeaseOutcome& outcome)
{
    if (const auto* refusal = std::get_if<Model::LeaseRefusal>(&outcome))
        return std::string(Model::leaseRefusalName(*refusal));
    if (const auto* error = std::get_if<Model::BackendError>(&outcome))
        return std::string(Model::backendErrorName(*error));
    return std::string(Model::leaseStateName(std::get<Model::LeaseGranted>(outcome).state));
}

bool isRefused(const LeaseOutcome& outcome) { return std::holds_alternative<Model::LeaseRefusal>(outcome); }

} // namespace WisteriaHill::Controllers
