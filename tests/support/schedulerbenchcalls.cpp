// What becomes of the calls of a SchedulerBench's daemons to servers and to the store.

#include "support/schedulerbench.h"

#include "scheduling/placement.h"

#include <algorithm>

namespace WisteriaHill::TestSupport {

using namespace Scheduling;

namespace {

constexpr Duration networkDelay { 2 };

} // namespace

OrderResult SchedulerBench::carryOut(FakeServer& target, const ServerOrder& order, const OrderOrigin& sender)
{
    Resources need;
    Duration work { 0 };
    if (const auto* start = std::get_if<StartOrder>(&order)) {
        need = countedNeed(this->specificationOf(start->task));
        work = this->runTimeOf(start->task);
        const bool needsTicket = this->advisor && this->submitted.at(start->task.jobId).pathPrefix == "/advised/"
            && target.alive && target.reachable && !target.active.contains(start->task);
        if (needsTicket && !this->advisor->accepts(*start, target.entry.id, this->time)) {
            ++this->advisor->rejectedStarts;
            return OrderRefusal::NoTicket;
        }
    }
    this->origin = sender;
    return target.handle(order, need, work);
}

void SchedulerBench::executeServerCall(std::size_t daemon, ServerCall call)
{
    const std::string& id = call.server.id;
    FakeServer* target = this->findServer(id);
    const OrderOrigin sender { .daemon = daemon, .sentAt = this->time };
    OrderResult result = NoAnswer {};
    if (const auto unsent = this->startsNotSent.find(id);
        std::holds_alternative<StartOrder>(call.order) && unsent != this->startsNotSent.end() && unsent->second > 0) {
        --unsent->second;
        result = NotSent {};
    } else if (target && !this->isCut(daemon, id)) {
        const auto late = this->lateOrders.find(id);
        const bool isLate = late != this->lateOrders.end() && late->second.count > 0
            && (!late->second.startsOnly || std::holds_alternative<StartOrder>(call.order));
        if (isLate) {
            --late->second.count;
            this->waitingOrders.push_back(
                { this->time + late->second.delay, id, target->startedAt, call.order, sender });
        } else {
            result = this->carryOut(*target, call.order, sender);
        }
        if (this->isAnswerCut(daemon, id))
            result = NoAnswer {};
    } else if (const auto known = this->successors.find(id); !target && known != this->successors.end()) {
        const FakeServer* successor = this->findServer(known->second);
        if (successor && successor->alive && successor->reachable && !this->isCut(daemon, known->second)
            && !this->isAnswerCut(daemon, known->second))
            result = OrderRefusal::WrongInstance;
    }
    const bool waited = std::holds_alternative<NoAnswer>(result) || std::holds_alternative<NotSent>(result);
    if (std::holds_alternative<NoAnswer>(result) && this->onUnanswered)
        this->onUnanswered(id, call.order);
    const Duration delay = waited ? call.timeout : networkDelay;
    this->answer(
        daemon, [done = std::move(call.done), result]() { done(result); }, delay);
}

void SchedulerBench::sendHeldUpkeepCalls()
{
    for (const HeldUpkeep& held : std::exchange(this->heldUpkeeps, {})) {
        const Daemon& daemon = *this->daemons.at(held.daemon);
        if (!daemon.alive || daemon.generation != held.generation)
            continue;
        if (held.call.mayBeSent && !held.call.mayBeSent())
            held.call.done(UpkeepResult::Unavailable);
        else
            this->performUpkeep(held.daemon, held.call);
    }
}

void SchedulerBench::carryOutLateCalls()
{
    std::vector<LateOrder> orders;
    std::erase_if(this->waitingOrders, [&](LateOrder& late) {
        if (late.at > this->time)
            return false;
        orders.push_back(std::move(late));
        return true;
    });
    for (const LateOrder& late : orders) {
        // A crash breaks the connections on which orders are under way.
        if (FakeServer* target = this->findServer(late.server); target && target->startedAt == late.startedAt)
            this->carryOut(*target, late.order, late.origin);
    }
    std::vector<LateCommit> commits;
    std::erase_if(this->waitingCommits, [&](LateCommit& late) {
        if (late.at > this->time)
            return false;
        commits.push_back(std::move(late));
        return true;
    });
    for (const LateCommit& late : commits)
        this->store.commit(late.transaction);
}

CommitResult SchedulerBench::commit(std::size_t daemon, const Transaction& transaction)
{
    if (this->isCut(daemon, BenchLinks::store))
        return StoreError::Unknown;
    if (this->turnedAway.contains(daemon))
        return StoreError::Rejected;
    if (this->commitsToDelay > 0 && !this->store.down && !this->store.silent) {
        --this->commitsToDelay;
        this->waitingCommits.push_back({ this->time + this->commitDelay, transaction });
        return StoreError::Unknown;
    }
    CommitResult result = this->store.commit(transaction);
    return this->isAnswerCut(daemon, BenchLinks::store) ? CommitResult(StoreError::Unknown) : result;
}

ReadResult SchedulerBench::read(std::size_t daemon, const RowRange& range)
{
    if (this->isCut(daemon, BenchLinks::store) || this->isAnswerCut(daemon, BenchLinks::store))
        return StoreError::Unknown;
    if (this->turnedAway.contains(daemon) || (this->rejectsRequestReads && range.table == requestTable))
        return StoreError::Rejected;
    return this->store.read(range);
}

WatchResult SchedulerBench::changes(std::size_t daemon, const WatchCall& call) const
{
    if (this->isCut(daemon, BenchLinks::store) || this->isAnswerCut(daemon, BenchLinks::store))
        return StoreError::Unknown;
    if (this->turnedAway.contains(daemon))
        return StoreError::Rejected;
    return this->store.changes(call.table, call.after);
}

void SchedulerBench::isolate(std::size_t daemon)
{
    BenchLinks::Hosts others { BenchLinks::store };
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        if (index != daemon)
            others.insert(BenchLinks::daemon(index));
    }
    this->links.cut({ BenchLinks::daemon(daemon) }, others);
    this->links.cut(others, { BenchLinks::daemon(daemon) });
}

} // namespace WisteriaHill::TestSupport
