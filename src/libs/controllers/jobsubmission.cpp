#include "controllers/jobcontroller.h"

#include "controllers/documentanswers.h"
#include "utils/digest.h"
#include "utils/httpstatus.h"

#include <sstream>

// Submission of jobs, and the writes of their rows.

namespace WisteriaHill::Controllers {

namespace {

using Model::JobEntry;
using Model::JobId;
using Model::JobRecord;
using Model::JobState;
using Utils::Event;

constexpr Duration submissionBound { 5000 };
constexpr Duration tableRetryAfter { 2000 };
constexpr Duration notReadyRetryAfter { 1000 };
constexpr std::size_t keyDigestLength = 24;

std::string hexadecimal(std::uint64_t number)
{
    std::ostringstream text;
    text << std::hex << number;
    return std::move(text).str();
}

} // namespace

std::optional<std::string> JobController::refusalReason(const Model::JobSpecification& specification) const
{
    const Model::Configuration& configuration = *this->blackboard.configuration;
    const Model::AvailabilityZone* zone = this->blackboard.ownZone();
    if (!zone)
        return "the availability zone of this entry host is not in the inventory";
    const auto account = configuration.accounts.find(specification.account);
    if (account == configuration.accounts.end())
        return "the client account does not exist";
    const std::uint32_t quota = account->second.acceleratorQuota;
    if (specification.guarantee.empty() && quota > 0 && specification.shape.accelerators() > quota)
        return "the shape is larger than the client account's quota of " + std::to_string(quota) + " accelerators";
    if (!specification.guarantee.empty()) {
        const auto guarantee = configuration.guarantees.find(specification.guarantee);
        if (guarantee == configuration.guarantees.end() || guarantee->second.account != specification.account)
            return "the client account has no guarantee " + specification.guarantee.value();
        if (guarantee->second.zone != zone->id)
            return "the guarantee is in availability zone " + guarantee->second.zone.value();
        const Model::GangShape& guaranteed = guarantee->second.shape;
        if (specification.shape.servers > guaranteed.servers
            || specification.shape.acceleratorsPerServer > guaranteed.acceleratorsPerServer)
            return "the shape is larger than the guaranteed one";
    }
    const std::string impossible = infeasibilityReason(*zone, specification.shape);
    return impossible.empty() ? std::nullopt : std::optional(impossible);
}

JobRecord JobController::newRecord(Model::JobSpecification specification)
{
    JobRecord record { .zone = this->blackboard.self.zone,
        .owner = this->blackboard.self.host,
        .ownerIncarnation = this->blackboard.self.incarnation,
        .reason = "waits for its first placement" };
    if (specification.idempotencyKey.empty()) {
        record.id = JobId(this->blackboard.self.host.value() + "-" + hexadecimal(this->blackboard.self.incarnation)
            + "-" + std::to_string(++this->lastNumber));
    } else {
        const std::string digest
            = Utils::sha256Hex(specification.account.value() + "\n" + specification.idempotencyKey);
        record.id = JobId("key-" + digest.substr(0, keyDigestLength));
    }
    record.specification = std::move(specification);
    return record;
}

void JobController::submit(CallerId caller, Model::JobSpecification specification, SteadyTime now)
{
    if (this->released || this->blackboard.phase != Model::HostPhase::Ready) {
        answerWithRefusal(this->outbox, caller, Utils::HttpStatus::unavailable,
            "this entry host accepts no jobs at present", notReadyRetryAfter);
        return;
    }
    if (const std::optional<std::string> refusal = this->refusalReason(specification)) {
        this->outbox.log(Event::JobRejected, specification.account.value() + ": " + *refusal);
        answerWithRefusal(this->outbox, caller, Utils::HttpStatus::unprocessable, *refusal);
        return;
    }
    const bool attached = specification.attached;
    // Peers take over a daemon's jobs when its session lapses. Without a session, nobody would take over the new job.
    const bool durablePossible = this->writer.available() && this->sessions.holdsSession(now);
    if (!attached && !durablePossible) {
        answerWithRefusal(this->outbox, caller, Utils::HttpStatus::unavailable,
            "the table service, which stores jobs, is unavailable, or this entry host holds no session in it",
            tableRetryAfter);
        return;
    }
    JobEntry entry { .record = this->newRecord(std::move(specification)), .queuedSince = now };
    entry.addToHistory(now, "accepted");
    const JobId id = entry.record.id;
    if (!attached) {
        this->insertRow(caller, std::move(entry), now);
        return;
    }
    if (this->blackboard.jobs.contains(id)) {
        answerWithRefusal(this->outbox, caller, Utils::HttpStatus::conflict, "a job with this idempotencyKey exists");
        return;
    }
    entry.attachedCaller = caller;
    this->outbox.log(Event::JobAccepted, id.value() + " attached");
    this->blackboard.jobs.emplace(id, std::move(entry));
    this->nextPlan = now;
}

void JobController::insertRow(CallerId caller, JobEntry entry, SteadyTime now)
{
    const JobId id = entry.record.id;
    if (this->submissions.contains(id)) {
        answerWithRefusal(this->outbox, caller, Utils::HttpStatus::conflict,
            "another submission of this job is in progress", notReadyRetryAfter);
        return;
    }
    entry.record.nonce = this->random.bits();
    RowChange change { .key = Model::jobRowKey(entry.record.zone, id),
        .value = Utils::toText(Model::jobToJson(entry.record)),
        .priority = WritePriority::Job };
    Submission& submission = this->submissions[id];
    submission = { .caller = caller, .entry = std::move(entry), .deadline = now + submissionBound };
    submission.write = this->writer.write(
        std::move(change), [this, id](const RowOutcome& outcome, SteadyTime at) { this->onInserted(id, outcome, at); },
        now);
}

void JobController::onInserted(const JobId& job, const RowOutcome& outcome, SteadyTime now)
{
    auto node = this->submissions.extract(job);
    if (node.empty())
        return;
    Submission& submission = node.mapped();
    if (const auto* written = std::get_if<RowWritten>(&outcome)) {
        submission.entry.version = written->version;
        submission.entry.queuedSince = now;
        this->outbox.log(Event::JobAccepted, job.value());
        if (submission.caller != 0)
            answerWithDocument(
                this->outbox, submission.caller, Utils::HttpStatus::accepted, publicJob(submission.entry.record));
        JobEntry& entry = this->blackboard.jobs.insert_or_assign(job, std::move(submission.entry)).first->second;
        if (this->released)
            this->releaseEntry(entry, now);
        this->nextPlan = now;
        return;
    }
    if (submission.caller == 0)
        return;
    const std::optional<JobRecord> existing = Model::jobFromText(std::get<RowConflict>(outcome).current.value);
    const bool same = existing && existing->specification.payload == submission.entry.record.specification.payload
        && existing->specification.shape == submission.entry.record.specification.shape;
    if (same)
        answerWithDocument(this->outbox, submission.caller, Utils::HttpStatus::ok, publicJob(*existing));
    else
        answerWithRefusal(this->outbox, submission.caller, Utils::HttpStatus::unprocessable,
            "the idempotencyKey belongs to another job");
}

void JobController::expireSubmissions(SteadyTime now)
{
    for (auto entry = this->submissions.begin(); entry != this->submissions.end();) {
        Submission& submission = entry->second;
        if (now < submission.deadline || submission.caller == 0) {
            ++entry;
            continue;
        }
        if (this->writer.cancel(submission.write)) {
            answerWithRefusal(this->outbox, submission.caller, Utils::HttpStatus::unavailable,
                "the table service did not store the job within " + std::to_string(submissionBound.count()) + " ms",
                tableRetryAfter);
            entry = this->submissions.erase(entry);
            continue;
        }
        answerWithDocument(this->outbox, submission.caller, Utils::HttpStatus::gatewayTimeout,
            { { "outcome", "unknown" }, { "id", entry->first },
                { "reason", "the table service did not answer; query the job by its id" } },
            tableRetryAfter);
        submission.caller = 0;
        ++entry;
    }
}

void JobController::persist(JobEntry& entry, SteadyTime now)
{
    if (entry.record.specification.attached)
        return;
    if (entry.writeInFlight) {
        entry.changedDuringWrite = true;
        return;
    }
    entry.writeInFlight = true;
    entry.changedDuringWrite = false;
    entry.record.nonce = this->random.bits();
    RowChange change { .key = Model::jobRowKey(entry.record.zone, entry.record.id),
        .expected = entry.version,
        .value = Utils::toText(Model::jobToJson(entry.record)),
        .priority = WritePriority::Job };
    this->writer.write(
        std::move(change),
        [this, job = entry.record.id](
            const RowOutcome& outcome, SteadyTime at) { this->onPersisted(job, outcome, at); },
        now);
}

void JobController::onPersisted(const JobId& job, const RowOutcome& outcome, SteadyTime now)
{
    JobEntry* entry = this->find(job);
    if (!entry)
        return;
    entry->writeInFlight = false;
    if (const auto* conflict = std::get_if<RowConflict>(&outcome)) {
        this->onRowChanged(*entry, conflict->current, now);
        return;
    }
    entry->version = std::get<RowWritten>(outcome).version;
    if (entry->changedDuringWrite) {
        this->persist(*entry, now);
        return;
    }
    if (entry->record.owner.empty()) {
        this->dropJob(job);
        return;
    }
    if (entry->record.state == JobState::Starting)
        this->startAttempt(*entry, now);
}

void JobController::startAttempt(JobEntry& entry, SteadyTime now)
{
    if (std::exchange(entry.startSent, true))
        return;
    entry.mayHaveRun = true;
    this->gangs.start(entry.record.id, now);
}

void JobController::onRowChanged(JobEntry& entry, const Model::TableRow& row, SteadyTime now)
{
    const JobId job = entry.record.id;
    const std::optional<JobRecord> current = Model::jobFromText(row.value);
    const bool stillOwned = current && current->owner == this->blackboard.self.host
        && current->ownerIncarnation == this->blackboard.self.incarnation;
    if (!stillOwned) {
        this->outbox.log(Event::JobLost, job.value());
        this->dropJob(job);
        return;
    }
    entry.version = row.version;
    entry.changedDuringWrite = false;
    const bool newlyCancelled = current->cancelRequested && !entry.record.cancelRequested;
    entry.record.cancelRequested = current->cancelRequested;
    if (newlyCancelled && !Model::isFinal(entry.record.state)) {
        this->cancelEntry(entry, now);
        return;
    }
    this->persist(entry, now);
}

void JobController::dropJob(const JobId& job)
{
    this->gangs.forget(job);
    this->blackboard.jobs.erase(job);
}

} // namespace WisteriaHill::Controllers
