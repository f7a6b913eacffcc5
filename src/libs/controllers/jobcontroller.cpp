#include "controllers/jobcontroller.h"

#include "controllers/documentanswers.h"
#include "utils/httpstatus.h"

#include <algorithm>
#include <tuple>

namespace WisteriaHill::Controllers {

namespace {

using Model::JobEntry;
using Model::JobId;
using Model::JobRecord;
using Model::JobState;
using Utils::Event;
using Utils::Json;

constexpr Duration planInterval { 50 };
constexpr Duration commitBound { 3000 };
constexpr Duration notReadyRetryAfter { 1000 };
constexpr Duration firstBackoff { 100 };
constexpr Duration afterFailureBackoff { 1000 };
constexpr Duration finalJobRetention = std::chrono::minutes(10);
constexpr std::size_t maximumFinalJobs = 500;
constexpr std::size_t maximumFailedServers = 3;
constexpr std::uint32_t maximumTaskFailures = 10;
constexpr const char* stoppingReason = "this entry host is stopping; use another one";

} // namespace

JobController::JobController(Model::Blackboard& blackboard, Outbox& outbox, TableWriter& writer, LeaseGateway& gateway,
    ServerHealthController& health, Utils::RandomSource& random)
    : blackboard(blackboard)
    , outbox(outbox)
    , writer(writer)
    , health(health)
    , random(random)
    , gangs(blackboard, outbox, gateway,
          { .reserved = [this](const JobId& job, SteadyTime now) { this->onGangReserved(job, now); },
              .running = [this](const JobId& job, SteadyTime now) { this->onGangRunning(job, now); },
              .ended
              = [this](const JobId& job, const GangEnd& end, SteadyTime now) { this->onGangEnded(job, end, now); } })
    , sessions(blackboard, outbox, writer, random,
          [this](const LapsedSession& session, SteadyTime now) { this->takeOver(session, now); })
    , queries(blackboard, outbox, writer, random)
    , takeover(blackboard, outbox, writer, random,
          { .takenOver = [this](const JobRecord& record, Model::RowVersion version,
                             SteadyTime now) { this->onTakenOver(record, version, now); },
              .finished
              = [this](const LapsedSession& session, SteadyTime now) { this->sessions.remove(session, now); } })
{
}

JobEntry* JobController::find(const JobId& job)
{
    const auto found = this->blackboard.jobs.find(job);
    return found == this->blackboard.jobs.end() ? nullptr : &found->second;
}

void JobController::tick(SteadyTime now)
{
    if (!this->blackboard.configuration)
        return;
    this->sessions.tick(now);
    this->gangs.tick(now);
    this->expireSubmissions(now);
    this->enforceCommitBound(now);
    this->enforceHardLimits(now);
    this->recheckFeasibility(now);
    if (now >= this->nextPlan) {
        this->nextPlan = now + planInterval;
        this->planQueue(now);
        this->forgetOldFinalJobs(now);
    }
}

std::vector<JobEntry*> JobController::plannableJobs(SteadyTime now)
{
    std::map<Model::ClientAccountId, double> usage;
    std::vector<JobEntry*> queue;
    for (auto& [id, entry] : this->blackboard.jobs) {
        const Model::JobSpecification& specification = entry.record.specification;
        if (entry.record.state == JobState::Running && specification.guarantee.empty())
            usage[specification.account] += specification.shape.accelerators();
        const bool durable = !specification.attached;
        const bool mayStart
            = !durable || (this->writer.available() && this->sessions.holdsSession(now) && !entry.writeInFlight);
        if (entry.record.state == JobState::Queued && now >= entry.notBefore && mayStart)
            queue.push_back(&entry);
    }
    const Model::Configuration& configuration = *this->blackboard.configuration;
    for (auto& [account, accelerators] : usage) {
        const auto known = configuration.accounts.find(account);
        accelerators /= known == configuration.accounts.end() ? 1 : known->second.weight;
    }
    const auto rank = [&](const JobEntry* entry) {
        const Model::JobSpecification& specification = entry->record.specification;
        const bool aged = now - entry->queuedSince >= configuration.policy.agingBound;
        const auto used = usage.find(specification.account);
        return std::tuple(!specification.urgent, specification.guarantee.empty(), !aged,
            used == usage.end() ? 0.0 : used->second, entry->queuedSince);
    };
    std::ranges::stable_sort(queue, {}, rank);
    return queue;
}

void JobController::planQueue(SteadyTime now)
{
    if (this->released || !this->blackboard.ownZone())
        return;
    const std::vector<JobEntry*> queue = this->plannableJobs(now);
    if (queue.empty())
        return;
    PlannerZone zone = makePlannerZone(this->blackboard);
    for (JobEntry* entry : queue)
        this->planJob(*entry, zone, now);
}

std::map<Model::BackendServerId, Model::AcceleratorSet> JobController::heldBySiblings(const JobEntry& entry) const
{
    std::map<Model::BackendServerId, Model::AcceleratorSet> held;
    for (const auto& [id, other] : this->blackboard.jobs) {
        const bool sibling = &other != &entry && !Model::isFinal(other.record.state)
            && other.record.specification.guarantee == entry.record.specification.guarantee;
        if (!sibling)
            continue;
        for (const Model::PlacementMember& member : other.record.placement)
            held[member.server] |= member.accelerators;
    }
    return held;
}

PlacementRequest JobController::placementRequest(const JobEntry& entry, bool aged) const
{
    const Model::JobSpecification& specification = entry.record.specification;
    PlacementRequest request { .shape = specification.shape,
        .mayEvict = specification.urgent || aged,
        .avoid = entry.failedOn,
        .blocked = entry.blocked };
    const auto home = this->blackboard.layout.homes.find(specification.guarantee);
    if (home != this->blackboard.layout.homes.end()) {
        request.home = &home->second;
        request.heldBySiblings = this->heldBySiblings(entry);
    }
    return request;
}

void JobController::planJob(JobEntry& entry, PlannerZone& zone, SteadyTime now)
{
    const bool aged = now - entry.queuedSince >= this->blackboard.configuration->policy.agingBound;
    PlacementRequest request = this->placementRequest(entry, aged);
    PlacementResult result = planPlacement(zone, request);
    // If the gang fits nowhere else, a server on which the job failed before is used again.
    if (std::holds_alternative<PlacementRefusal>(result) && !request.avoid.empty()) {
        request.avoid.clear();
        result = planPlacement(zone, request);
    }
    entry.blocked.clear();
    if (const auto* refusal = std::get_if<PlacementRefusal>(&result)) {
        entry.record.reason = refusal->reason;
        entry.addToHistory(now, "waits: " + refusal->reason);
        return;
    }
    auto& plan = std::get<PlacementPlan>(result);
    // The planned accelerators count as held until the servers report again.
    std::size_t index = 0;
    for (const Model::PlacementMember& member : plan.members) {
        while (zone.zone.servers[index].id != member.server)
            ++index;
        zone.servers[index].free &= ~member.accelerators;
        zone.servers[index].preemptible &= ~member.accelerators;
        Model::ServerView& view = this->blackboard.servers.at(member.server);
        view.free &= ~member.accelerators;
        view.preemptible &= ~member.accelerators;
    }
    this->beginAttempt(entry, std::move(plan), aged, now);
}

Model::LeaseTerms JobController::termsOf(const JobEntry& entry) const
{
    const Model::JobSpecification& specification = entry.record.specification;
    return { .job = entry.record.id,
        .account = specification.account,
        .guarantee = specification.guarantee,
        .attempt = entry.record.attempt,
        .gangToken = entry.record.gangToken,
        .members = entry.record.placement };
}

void JobController::beginAttempt(JobEntry& entry, PlacementPlan plan, bool aged, SteadyTime now)
{
    const Model::Policy& policy = this->blackboard.configuration->policy;
    const Model::JobSpecification& specification = entry.record.specification;
    std::string note
        = "reserves " + std::to_string(plan.members.size()) + " servers from " + plan.members.front().server.value();
    note += plan.atHome ? " at its guarantee's home" : "";
    note += plan.borrows ? " on another guarantee's home" : "";
    note += plan.evicts ? ", evicting what stands there" : "";
    entry.addToHistory(now, note);
    this->outbox.log(Event::JobPlaced, entry.record.id.value() + " " + note);

    entry.startSent = false;
    entry.record.state = JobState::Reserving;
    entry.record.reason = note;
    entry.record.gangToken = this->random.bits();
    entry.record.placement = plan.members;
    GangAttempt attempt { .terms = this->termsOf(entry),
        .plan = std::move(plan),
        .payload = specification.payload,
        .grace = specification.urgent ? policy.urgentGrace : policy.reclaimGrace,
        .resumeFrom = entry.record.checkpointed };
    ++attempt.terms.attempt;
    attempt.terms.preemptible = !specification.urgent && !aged && !attempt.plan.atHome;
    this->gangs.reserve(std::move(attempt), now);
}

void JobController::onGangReserved(const JobId& job, SteadyTime now)
{
    JobEntry* entry = this->find(job);
    if (!entry)
        return;
    ++entry->record.attempt;
    entry->record.state = JobState::Starting;
    entry->runningSince = now;
    entry->addToHistory(now, "every member is reserved");
    if (entry->record.specification.attached) {
        this->startAttempt(*entry, now);
        return;
    }
    this->persist(*entry, now);
}

void JobController::onGangRunning(const JobId& job, SteadyTime now)
{
    JobEntry* entry = this->find(job);
    if (!entry)
        return;
    entry->record.state = JobState::Running;
    entry->record.reason = "every member runs";
    entry->runningSince = now;
    entry->addToHistory(now, "every member confirmed its start");
    ++this->blackboard.counters.gangsStarted;
    this->outbox.log(Event::JobRunning, job.value());
}

void JobController::onGangEnded(const JobId& job, const GangEnd& end, SteadyTime now)
{
    JobEntry* entry = this->find(job);
    if (!entry)
        return;
    entry->mayHaveRun = entry->mayHaveRun || end.mayHaveRun;
    entry->addToHistory(now, "attempt ended: " + end.reason);
    if (entry->record.cancelRequested && end.kind != GangEndKind::Finished) {
        this->finish(*entry, JobState::Cancelled, "cancelled by its client account", now);
        return;
    }
    if (end.kind == GangEndKind::Finished) {
        for (const Model::PlacementMember& member : entry->record.placement)
            this->health.recordSuccess(member.server, now);
        for (const Model::BackendServerId& failed : entry->failedOn)
            this->health.recordFailure(failed, now);
        this->finish(*entry, JobState::Finished, "every member finished", now);
        return;
    }
    if (end.kind == GangEndKind::Stopped) {
        this->finish(*entry, JobState::Failed, end.reason, now);
        return;
    }
    this->requeue(*entry, end, now);
}

void JobController::requeue(JobEntry& entry, const GangEnd& end, SteadyTime now)
{
    if (end.kind == GangEndKind::TaskFailed) {
        entry.failedOn.insert(end.failedServer);
        ++entry.failures;
        if (entry.failedOn.size() >= maximumFailedServers || entry.failures >= maximumTaskFailures) {
            this->finish(entry, JobState::Failed, end.reason + "; tasks of the job fail again and again", now);
            return;
        }
    }
    if (this->released && entry.record.specification.attached) {
        this->finish(entry, JobState::Failed, stoppingReason, now);
        return;
    }
    if (end.mayHaveRun && !entry.record.specification.idempotent) {
        this->finish(entry, JobState::Failed, end.reason + "; it may have run and is not started twice", now);
        return;
    }
    ++this->blackboard.counters.gangsRequeued;
    this->outbox.log(Event::JobRequeued, entry.record.id.value() + ": " + end.reason);
    entry.blocked = end.blocked;
    entry.record.checkpointed = std::max(entry.record.checkpointed, end.checkpointed);
    entry.record.state = JobState::Queued;
    entry.record.placement.clear();
    entry.record.reason = end.reason;
    const bool failed = end.kind == GangEndKind::TaskFailed || end.kind == GangEndKind::MemberLost;
    const std::uint32_t repeated = 1 + entry.failures * entry.failures;
    entry.notBefore = now + this->random.jittered(failed ? afterFailureBackoff * repeated : firstBackoff);
    if (end.kind != GangEndKind::NotReserved || entry.record.attempt > 0)
        this->persist(entry, now);
}

void JobController::finish(JobEntry& entry, JobState state, std::string reason, SteadyTime now)
{
    entry.record.state = state;
    entry.record.reason = std::move(reason);
    entry.finalSince = now;
    entry.addToHistory(now, std::string(Model::jobStateName(state)) + ": " + entry.record.reason);
    const Event event = state == JobState::Finished ? Event::JobFinished
        : state == JobState::Cancelled              ? Event::JobCancelled
        : state == JobState::Rejected               ? Event::JobRejected
                                                    : Event::JobFailed;
    this->outbox.log(event, entry.record.id.value() + ": " + entry.record.reason);
    this->persist(entry, now);
    this->answerAttached(entry);
}

void JobController::answerAttached(JobEntry& entry)
{
    if (entry.attachedCaller == 0)
        return;
    const bool finished = entry.record.state == JobState::Finished;
    Json document = publicJob(entry.record);
    document["outcome"] = finished ? "completed" : entry.mayHaveRun ? "unknown" : "notRun";
    const int status = finished ? Utils::HttpStatus::ok
        : entry.mayHaveRun      ? Utils::HttpStatus::badGateway
                                : Utils::HttpStatus::unavailable;
    const std::optional<Duration> retryAfter = finished ? std::nullopt : std::optional(notReadyRetryAfter);
    answerWithDocument(this->outbox, std::exchange(entry.attachedCaller, 0), status, std::move(document), retryAfter);
}

void JobController::enforceCommitBound(SteadyTime now)
{
    for (auto& [id, entry] : this->blackboard.jobs) {
        const bool uncommitted = entry.record.state == JobState::Starting && entry.writeInFlight && !entry.startSent;
        if (uncommitted && now - entry.runningSince >= commitBound)
            this->gangs.abandonReservation(id, "the attempt could not be committed in time", now);
    }
}

void JobController::enforceHardLimits(SteadyTime now)
{
    const Model::Configuration& configuration = *this->blackboard.configuration;
    for (auto& [id, entry] : this->blackboard.jobs) {
        const auto account = configuration.accounts.find(entry.record.specification.account);
        const bool tooLong = entry.record.state == JobState::Running && account != configuration.accounts.end()
            && now - entry.runningSince >= account->second.hardRunLimit;
        if (!tooLong)
            continue;
        entry.record.state = JobState::Stopping;
        this->gangs.stop(id, "it ran longer than the client account's hard limit", now);
    }
}

void JobController::recheckFeasibility(SteadyTime now)
{
    if (this->checkedRevision == this->blackboard.configuration->revision)
        return;
    this->checkedRevision = this->blackboard.configuration->revision;
    for (auto& [id, entry] : this->blackboard.jobs) {
        if (entry.record.state != JobState::Queued || entry.writeInFlight)
            continue;
        const std::optional<std::string> refusal = this->refusalReason(entry.record.specification);
        if (refusal)
            this->finish(entry, JobState::Rejected, *refusal, now);
    }
}

void JobController::forgetOldFinalJobs(SteadyTime now)
{
    std::size_t finals = static_cast<std::size_t>(std::ranges::count_if(
        this->blackboard.jobs, [](const auto& entry) { return Model::isFinal(entry.second.record.state); }));
    std::erase_if(this->blackboard.jobs, [&](const auto& item) {
        const JobEntry& entry = item.second;
        const bool settled = Model::isFinal(entry.record.state) && !entry.writeInFlight;
        const bool old = settled && (now - entry.finalSince >= finalJobRetention || finals > maximumFinalJobs);
        finals -= old ? 1 : 0;
        return old;
    });
}

void JobController::cancelEntry(JobEntry& entry, SteadyTime now)
{
    entry.record.cancelRequested = true;
    if (this->gangs.contains(entry.record.id)) {
        entry.record.state = JobState::Stopping;
        this->gangs.stop(entry.record.id, "cancelled by its client account", now);
        return;
    }
    if (!Model::isFinal(entry.record.state))
        this->finish(entry, JobState::Cancelled, "cancelled by its client account", now);
}

bool JobController::cancelOwned(const JobId& job, SteadyTime now)
{
    JobEntry* entry = this->find(job);
    if (!entry || Model::isFinal(entry->record.state))
        return false;
    this->cancelEntry(*entry, now);
    return true;
}

void JobController::callerDisconnected(CallerId caller, SteadyTime now)
{
    for (auto& [id, entry] : this->blackboard.jobs) {
        if (entry.attachedCaller != caller)
            continue;
        entry.attachedCaller = 0;
        this->cancelEntry(entry, now);
        return;
    }
}

void JobController::cancel(CallerId caller, const Model::ClientAccountId& account, const JobId& job, SteadyTime now)
{
    JobEntry* entry = this->find(job);
    if (!entry || entry->record.specification.account != account) {
        this->queries.requestCancel(caller, account, job);
        return;
    }
    if (!Model::isFinal(entry->record.state))
        this->cancelEntry(*entry, now);
    answerWithDocument(this->outbox, caller, Utils::HttpStatus::accepted, publicJob(entry->record));
}

std::size_t JobController::unfinishedCount() const
{
    const auto open = std::ranges::count_if(
        this->blackboard.jobs, [](const auto& entry) { return !Model::isFinal(entry.second.record.state); });
    return static_cast<std::size_t>(open) + this->submissions.size();
}

Json JobController::dump(SteadyTime now) const
{
    Json jobs = Json::object();
    for (const auto& [id, entry] : this->blackboard.jobs) {
        Json job = publicJob(entry.record);
        job["account"] = entry.record.specification.account;
        job["inStateMs"] = std::chrono::duration_cast<Duration>(now - entry.queuedSince).count();
        jobs[id.value()] = std::move(job);
    }
    return { { "jobs", jobs }, { "gangs", this->gangs.openCount() },
        { "holdsSession", this->sessions.holdsSession(now) } };
}

} // namespace WisteriaHill::Controllers
