#include "controllers/gangcontroller.h"

#include <algorithm>
#include <utility>

namespace WisteriaHill::Controllers {

namespace {

using Model::BackendError;
using Model::LeaseGranted;
using Model::LeaseOperation;
using Model::LeaseState;

constexpr Duration evictionPollInterval { 50 };
constexpr Duration firstRenewalDelay { 100 };
constexpr int elapsedDivisor = 4; ///< the renew interval of a young gang is its elapsed time divided by this

} // namespace

GangController::GangController(
    Model::Blackboard& blackboard, Outbox& outbox, LeaseGateway& gateway, GangCallbacks callbacks)
    : blackboard(blackboard)
    , outbox(outbox)
    , gateway(gateway)
    , callbacks(std::move(callbacks))
{
}

GangController::Gang* GangController::find(const Model::JobId& job)
{
    const auto found = this->gangs.find(job);
    return found == this->gangs.end() ? nullptr : &found->second;
}

LeaseTimings GangController::timings() const { return LeaseTimings::from(this->blackboard.configuration->policy); }

void GangController::enter(Gang& gang, Phase phase, SteadyTime now)
{
    gang.phase = phase;
    gang.phaseBegan = now;
    gang.nextRound = now;
    for (Member& member : gang.members)
        member.answered = false;
}

void GangController::post(Gang& gang, std::size_t index, LeaseOperation operation, Handler handler, SteadyTime now)
{
    Member& member = gang.members[index];
    member.callOpen = true;
    member.tokenUncertain = member.tokenUncertain || std::holds_alternative<Model::AdoptLease>(operation);
    const bool extendsLease
        = !std::holds_alternative<Model::StopLease>(operation) && !std::holds_alternative<Model::EvictLease>(operation);
    // The server may still carry out an unanswered call until the call times out.
    if (extendsLease)
        member.leaseExpiresBy = now + this->timings().callTimeout + this->timings().timeToLive;
    this->gateway.post(member.placement.server, std::move(operation),
        [this, job = gang.attempt.terms.job, token = gang.attempt.terms.gangToken, phase = gang.phase, index, handler](
            const LeaseOutcome& outcome, SteadyTime at) {
            Gang* known = this->find(job);
            if (!known || known->attempt.terms.gangToken != token)
                return;
            Member& answering = known->members[index];
            answering.callOpen = false;
            answering.tokenUncertain = answering.tokenUncertain && std::holds_alternative<BackendError>(outcome);
            if (const auto* granted = std::get_if<LeaseGranted>(&outcome)) {
                answering.token = granted->token;
                answering.state = granted->state;
                answering.checkpointed = granted->checkpointed;
            }
            if (known->phase == phase)
                (this->*handler)(*known, answering, outcome, at);
        });
}

void GangController::postToAll(
    Gang& gang, const std::function<LeaseOperation(const Member&)>& make, Handler handler, SteadyTime now)
{
    for (std::size_t index = 0; index < gang.members.size(); ++index) {
        const Member& member = gang.members[index];
        if (!member.callOpen && !member.leaseEnded && member.token != 0)
            this->post(gang, index, make(member), handler, now);
    }
}

void GangController::postToUnanswered(
    Gang& gang, const std::function<LeaseOperation(const Member&)>& make, Handler handler, SteadyTime now)
{
    for (std::size_t index = 0; index < gang.members.size(); ++index) {
        const Member& member = gang.members[index];
        if (!member.answered && !member.callOpen)
            this->post(gang, index, make(member), handler, now);
    }
}

void GangController::renewAll(Gang& gang, Handler handler, SteadyTime now)
{
    for (Member& member : gang.members)
        member.answered = false;
    this->renewUnanswered(gang, handler, now);
}

void GangController::renewUnanswered(Gang& gang, Handler handler, SteadyTime now)
{
    this->postToUnanswered(
        gang,
        [this](const Member& member) {
            return Model::RenewLease { .token = member.token, .timeToLive = this->timings().timeToLive };
        },
        handler, now);
}

void GangController::tickRunning(Gang& gang, SteadyTime now)
{
    if (!gang.roundOpen) {
        if (now < gang.nextRound)
            return;
        gang.roundOpen = true;
        gang.roundBegan = now;
        this->renewAll(gang, &GangController::onRenew, now);
        return;
    }
    if (now - gang.roundBegan < this->timings().roundBound) {
        this->renewUnanswered(gang, &GangController::onRenew, now);
        return;
    }
    const auto silent = std::ranges::find_if(gang.members, [](const Member& member) { return !member.answered; });
    this->beginStop(gang, GangEndKind::MemberLost, silent->placement.server.value() + " does not answer", now);
}

void GangController::onRenew(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now)
{
    if (isRefused(outcome)) {
        member.leaseEnded = true;
        this->beginStop(gang, GangEndKind::MemberLost,
            member.placement.server.value() + " lost its lease: " + outcomeText(outcome), now);
        return;
    }
    if (std::holds_alternative<BackendError>(outcome))
        return;
    if (member.state == LeaseState::Failed) {
        this->stopAfterFailure(gang, member, now);
        return;
    }
    if (member.state == LeaseState::Evicting || member.state == LeaseState::Evicted) {
        this->evictAll(gang, now);
        return;
    }
    member.answered = true;
    if (std::ranges::all_of(gang.members, &Member::answered))
        this->onRoundComplete(gang, now);
}

void GangController::onRoundComplete(Gang& gang, SteadyTime now)
{
    gang.roundOpen = false;
    const bool finished
        = std::ranges::all_of(gang.members, [](const Member& member) { return member.state == LeaseState::Finished; });
    if (finished) {
        this->beginStop(gang, GangEndKind::Finished, "every member finished", now);
        return;
    }
    // Young gangs are renewed more often, so that the end of a short task is detected soon; older ones at the renew
    // interval. Those renewals fall on one time grid for all gangs, so that renewals for one server share a message.
    const Duration interval = this->timings().renewInterval;
    const auto elapsed = std::chrono::duration_cast<Duration>(now - gang.startedAt);
    if (elapsed / elapsedDivisor < interval) {
        gang.nextRound = now + std::max(firstRenewalDelay, elapsed / elapsedDivisor);
        return;
    }
    const auto sinceEpoch = now.time_since_epoch();
    gang.nextRound = SteadyTime(sinceEpoch - sinceEpoch % interval + interval);
}

void GangController::evictAll(Gang& gang, SteadyTime now)
{
    this->enter(gang, Phase::EvictingAll, now);
    this->sendEvictions(gang, now);
}

void GangController::sendEvictions(Gang& gang, SteadyTime now)
{
    // Leases are not renewed during the eviction, so that the lease of a member that no message reaches expires too.
    gang.nextRound = now + evictionPollInterval;
    const Duration grace = this->blackboard.configuration->policy.reclaimGrace;
    this->postToAll(
        gang, [&](const Member& member) { return Model::EvictLease { .token = member.token, .grace = grace }; },
        &GangController::onEvictAll, now);
}

void GangController::onEvictAll(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now)
{
    if (isRefused(outcome))
        member.leaseEnded = true;
    const bool ended = std::ranges::all_of(gang.members, [](const Member& each) {
        return each.leaseEnded || each.state == LeaseState::Evicted || each.state == LeaseState::Finished
            || each.state == LeaseState::Failed;
    });
    if (ended)
        this->beginStop(gang, GangEndKind::Evicted, "its accelerators were reclaimed", now);
}

void GangController::adopt(GangAttempt attempt, SteadyTime now)
{
    const Model::JobId job = attempt.terms.job;
    Gang& gang = this->gangs[job];
    gang.attempt = std::move(attempt);
    gang.startSent = true;
    gang.startedAt = now;
    for (const Model::PlacementMember& placement : gang.attempt.plan.members) {
        gang.members.push_back({ .placement = placement,
            .leaseExpiresBy = now + this->timings().timeToLive + this->timings().callTimeout });
    }
    this->enter(gang, Phase::Adopting, now);
    this->inspectForAdoption(gang, now);
}

void GangController::inspectForAdoption(Gang& gang, SteadyTime now)
{
    gang.nextRound = now + this->timings().callTimeout;
    this->inspectMembers(gang, &GangController::onInspectedForAdoption);
}

void GangController::onInspectedForAdoption(Gang& gang, Member& member, const InspectOutcome& outcome, SteadyTime now)
{
    const auto* report = std::get_if<Model::ServerReport>(&outcome);
    if (!report || member.answered)
        return;
    const auto lease = std::ranges::find_if(report->leases,
        [&](const Model::LeaseView& view) { return view.terms.gangToken == gang.attempt.terms.gangToken; });
    member.answered = true;
    member.tokenUncertain = false;
    if (lease == report->leases.end()) {
        member.leaseEnded = true;
    } else {
        member.token = lease->token;
        member.state = lease->state;
    }
    if (!std::ranges::all_of(gang.members, &Member::answered))
        return;
    const bool allRunning = std::ranges::all_of(gang.members, [](const Member& each) {
        return !each.leaseEnded && (each.state == LeaseState::Running || each.state == LeaseState::Finished);
    });
    if (!allRunning) {
        this->beginStop(gang, GangEndKind::MemberLost, "not every member was running when the job was taken over", now);
        return;
    }
    for (Member& each : gang.members)
        each.answered = false;
    this->postToAll(
        gang,
        [this](const Member& each) {
            return Model::AdoptLease { .token = each.token, .timeToLive = this->timings().timeToLive };
        },
        &GangController::onAdopt, now);
}

void GangController::onAdopt(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now)
{
    // After an unanswered call, the next inspection finds out which token is valid.
    if (std::holds_alternative<BackendError>(outcome))
        return;
    if (isRefused(outcome)) {
        this->beginStop(gang, GangEndKind::MemberLost,
            member.placement.server.value() + " could not be taken over: " + outcomeText(outcome), now);
        return;
    }
    member.answered = true;
    if (!std::ranges::all_of(gang.members, &Member::answered))
        return;
    this->enter(gang, Phase::Running, now);
    gang.nextRound = now + firstRenewalDelay;
    this->callbacks.running(gang.attempt.terms.job, now);
}

void GangController::stop(const Model::JobId& job, std::string reason, SteadyTime now)
{
    Gang* gang = this->find(job);
    if (gang && gang->phase != Phase::Stopping)
        this->beginStop(*gang, GangEndKind::Stopped, std::move(reason), now);
}

void GangController::abandonReservation(const Model::JobId& job, std::string reason, SteadyTime now)
{
    Gang* gang = this->find(job);
    if (gang && gang->phase == Phase::Reserved)
        this->beginStop(*gang, GangEndKind::NotReserved, std::move(reason), now);
}

void GangController::beginStop(Gang& gang, GangEndKind kind, std::string reason, SteadyTime now)
{
    gang.end.kind = kind;
    gang.end.reason = std::move(reason);
    gang.end.mayHaveRun = gang.startSent;
    gang.end.checkpointed = gang.attempt.resumeFrom;
    if (gang.startSent && !gang.members.empty())
        gang.end.checkpointed = std::ranges::min(gang.members, {}, &Member::checkpointed).checkpointed;
    this->enter(gang, Phase::Stopping, now);
    this->sendStops(gang, now);
    // The members of a finished gang hold no accelerators, so their stops need not be confirmed. A lease whose stop is
    // lost expires.
    if (kind == GangEndKind::Finished) {
        for (Member& member : gang.members)
            member.leaseEnded = true;
    }
    this->endIfAllLeasesEnded(gang, now);
}

void GangController::sendStops(Gang& gang, SteadyTime now)
{
    gang.nextRound = now + this->timings().callTimeout;
    for (std::size_t index = 0; index < gang.members.size(); ++index) {
        Member& member = gang.members[index];
        // If no start was sent, a member whose token is unknown was never started, and its lease is left to expire.
        if (member.token == 0)
            member.leaseEnded = member.leaseEnded || !gang.startSent;
        // The server reports a stop of a replaced token as done although the task runs on. With an uncertain token, the
        // expiry of the lease is awaited instead.
        if (member.leaseEnded || member.token == 0 || member.tokenUncertain)
            continue;
        // Stops are sent even while another call is open, because the answer of that call no longer matters.
        this->post(gang, index, Model::StopLease { .token = member.token }, &GangController::onStop, now);
    }
}

void GangController::onStop(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now)
{
    if (std::holds_alternative<LeaseGranted>(outcome))
        member.leaseEnded = true;
    this->endIfAllLeasesEnded(gang, now);
}

void GangController::endIfAllLeasesEnded(Gang& gang, SteadyTime now)
{
    const bool over = std::ranges::all_of(
        gang.members, [&](const Member& member) { return member.leaseEnded || now >= member.leaseExpiresBy; });
    if (!over)
        return;
    const Model::JobId job = gang.attempt.terms.job;
    const GangEnd end = gang.end;
    this->gangs.erase(job);
    this->callbacks.ended(job, end, now);
}

void GangController::tick(SteadyTime now)
{
    std::vector<Model::JobId> jobs;
    for (const auto& [job, gang] : this->gangs)
        jobs.push_back(job);
    for (const Model::JobId& job : jobs) {
        if (Gang* gang = this->find(job))
            this->tickGang(*gang, now);
    }
}

void GangController::tickGang(Gang& gang, SteadyTime now)
{
    const LeaseTimings times = this->timings();
    const Duration inPhase = std::chrono::duration_cast<Duration>(now - gang.phaseBegan);
    const bool due = now >= gang.nextRound;
    switch (gang.phase) {
    case Phase::Inspecting:
    case Phase::Reserving:
        if (inPhase >= this->blackboard.configuration->policy.leasePeriod)
            this->beginStop(gang, GangEndKind::NotReserved, "the members could not be reserved in time", now);
        return;
    case Phase::AwaitingEviction:
        if (inPhase >= gang.attempt.grace + times.callTimeout) {
            this->beginStop(gang, GangEndKind::NotReserved, "evicted work did not leave in time", now);
        } else if (due) {
            gang.nextRound = now + evictionPollInterval;
            this->renewAll(gang, &GangController::onReservationRenewed, now);
        }
        return;
    case Phase::Reserved:
        if (due) {
            gang.nextRound = now + times.renewInterval;
            this->renewAll(gang, &GangController::onReservationRenewed, now);
        }
        return;
    case Phase::Starting:
        if (inPhase >= times.startBound)
            this->beginStop(gang, GangEndKind::NotStarted, "not every start was confirmed in time", now);
        else if (due)
            this->sendStarts(gang, now);
        return;
    case Phase::Running:
        this->tickRunning(gang, now);
        return;
    case Phase::Adopting:
        if (inPhase >= this->blackboard.configuration->policy.leasePeriod)
            this->beginStop(gang, GangEndKind::MemberLost, "the members could not be inspected in time", now);
        else if (due)
            this->inspectForAdoption(gang, now);
        return;
    case Phase::EvictingAll:
        if (inPhase >= this->blackboard.configuration->policy.reclaimGrace + times.callTimeout) {
            this->beginStop(gang, GangEndKind::Evicted, "its accelerators were reclaimed", now);
        } else if (due) {
            this->sendEvictions(gang, now);
        }
        return;
    case Phase::Stopping:
        if (due)
            this->sendStops(gang, now);
        this->endIfAllLeasesEnded(gang, now);
        return;
    }
}

} // namespace WisteriaHill::Controllers
