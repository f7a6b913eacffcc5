#include "support/serverstate.h"

#include <algorithm>
#include <charconv>

namespace WisteriaHill::Tests {

namespace {

using Model::LeaseRefusal;
using Model::LeaseResult;
using Model::LeaseState;
using Model::LeaseToken;
using Utils::Overloaded;

constexpr LeaseToken tokensPerIncarnation = 1'000'000;
constexpr int wholePercent = 100;

Duration taskLength(const std::string& payload)
{
    std::int64_t length = 0;
    std::from_chars(payload.data(), payload.data() + payload.size(), length);
    return Duration(length);
}

} // namespace

ServerState::ServerState(std::uint32_t accelerators, Model::Incarnation incarnation)
    : installedAccelerators(Model::allAccelerators(accelerators))
    , incarnation(incarnation)
    , lastToken(incarnation % tokensPerIncarnation * tokensPerIncarnation)
{
}

Model::LeaseBatchAnswer ServerState::apply(const Model::LeaseBatch& batch, SteadyTime now)
{
    this->advance(now);
    Model::LeaseBatchAnswer answer;
    for (const Model::LeaseOperation& operation : batch.operations)
        answer.results.push_back(this->perform(operation, now));
    this->advance(now);
    answer.report = this->report(batch.inspect);
    return answer;
}

LeaseResult ServerState::perform(const Model::LeaseOperation& operation, SteadyTime now)
{
    if (const auto* reserve = std::get_if<Model::ReserveLease>(&operation))
        return this->reserve(*reserve, now);
    const LeaseToken token = std::visit(Overloaded {
                                            [](const Model::ReserveLease&) { return LeaseToken { 0 }; },
                                            [](const auto& other) { return other.token; },
                                        },
        operation);
    const auto found = this->leases.find(token);
    if (found == this->leases.end()) {
        if (std::holds_alternative<Model::StopLease>(operation))
            return Model::LeaseGranted { .token = token, .state = LeaseState::Finished };
        return LeaseRefusal::UnknownToken;
    }
    Lease& lease = found->second;
    return std::visit(Overloaded {
                          [](const Model::ReserveLease&) -> LeaseResult { return LeaseRefusal::WrongState; },
                          [&](const Model::StartTask& start) { return this->start(lease, start, now); },
                          [&](const Model::RenewLease& renew) { return this->renew(lease, renew, now); },
                          [&](const Model::AdoptLease& adopt) { return this->adopt(lease, adopt, now); },
                          [&](const Model::EvictLease& evict) { return this->evict(lease, evict, now); },
                          [&](const Model::CheckpointTask&) { return this->checkpoint(lease, now); },
                          [&](const Model::ThrottleTask& throttle) -> LeaseResult {
                              lease.resumedFrom = this->workDone(lease, now);
                              lease.startedAt = now;
                              lease.percent = throttle.percent;
                              return granted(lease);
                          },
                          [&](const Model::StopLease&) -> LeaseResult {
                              const Model::LeaseGranted result = granted(lease);
                              this->stop(lease, now);
                              this->leases.erase(token);
                              return result;
                          },
                      },
        operation);
}

LeaseResult ServerState::reserve(const Model::ReserveLease& reserve, SteadyTime now)
{
    for (auto& [token, lease] : this->leases) {
        if (lease.terms.gangToken == reserve.terms.gangToken) {
            lease.expires = now + reserve.timeToLive;
            return granted(lease);
        }
    }
    if (this->leaving)
        return LeaseRefusal::Leaving;
    for (const LeaseToken replaced : reserve.replaces) {
        if (!this->leases.contains(replaced))
            return LeaseRefusal::UnknownToken;
    }
    const bool blocked = std::ranges::any_of(this->leases, [&](const auto& entry) {
        const bool overlaps = (entry.second.terms.accelerators & reserve.terms.accelerators) != 0;
        return overlaps && entry.second.holdsAccelerators()
            && std::ranges::find(reserve.replaces, entry.first) == reserve.replaces.end();
    });
    if (blocked || (reserve.terms.accelerators & ~this->installedAccelerators) != 0)
        return LeaseRefusal::Occupied;

    for (const LeaseToken replaced : reserve.replaces)
        this->evict(this->leases.at(replaced), { .token = replaced, .grace = reserve.grace }, now);
    const LeaseToken token = ++this->lastToken;
    Lease& lease = this->leases[token];
    lease
        = { .token = token, .state = LeaseState::Waiting, .terms = reserve.terms, .expires = now + reserve.timeToLive };
    this->becomeReservedIfFree(lease);
    return granted(lease);
}

LeaseResult ServerState::start(Lease& lease, const Model::StartTask& start, SteadyTime now)
{
    if (lease.running() || lease.state == LeaseState::Finished)
        return granted(lease);
    if (lease.state != LeaseState::Reserved)
        return LeaseRefusal::WrongState;
    lease.expires = now + start.timeToLive;
    lease.startedAt = now;
    lease.resumedFrom = start.resumeFrom;
    lease.checkpointed = start.resumeFrom;
    lease.length = taskLength(start.payload);
    const bool fails = this->failsEverything || start.payload == "fail";
    lease.state = fails ? LeaseState::Failed : LeaseState::Running;
    if (!fails)
        this->recordChange(lease, true, false, now);
    return granted(lease);
}

LeaseResult ServerState::renew(Lease& lease, const Model::RenewLease& renew, SteadyTime now)
{
    lease.expires = now + renew.timeToLive;
    return granted(lease);
}

LeaseResult ServerState::adopt(Lease& lease, const Model::AdoptLease& adopt, SteadyTime now)
{
    Lease moved = lease;
    this->leases.erase(lease.token);
    moved.token = ++this->lastToken;
    moved.expires = now + adopt.timeToLive;
    return granted(this->leases[moved.token] = moved);
}

LeaseResult ServerState::evict(Lease& lease, const Model::EvictLease& evict, SteadyTime now)
{
    if (lease.state == LeaseState::Running) {
        lease.state = LeaseState::Evicting;
        lease.checkpointCompletes = this->checkpointTime <= evict.grace;
        lease.evictionDeadline = now + std::min(evict.grace, this->checkpointTime);
    } else if (lease.state == LeaseState::Waiting || lease.state == LeaseState::Reserved) {
        lease.expires = now;
    }
    return granted(lease);
}

LeaseResult ServerState::checkpoint(Lease& lease, SteadyTime now)
{
    if (!lease.running())
        return LeaseRefusal::WrongState;
    lease.checkpointed = this->workDone(lease, now);
    return granted(lease);
}

Duration ServerState::workDone(const Lease& lease, SteadyTime now) const
{
    const auto elapsed = std::chrono::duration_cast<Duration>(now - lease.startedAt);
    return lease.resumedFrom + elapsed * lease.percent / wholePercent;
}

void ServerState::stop(Lease& lease, SteadyTime now)
{
    if (lease.running())
        this->recordChange(lease, false, false, now);
    lease.state = LeaseState::Failed;
}

void ServerState::recordChange(const Lease& lease, bool running, bool finished, SteadyTime now)
{
    this->changes.push_back({ .at = now,
        .job = lease.terms.job,
        .gangToken = lease.terms.gangToken,
        .members = lease.terms.members.size(),
        .running = running,
        .finished = finished });
}

bool ServerState::overlapsAnother(const Lease& lease) const
{
    return std::ranges::any_of(this->leases, [&](const auto& entry) {
        const bool earlier = entry.first < lease.token && entry.second.holdsAccelerators();
        return earlier && (entry.second.terms.accelerators & lease.terms.accelerators) != 0;
    });
}

void ServerState::advance(SteadyTime now)
{
    for (auto& [token, lease] : this->leases) {
        if (!lease.running())
            continue;
        const Duration left = lease.length - this->workDone(lease, now);
        if (left.count() <= 0) {
            lease.state = LeaseState::Finished;
            this->recordChange(lease, false, true, now + left);
        }
    }
    for (auto entry = this->leases.begin(); entry != this->leases.end();) {
        Lease& lease = entry->second;
        if (lease.state == LeaseState::Evicting && now >= lease.evictionDeadline
            && lease.evictionDeadline <= lease.expires)
            this->finishEviction(lease);
        if (now < lease.expires || (this->ignoresExpiry && lease.running())) {
            ++entry;
            continue;
        }
        this->stop(lease, lease.expires);
        entry = this->leases.erase(entry);
    }
    for (auto& [token, lease] : this->leases)
        this->becomeReservedIfFree(lease);
}

void ServerState::becomeReservedIfFree(Lease& lease)
{
    if (lease.state != LeaseState::Waiting || this->overlapsAnother(lease))
        return;
    lease.state = LeaseState::Reserved;
    this->reservedGangs.push_back(lease.terms.gangToken);
}

void ServerState::finishEviction(Lease& lease)
{
    if (lease.checkpointCompletes)
        lease.checkpointed = this->workDone(lease, lease.evictionDeadline);
    this->stop(lease, lease.evictionDeadline);
    lease.state = LeaseState::Evicted;
}

void ServerState::restart(Model::Incarnation newIncarnation, SteadyTime now)
{
    for (auto& [token, lease] : this->leases)
        this->stop(lease, now);
    this->leases.clear();
    this->incarnation = newIncarnation;
    this->lastToken = newIncarnation % tokensPerIncarnation * tokensPerIncarnation;
    this->leaving = false;
}

Model::ServerReport ServerState::report(bool inspect) const
{
    Model::ServerReport report {
        .incarnation = this->incarnation, .leaving = this->leaving, .free = this->installedAccelerators
    };
    for (const auto& [token, lease] : this->leases) {
        if (lease.holdsAccelerators())
            report.free &= ~lease.terms.accelerators;
        if (lease.holdsAccelerators() && lease.terms.preemptible)
            report.preemptible |= lease.terms.accelerators;
        if (inspect)
            report.leases.push_back({ .token = token, .state = lease.state, .terms = lease.terms });
    }
    return report;
}

Model::LeaseGranted ServerState::granted(const Lease& lease)
{
    return { .token = lease.token, .state = lease.state, .checkpointed = lease.checkpointed };
}

} // namespace WisteriaHill::Tests
