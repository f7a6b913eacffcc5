#include "controllers/jobcontroller.h"

#include "controllers/documentanswers.h"
#include "utils/httpstatus.h"

// Takeover and release: the ownership of jobs moves from one daemon to another.

namespace WisteriaHill::Controllers {

namespace {

using Model::JobEntry;
using Model::JobRecord;
using Model::JobState;
using Utils::Event;

constexpr Duration notReadyRetryAfter { 1000 };
constexpr const char* stoppingReason = "this entry host is stopping; use another one";

} // namespace

void JobController::takeOver(const LapsedSession& session, SteadyTime now)
{
    if (this->released || !this->sessions.holdsSession(now))
        return;
    this->takeover.scan(session, {});
}

void JobController::onTakenOver(const JobRecord& record, Model::RowVersion version, SteadyTime now)
{
    this->outbox.log(Event::JobTakenOver, record.id.value());
    JobEntry entry { .record = record, .version = version, .queuedSince = now };
    entry.addToHistory(now, "taken over from an entry host whose session lapsed");
    this->resume(this->blackboard.jobs.emplace(record.id, std::move(entry)).first->second, now);
}

void JobController::resume(JobEntry& entry, SteadyTime now)
{
    const bool attemptCommitted = entry.record.state != JobState::Queued && !entry.record.placement.empty();
    if (!attemptCommitted) {
        entry.record.state = JobState::Queued;
        if (entry.record.cancelRequested)
            this->cancelEntry(entry, now);
        return;
    }
    entry.record.state = JobState::Starting;
    entry.mayHaveRun = true;
    entry.startSent = true;
    entry.runningSince = now;
    GangAttempt attempt { .terms = this->termsOf(entry),
        .plan = { .members = entry.record.placement },
        .payload = entry.record.specification.payload,
        .resumeFrom = entry.record.checkpointed };
    this->gangs.adopt(std::move(attempt), now);
    if (entry.record.cancelRequested)
        this->cancelEntry(entry, now);
}

void JobController::release(SteadyTime now)
{
    if (std::exchange(this->released, true))
        return;
    for (auto& [id, entry] : this->blackboard.jobs)
        this->releaseEntry(entry, now);
}

void JobController::releaseEntry(JobEntry& entry, SteadyTime now)
{
    if (Model::isFinal(entry.record.state))
        return;
    if (entry.record.specification.attached) {
        if (entry.record.state == JobState::Queued)
            this->finish(entry, JobState::Failed, stoppingReason, now);
        return;
    }
    entry.addToHistory(now, "released by a graceful stop, so that a peer takes it over");
    const bool unstarted
        = entry.record.state == JobState::Reserving || (entry.record.state == JobState::Starting && !entry.startSent);
    if (unstarted)
        entry.record.state = JobState::Queued;
    entry.record.owner = Model::EntryHostId();
    entry.record.ownerIncarnation = 0;
    this->persist(entry, now);
}

void JobController::abandonAll(SteadyTime now)
{
    for (auto& [id, entry] : this->blackboard.jobs) {
        if (!entry.record.specification.attached || Model::isFinal(entry.record.state))
            continue;
        entry.record.reason = stoppingReason;
        this->answerAttached(entry);
        this->gangs.stop(id, stoppingReason, now);
    }
    for (auto& [id, submission] : this->submissions) {
        if (submission.caller != 0)
            answerWithDocument(this->outbox, submission.caller, Utils::HttpStatus::gatewayTimeout,
                { { "outcome", "unknown" }, { "id", id }, { "reason", stoppingReason } }, notReadyRetryAfter);
        submission.caller = 0;
    }
}

} // namespace WisteriaHill::Controllers
