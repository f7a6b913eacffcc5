#include "controllers/gangcontroller.h"

#include <algorithm>

// Reservation and start of gangs.

namespace WisteriaHill::Controllers {

namespace {

using Model::BackendError;
using Model::LeaseGranted;
using Model::LeaseState;
using Utils::Event;

constexpr Duration firstRenewalDelay { 100 };
constexpr Duration startRetryInterval { 200 };

} // namespace

void GangController::reserve(GangAttempt attempt, SteadyTime now)
{
    const Model::JobId job = attempt.terms.job;
    Gang& gang = this->gangs[job];
    gang.attempt = std::move(attempt);
    for (const Model::PlacementMember& placement : gang.attempt.plan.members)
        gang.members.push_back({ .placement = placement });
    gang.attempt.terms.members = gang.attempt.plan.members;
    if (gang.attempt.plan.evicts) {
        this->enter(gang, Phase::Inspecting, now);
        this->inspectMembers(gang, &GangController::onInspectedForEviction);
        return;
    }
    this->enter(gang, Phase::Reserving, now);
    this->reserveNext(gang, now);
}

void GangController::inspectMembers(Gang& gang, InspectHandler handler)
{
    for (std::size_t index = 0; index < gang.members.size(); ++index) {
        if (gang.members[index].answered || gang.members[index].callOpen)
            continue;
        this->gateway.inspect(gang.members[index].placement.server,
            [this, job = gang.attempt.terms.job, token = gang.attempt.terms.gangToken, phase = gang.phase, index,
                handler](const InspectOutcome& outcome, SteadyTime at) {
                Gang* known = this->find(job);
                if (known && known->attempt.terms.gangToken == token && known->phase == phase)
                    (this->*handler)(*known, known->members[index], outcome, at);
            });
    }
}

void GangController::onInspectedForEviction(Gang& gang, Member& member, const InspectOutcome& outcome, SteadyTime now)
{
    const auto* report = std::get_if<Model::ServerReport>(&outcome);
    if (!report) {
        this->beginStop(
            gang, GangEndKind::NotReserved, member.placement.server.value() + " could not be inspected", now);
        return;
    }
    for (const Model::LeaseView& lease : report->leases) {
        const bool ended = lease.state == LeaseState::Finished || lease.state == LeaseState::Failed
            || lease.state == LeaseState::Evicted;
        if (ended || (lease.terms.accelerators & member.placement.accelerators) == 0)
            continue;
        if (this->mayReplace(gang, member, lease))
            member.replaces.push_back(lease.token);
        else
            gang.end.blocked[member.placement.server] |= lease.terms.accelerators;
    }
    member.answered = true;
    if (!std::ranges::all_of(gang.members, &Member::answered))
        return;
    if (!gang.end.blocked.empty()) {
        this->beginStop(gang, GangEndKind::NotReserved, "accelerators are held by work that may not be evicted", now);
        return;
    }
    ++this->blackboard.counters.reclaims;
    this->outbox.log(Event::GuaranteeReclaimed, gang.attempt.terms.job.value());
    this->enter(gang, Phase::Reserving, now);
    this->reserveNext(gang, now);
}

bool GangController::mayReplace(const Gang& gang, const Member& member, const Model::LeaseView& lease) const
{
    if (!gang.attempt.plan.atHome)
        return lease.terms.preemptible;
    // A gang at its home may evict any work except work that runs within the home of that work's own guarantee.
    const auto home = this->blackboard.layout.homes.find(lease.terms.guarantee);
    if (home == this->blackboard.layout.homes.end())
        return true;
    const auto own = std::ranges::find(home->second, member.placement.server, &Model::PlacementMember::server);
    return own == home->second.end() || (lease.terms.accelerators & ~own->accelerators) != 0;
}

void GangController::reserveNext(Gang& gang, SteadyTime now)
{
    const auto next = std::ranges::find_if(gang.members, [](const Member& member) { return !member.answered; });
    if (next == gang.members.end()) {
        this->enter(gang, Phase::AwaitingEviction, now);
        this->completeReservationIfReady(gang, now);
        return;
    }
    Model::LeaseTerms terms = gang.attempt.terms;
    terms.accelerators = next->placement.accelerators;
    Model::ReserveLease reserve { .terms = std::move(terms),
        .timeToLive = gang.attempt.grace + this->timings().timeToLive,
        .replaces = next->replaces,
        .grace = gang.attempt.grace };
    this->post(gang, static_cast<std::size_t>(std::distance(gang.members.begin(), next)), std::move(reserve),
        &GangController::onReserve, now);
}

void GangController::onReserve(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now)
{
    if (!std::holds_alternative<LeaseGranted>(outcome)) {
        this->beginStop(gang, GangEndKind::NotReserved,
            member.placement.server.value() + " refused the reservation: " + outcomeText(outcome), now);
        return;
    }
    member.answered = true;
    this->reserveNext(gang, now);
}

void GangController::completeReservationIfReady(Gang& gang, SteadyTime now)
{
    const bool all
        = std::ranges::all_of(gang.members, [](const Member& member) { return member.state == LeaseState::Reserved; });
    if (!all)
        return;
    this->enter(gang, Phase::Reserved, now);
    gang.nextRound = now + this->timings().renewInterval;
    this->callbacks.reserved(gang.attempt.terms.job, now);
}

void GangController::onReservationRenewed(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now)
{
    if (isRefused(outcome)) {
        this->beginStop(gang, GangEndKind::NotReserved,
            member.placement.server.value() + " dropped the reservation: " + outcomeText(outcome), now);
        return;
    }
    if (gang.phase == Phase::AwaitingEviction)
        this->completeReservationIfReady(gang, now);
}

void GangController::start(const Model::JobId& job, SteadyTime now)
{
    Gang* gang = this->find(job);
    if (!gang || gang->phase != Phase::Reserved)
        return;
    this->enter(*gang, Phase::Starting, now);
    gang->startSent = true;
    gang->startedAt = now;
    this->sendStarts(*gang, now);
}

void GangController::sendStarts(Gang& gang, SteadyTime now)
{
    gang.nextRound = now + startRetryInterval;
    this->postToUnanswered(
        gang,
        [&](const Member& member) {
            return Model::StartTask { .token = member.token,
                .timeToLive = this->timings().timeToLive,
                .payload = gang.attempt.payload,
                .resumeFrom = gang.attempt.resumeFrom };
        },
        &GangController::onStart, now);
}

void GangController::onStart(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now)
{
    if (isRefused(outcome)) {
        this->beginStop(gang, GangEndKind::MemberLost,
            member.placement.server.value() + " refused the start: " + outcomeText(outcome), now);
        return;
    }
    if (std::holds_alternative<BackendError>(outcome))
        return;
    if (member.state == LeaseState::Failed) {
        this->stopAfterFailure(gang, member, now);
        return;
    }
    member.answered = true;
    if (!std::ranges::all_of(gang.members, &Member::answered))
        return;
    this->enter(gang, Phase::Running, now);
    gang.nextRound = now + firstRenewalDelay;
    this->callbacks.running(gang.attempt.terms.job, now);
}

void GangController::stopAfterFailure(Gang& gang, const Member& member, SteadyTime now)
{
    gang.end.failedServer = member.placement.server;
    this->beginStop(gang, GangEndKind::TaskFailed, "the task failed on " + member.placement.server.value(), now);
}

} // namespace WisteriaHill::Controllers
