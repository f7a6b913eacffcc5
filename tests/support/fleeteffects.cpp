// How the fleet performs the effects of its daemons.

#include "support/fleetparts.h"

#include "utils/result.h"

#include <algorithm>

namespace WisteriaHill::Tests {

namespace {

using Controllers::CallAnswer;
using Controllers::DaemonCore;
using Controllers::LeaseBatchResult;
using Controllers::RunResult;
using Model::BackendError;
using Model::TableAnswer;
using Model::TableError;

constexpr Duration leaseCheckInterval { 25 };
constexpr std::uint32_t slots = 8;

} // namespace

std::shared_ptr<Fleet::Call> Fleet::openCall(
    std::size_t host, Controllers::CallId id, Duration timeout, const CallAnswer& timeoutAnswer)
{
    auto call = std::make_shared<Call>(Call { .host = host, .generation = this->hosts[host]->generation, .id = id });
    this->queue.after(timeout, [this, call, timeoutAnswer]() { this->answerCall(call, timeoutAnswer, Duration(0)); });
    return call;
}

void Fleet::answerCall(const std::shared_ptr<Call>& call, const CallAnswer& answer, Duration delay)
{
    this->queue.after(delay, [this, call, answer]() {
        if (std::exchange(call->answered, true))
            return;
        this->deliver(call->host, call->generation,
            [this, call, answer](DaemonCore& core) { core.callAnswered(call->id, answer, this->now()); });
    });
}

CallAnswer Fleet::lostRequestResult(const CallAnswer& asUnknown, const CallAnswer& asNotSent) const
{
    return this->options.broken == BrokenVariant::LostRequestReportedAsNotSent ? asNotSent : asUnknown;
}

void Fleet::perform(std::size_t index, const Controllers::CallTable& effect)
{
    const auto call = this->openCall(index, effect.call, effect.timeout, TableAnswer(TableError::Unknown));
    if (this->faults.platformDown || this->hosts[index]->cutFromPlatform) {
        // Half of the calls cannot connect, the others time out.
        if (this->random.chance(0.5))
            this->answerCall(call, TableAnswer(TableError::NotSent), this->networkDelay());
        return;
    }
    Model::TableOperation operation = effect.operation;
    if (this->options.broken == BrokenVariant::TableIgnoresConditions) {
        if (auto* transaction = std::get_if<Model::TableTransaction>(&operation))
            transaction->conditions.clear();
    }
    // A slow platform executes a call even after the caller's timeout.
    this->queue.after(this->networkDelay() + this->faults.platformDelay, [this, call, operation]() {
        const TableAnswer answer = this->tableState.apply(operation);
        const bool write = std::holds_alternative<Model::TableTransaction>(operation);
        const bool lost = this->hosts[call->host]->cutFromPlatform
            || (write && this->random.chance(this->faults.tableAnswerLossRate));
        if (!lost)
            this->answerCall(call, answer, this->networkDelay());
    });
}

void Fleet::perform(std::size_t index, const Controllers::FetchHostList& effect)
{
    const Controllers::HostListResult unavailable = Controllers::HostListError::Unavailable;
    const auto call = this->openCall(index, effect.call, effect.timeout, unavailable);
    if (!this->faults.platformDown && !this->hosts[index]->cutFromPlatform)
        this->answerCall(call, Controllers::HostListResult(this->listed), this->networkDelay());
}

bool Fleet::reachable(std::size_t host, std::size_t server) const
{
    return !this->hosts[host]->cutServers.contains(server) && !this->servers[server]->silent;
}

void Fleet::perform(std::size_t index, const Controllers::RunOnServer& effect)
{
    const std::size_t server = this->serverIndex(effect.server.id);
    const auto call = this->openCall(index, effect.call, effect.timeout, RunResult(BackendError::TimedOut));
    if (!this->servers[server]->alive) {
        this->answerCall(call, RunResult(BackendError::NotSent), this->networkDelay());
        return;
    }
    const bool lostThere = !this->reachable(index, server) || this->random.chance(this->faults.requestLossRate);
    if (lostThere)
        return;
    this->queue.after(this->networkDelay(), [this, server, call, request = effect.request]() {
        if (this->servers[server]->alive)
            this->runRequest(server, call, request);
    });
}

void Fleet::runRequest(std::size_t index, const std::shared_ptr<Call>& call, const Model::RunRequest& request)
{
    Server& server = *this->servers[index];
    if (server.state.isLeaving()) {
        this->answerCall(call, RunResult(BackendError::Leaving), this->networkDelay());
        return;
    }
    if (server.busySlots >= slots) {
        this->answerCall(call, RunResult(BackendError::Busy), this->networkDelay());
        return;
    }
    this->facts.recordRun(request.body);
    ++server.run;
    server.lastNewWork = this->now();
    if (server.failsEverything) {
        this->answerCall(call, RunResult(BackendError::Failed), this->networkDelay());
        return;
    }
    ++server.busySlots;
    this->queue.after(server.serviceTime, [this, index, call, request, generation = server.generation]() {
        Server& running = *this->servers[index];
        if (!running.alive || running.generation != generation) {
            this->answerCall(call, RunResult(BackendError::Truncated), this->networkDelay());
            return;
        }
        --running.busySlots;
        const bool lostBack = !this->reachable(call->host, index) || this->random.chance(this->faults.answerLossRate);
        if (lostBack) {
            const CallAnswer unknown = RunResult(BackendError::Truncated);
            this->answerCall(
                call, this->lostRequestResult(unknown, RunResult(BackendError::NotSent)), this->networkDelay());
            return;
        }
        const bool swapped = this->options.broken == BrokenVariant::AnswersSwapped && this->random.chance(0.1);
        RunResult answer = Model::RunAnswer { .body = swapped ? "answer to another" : "answer to " + request.body,
            .busySlots = running.busySlots,
            .leaving = running.state.isLeaving() };
        this->answerCall(call, answer, this->networkDelay());
    });
}

void Fleet::perform(std::size_t index, const Controllers::SendLeaseBatch& effect)
{
    const std::size_t server = this->serverIndex(effect.server.id);
    const auto call = this->openCall(index, effect.call, effect.timeout, LeaseBatchResult(BackendError::TimedOut));
    if (!this->servers[server]->alive) {
        this->answerCall(call, LeaseBatchResult(BackendError::NotSent), this->networkDelay());
        return;
    }
    if (!this->reachable(index, server) || this->random.chance(this->faults.requestLossRate))
        return;
    this->queue.after(this->networkDelay(), [this, server, call, batch = effect.batch]() {
        if (this->servers[server]->alive)
            this->applyLeases(server, call, batch);
    });
}

void Fleet::applyLeases(std::size_t index, const std::shared_ptr<Call>& call, const Model::LeaseBatch& batch)
{
    Server& server = *this->servers[index];
    const bool newWork = std::ranges::any_of(batch.operations,
        [](const Model::LeaseOperation& operation) { return std::holds_alternative<Model::ReserveLease>(operation); });
    Model::LeaseBatchAnswer answer = server.state.apply(batch, this->now());
    answer.report.busySlots = server.busySlots;
    const bool granted = std::ranges::any_of(answer.results,
        [](const Model::LeaseResult& result) { return std::holds_alternative<Model::LeaseGranted>(result); });
    if (newWork && granted)
        server.lastNewWork = this->now();
    this->collectChanges(index);
    if (this->reachable(call->host, index) && !this->random.chance(this->faults.answerLossRate))
        this->answerCall(call, LeaseBatchResult(std::move(answer)), this->networkDelay());
}

void Fleet::scheduleLeaseCheck(std::size_t index)
{
    this->queue.after(leaseCheckInterval, [this, index]() {
        this->servers[index]->state.advance(this->now());
        this->collectChanges(index);
        this->scheduleLeaseCheck(index);
    });
}

void Fleet::collectChanges(std::size_t index)
{
    ServerState& state = this->servers[index]->state;
    for (const std::uint64_t gangToken : state.takeReserved())
        this->facts.recordReservation(gangToken, this->serverId(index));
    for (TaskChange change : state.takeChanges()) {
        change.server = this->serverId(index);
        this->facts.recordTaskChange(change);
    }
}

void Fleet::perform(std::size_t index, const Controllers::SendHeartbeat& effect)
{
    const std::size_t target = this->hostAt(effect.to);
    const bool cut = target >= this->hosts.size() || this->hosts[index]->cutFromPeers
        || this->hosts[target]->cutFromPeers || this->random.chance(this->faults.heartbeatLossRate);
    if (cut)
        return;
    this->queue.after(this->networkDelay(), [this, target, heartbeat = effect.heartbeat]() {
        this->deliver(target, this->hosts[target]->generation,
            [this, heartbeat](DaemonCore& core) { core.heartbeatReceived(heartbeat, this->now()); });
    });
}

void Fleet::perform(std::size_t index, const Controllers::CallPeer& effect)
{
    const Controllers::PeerResult unreachable = Controllers::PeerError::Unreachable;
    const auto call = this->openCall(index, effect.call, effect.timeout, unreachable);
    const std::size_t target = this->hostAt(effect.to);
    const bool cut = target >= this->hosts.size() || this->hosts[index]->cutFromPeers
        || this->hosts[target]->cutFromPeers || !this->hosts[target]->core;
    if (cut)
        return;
    this->queue.after(this->networkDelay(), [this, target, call, question = effect.request]() {
        this->deliver(target, this->hosts[target]->generation, [this, call, question](DaemonCore& core) {
            const Model::PeerReply reply = core.answerPeer(question, this->now());
            this->answerCall(call, Controllers::PeerResult(reply), this->networkDelay());
        });
    });
}

void Fleet::perform(std::size_t index, const Controllers::AnswerCaller& effect)
{
    this->hosts[index]->openCallers.erase(effect.caller);
    this->facts.recordAnswer(effect.caller, effect.answer);
}

void Fleet::perform(std::size_t, const Controllers::AnswerDocument& effect)
{
    if (!this->documents.emplace(effect.caller, effect).second)
        this->facts.addViolation("caller " + std::to_string(effect.caller) + " got two answers");
}

void Fleet::perform(std::size_t index, const Controllers::LogEvent& effect)
{
    const auto sinceStart
        = std::chrono::duration_cast<Duration>(this->now().time_since_epoch() - std::chrono::hours(1));
    const std::string where = "host" + std::to_string(index) + " at " + std::to_string(sinceStart.count()) + " ms: ";
    this->events.push_back({ effect.event, where + effect.details });
}

void Fleet::perform(std::size_t index, const Controllers::ExitProcess&)
{
    Host& host = *this->hosts[index];
    if (!host.openCallers.empty())
        this->facts.addViolation("a graceful stop of host" + std::to_string(index) + " cut off "
            + std::to_string(host.openCallers.size()) + " requests");
    host.exited = true;
    // The core is still on the call stack; it is destroyed right after this input.
    this->queue.after(Duration(0), [this, index, generation = host.generation]() {
        if (this->hosts[index]->generation == generation)
            this->kill(index);
    });
}

} // namespace WisteriaHill::Tests
