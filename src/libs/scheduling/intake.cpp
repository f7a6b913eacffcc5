#include "scheduling/intake.h"

#include <algorithm>
#include <cctype>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

constexpr std::size_t jobIdLength = 16;
constexpr Duration storeTimeout { 700 }; ///< the store answers in a few milliseconds unless it is disturbed
constexpr Duration minimumTimeout { 50 }; ///< a dozen round trips to the store
constexpr Duration answerMargin { 250 }; ///< part of the client's deadline that is left for the response
constexpr Duration askTimeout { 350 }; ///< of a read that only finds out whether the store answers
constexpr std::size_t maximumKnownJobs = 20'000;

RowKey jobRow(const std::string& id) { return { StoreTable::jobs, StoreTable::intakePartition, id }; }

RowKey stateRow(const std::string& id) { return { StoreTable::states, StoreTable::schedulerPartition, id }; }

/// The job that a submission met under its id; std::nullopt when its row cannot be read.
std::optional<JobRecord> storedJob(const Conflict& conflict, const std::string& id)
{
    const auto row = std::ranges::find(conflict.current, jobRow(id), &Row::key);
    return row == conflict.current.end() ? std::nullopt : decodeJob(row->value);
}

} // namespace

struct Intake::Submission {
    JobRecord record;
    SteadyTime deadline {};
    Duration patience { 0 }; ///< of the client, for one call
    int sendings = 0;
    Calls::SubmissionHistory history;
    AnswerCallback answer;
};

struct Intake::JobRequest {
    std::string id;
    SteadyTime deadline {};
    Duration patience { 0 }; ///< of the client, for one call
    RowVersion version = 0;
    AnswerCallback answer;
    bool cancelling = false;
    int failures = 0; ///< of calls to the store
    bool uncertain = false; ///< the cancellation may be stored
    Owner caller;
    bool anyQueue = false;
    std::optional<JobState> state; ///< read, and not answered until the owner is known
};

std::optional<std::string> jobIdInPath(const std::string& path, const Queue& queue)
{
    const std::string id = path.substr(std::min(path.size(), queue.pathPrefix.size()));
    const bool wellFormed = id.size() == jobIdLength
        && std::ranges::all_of(id, [](unsigned char letter) { return std::isxdigit(letter) != 0; });
    return wellFormed ? std::optional(id) : std::nullopt;
}

Duration Intake::timeoutWithin(SteadyTime deadline) const
{
    const auto left = std::chrono::duration_cast<Duration>(deadline - answerMargin - this->clock());
    return std::clamp(left, minimumTimeout, storeTimeout);
}

bool Intake::mayRetry(SteadyTime deadline) const
{
    return this->clock() + answerMargin < deadline && !this->evidence().failing && !this->stopping;
}

CallerAnswer Intake::storeUnavailable(CallerOutcome outcome, const std::string& id, Duration patience)
{
    return { .outcome = outcome,
        .retryAfter = this->returnTimes.afterOutage(this->evidence(), id, patience, this->clock()),
        .reason = "the state store does not answer" };
}

void Intake::later(Duration pause, std::function<void()> action)
{
    this->pauses.emplace_back(this->clock() + pause, std::move(action));
}

void Intake::tick(SteadyTime now)
{
    std::vector<std::function<void()>> due;
    std::erase_if(this->pauses, [&](auto& pause) {
        if (pause.first > now && !this->stopping)
            return false;
        due.push_back(std::move(pause.second));
        return true;
    });
    for (const std::function<void()>& action : due)
        action();
}

void Intake::stop()
{
    this->stopping = true;
    this->tick(this->clock());
}

std::optional<CallerAnswer> Intake::admit(
    const CallerContext& context, const Queue*& queue, const ClientAccount*& account)
{
    std::optional<CallerAnswer> refusal;
    if (!this->configuration) {
        refusal = { .outcome = CallerOutcome::NotReady,
            .retryAfter = Calls::ReturnTimes::elsewhere(),
            .reason = "no configuration yet" };
    } else if (queue = this->configuration->findQueue(context.host, context.path); !queue) {
        refusal = { .outcome = CallerOutcome::UnknownQueue, .reason = "no queue at this host and path" };
    } else if (account = this->configuration->accountOfKey(context.key); !account && !queue->anonymous) {
        refusal = { .outcome = CallerOutcome::UnknownKey, .reason = "the key belongs to no client account" };
    }
    if (refusal)
        this->logRefusal({ { "host", context.host }, { "path", context.path } }, *refusal);
    return refusal;
}

void Intake::logRefusal(Utils::Json fields, const CallerAnswer& answer)
{
    fields["reason"] = answer.reason;
    fields["retryAfterMs"] = answer.retryAfter.count();
    fields["configuration"] = this->configuration ? this->configuration->version : 0;
    fields["configurationAgeMs"]
        = std::chrono::duration_cast<Duration>(this->clock() - this->configurationSince).count();
    this->effects.log(Event::RequestRefused, std::move(fields));
}

void Intake::refuse(const std::string& id, const CallerAnswer& answer, const AnswerCallback& reply)
{
    this->logRefusal({ { "job", id } }, answer);
    reply(answer);
}

void Intake::submit(const CallerContext& context, const std::string& id, JobSpecification specification,
    StoreTime storeNow, AnswerCallback answer)
{
    const Queue* queue = nullptr;
    const ClientAccount* account = nullptr;
    if (const std::optional<CallerAnswer> refusal = this->admit(context, queue, account)) {
        answer(*refusal);
        return;
    }
    auto submission = std::make_shared<Submission>();
    submission->record = { .id = id,
        .host = queue->host,
        .pathPrefix = queue->pathPrefix,
        .account = account ? account->name : std::string(),
        .acceptedAt = storeNow,
        .specification = std::move(specification) };
    submission->deadline = this->clock() + context.deadline;
    submission->patience = context.deadline;
    submission->answer = std::move(answer);
    this->advance(submission);
}

void Intake::advance(const std::shared_ptr<Submission>& submission, bool waited)
{
    const auto left = std::chrono::duration_cast<Duration>(submission->deadline - answerMargin - this->clock());
    const Calls::SubmissionDecision decision
        = Calls::nextStep(submission->history, this->evidence(), left, waited, this->stopping);
    switch (decision.step) {
    case Calls::SubmissionStep::Ask:
        this->askForJob(submission);
        break;
    case Calls::SubmissionStep::Store:
        this->sendSubmission(submission);
        break;
    case Calls::SubmissionStep::Wait:
        this->later(decision.pause, [this, submission]() { this->advance(submission, true); });
        break;
    case Calls::SubmissionStep::Refuse:
        this->refuseSubmission(submission);
        break;
    case Calls::SubmissionStep::LeaveOpen:
        this->leaveOpen(submission, "the state store does not answer");
        break;
    }
}

void Intake::askForJob(const std::shared_ptr<Submission>& submission)
{
    const std::string& id = submission->record.id;
    this->effects.push(ReadCall { .range = singleRow(jobRow(id)),
        .timeout = std::min(askTimeout, this->timeoutWithin(submission->deadline)),
        .done = [this, submission](const ReadResult& result) {
            const auto* page = std::get_if<RowPage>(&result);
            submission->history.asked = page != nullptr;
            if (!page)
                ++submission->history.refusals;
            if (!page || page->rows.empty()) {
                this->advance(submission);
                return;
            }
            const std::optional<JobRecord> stored = decodeJob(page->rows.front().value);
            if (stored && !mayAccess(ownerOf(*stored), ownerOf(submission->record), false))
                this->handleTakenId(submission, ownerOf(*stored));
            else
                this->acceptSubmission(submission, true);
        } });
}

void Intake::acceptSubmission(const std::shared_ptr<Submission>& submission, bool known)
{
    const JobRecord& record = submission->record;
    this->effects.log(Event::JobStored,
        { { "job", record.id }, { "queue", record.pathPrefix }, { "account", record.account },
            { "sendings", submission->sendings }, { "known", known },
            { "configuration", this->configuration->version } });
    submission->answer({ .outcome = CallerOutcome::Accepted });
}

void Intake::refuseSubmission(const std::shared_ptr<Submission>& submission)
{
    CallerAnswer answer
        = this->storeUnavailable(CallerOutcome::NotAccepted, submission->record.id, submission->patience);
    if (this->stopping)
        answer.reason = "this entry host stops";
    this->refuse(submission->record.id, answer, submission->answer);
}

void Intake::leaveOpen(const std::shared_ptr<Submission>& submission, const std::string& reason)
{
    const Calls::StoreEvidence known = this->evidence();
    this->effects.log(Event::JobUncertain,
        { { "job", submission->record.id }, { "sendings", submission->sendings },
            { "refusals", submission->history.refusals }, { "failures", known.failures },
            { "silenceMs", known.silence.count() }, { "reason", reason } });
    CallerAnswer answer = this->storeUnavailable(CallerOutcome::Uncertain, submission->record.id, submission->patience);
    answer.reason = reason;
    submission->answer(answer);
}

void Intake::sendSubmission(const std::shared_ptr<Submission>& submission)
{
    ++submission->sendings;
    const RowKey key = jobRow(submission->record.id);
    this->effects.push(CommitCall {
        .transaction = { .expected = { { key, 0 } }, .writes = { { key, encodeJob(submission->record) } } },
        .timeout = this->timeoutWithin(submission->deadline),
        .done = [this, submission](const CommitResult& result) { this->handleSubmissionResult(submission, result); } });
}

void Intake::handleSubmissionResult(const std::shared_ptr<Submission>& submission, const CommitResult& result)
{
    const std::string& id = submission->record.id;
    const auto* conflict = std::get_if<Conflict>(&result);
    const Owner caller = ownerOf(submission->record);
    if (const std::optional<JobRecord> stored = conflict ? storedJob(*conflict, id) : std::nullopt;
        stored && !mayAccess(ownerOf(*stored), caller, false)) {
        this->handleTakenId(submission, ownerOf(*stored));
        return;
    }
    if (std::holds_alternative<Committed>(result) || conflict) {
        if (!conflict)
            this->remember(id, caller);
        // The id exists already, from an earlier attempt of this submission or an earlier submission by the client.
        this->acceptSubmission(submission, conflict != nullptr);
        return;
    }
    if (std::get<StoreError>(result) == StoreError::Invalid) {
        this->refuse(id, { .outcome = CallerOutcome::Malformed, .reason = "the job is too large to be stored" },
            submission->answer);
        return;
    }
    Calls::SubmissionHistory& history = submission->history;
    history.asked = false;
    if (std::get<StoreError>(result) == StoreError::Unknown)
        ++history.unanswered;
    else
        ++history.refusals;
    this->advance(submission);
}

std::shared_ptr<Intake::JobRequest> Intake::makeRequest(
    const CallerContext& context, const std::string& id, AnswerCallback answer)
{
    const Queue* queue = nullptr;
    const ClientAccount* account = nullptr;
    if (const std::optional<CallerAnswer> refusal = this->admit(context, queue, account)) {
        answer(*refusal);
        return nullptr;
    }
    auto request = std::make_shared<JobRequest>();
    request->id = id;
    request->deadline = this->clock() + context.deadline;
    request->patience = context.deadline;
    request->answer = std::move(answer);
    request->caller
        = { .host = queue->host, .pathPrefix = queue->pathPrefix, .account = account ? account->name : std::string() };
    request->anyQueue = context.anyQueue;
    return request;
}

bool Intake::mayAccess(const Owner& owner, const Owner& caller, bool anyQueue)
{
    if (anyQueue)
        return owner.account == caller.account;
    return owner.host == caller.host && owner.pathPrefix == caller.pathPrefix
        && (owner.account.empty() || caller.account.empty() || owner.account == caller.account);
}

Intake::KnownJob& Intake::remember(const std::string& id, Owner owner)
{
    if (this->knownJobs.size() >= maximumKnownJobs)
        this->knownJobs.clear();
    return this->knownJobs[id] = { .owner = std::move(owner), .finalState = {} };
}

void Intake::handleTakenId(const std::shared_ptr<Submission>& submission, const Owner& owner)
{
    const JobRecord& record = submission->record;
    this->logForeignJob(record.id, "submit", ownerOf(record), owner);
    if (submission->history.unanswered
        > 0) { // an earlier attempt may still be carried out once the other job is removed
        this->leaveOpen(submission, "the id belongs to another job");
        return;
    }
    this->refuse(record.id, { .outcome = CallerOutcome::NotAccepted, .reason = "the id belongs to another job" },
        submission->answer);
}

void Intake::logForeignJob(const std::string& id, const char* call, const Owner& caller, const Owner& owner)
{
    this->effects.log(Event::ForeignJob,
        { { "job", id }, { "call", call }, { "account", caller.account }, { "queue", caller.pathPrefix },
            { "owner", owner.account }, { "queueOfJob", owner.pathPrefix } });
}

Intake::Owner Intake::ownerOf(const JobRecord& record)
{
    return { .host = record.host, .pathPrefix = record.pathPrefix, .account = record.account };
}

void Intake::cancel(const CallerContext& context, const std::string& id, AnswerCallback answer)
{
    const std::shared_ptr<JobRequest> request = this->makeRequest(context, id, std::move(answer));
    if (!request)
        return;
    request->cancelling = true;
    if (this->evidence().failing)
        this->answerUnknown(*request);
    else
        this->readJob(request);
}

void Intake::sendCancel(const std::shared_ptr<JobRequest>& request)
{
    this->effects.push(CommitCall { .transaction = { .expected = { { jobRow(request->id), request->version } },
                                        .writes = { { jobRow(cancelKey(request->id)), "cancel" } } },
        .timeout = this->timeoutWithin(request->deadline),
        .done = [this, request](const CommitResult& result) { this->handleCancelResult(request, result); } });
}

void Intake::handleCancelResult(const std::shared_ptr<JobRequest>& request, const CommitResult& result)
{
    if (std::holds_alternative<Committed>(result)) {
        this->effects.log(Event::CancelStored, { { "job", request->id }, { "rowVersion", request->version } });
        request->answer({ .outcome = CallerOutcome::Accepted });
    } else if (std::holds_alternative<Conflict>(result)) {
        request->answer({ .outcome = CallerOutcome::UnknownJob, .reason = "no such job" });
    } else {
        request->uncertain = request->uncertain || std::get<StoreError>(result) == StoreError::Unknown;
        this->repeat(request, &Intake::sendCancel);
    }
}

void Intake::repeat(
    const std::shared_ptr<JobRequest>& request, void (Intake::*call)(const std::shared_ptr<JobRequest>&))
{
    if (!this->mayRetry(request->deadline)) {
        this->answerUnknown(*request);
        return;
    }
    this->later(Calls::pauseAfter(++request->failures), [this, request, call]() {
        if (this->mayRetry(request->deadline))
            (this->*call)(request);
        else
            this->answerUnknown(*request);
    });
}

void Intake::state(const CallerContext& context, const std::string& id, AnswerCallback answer)
{
    const std::shared_ptr<JobRequest> request = this->makeRequest(context, id, std::move(answer));
    if (!request)
        return;
    const auto known = this->knownJobs.find(id);
    if (known != this->knownJobs.end() && known->second.finalState
        && mayAccess(known->second.owner, request->caller, request->anyQueue)) {
        request->answer({ .outcome = CallerOutcome::State, .state = *known->second.finalState });
        return;
    }
    if (this->evidence().failing)
        this->answerUnknown(*request);
    else
        this->readState(request);
}

void Intake::answerUnknown(const JobRequest& request)
{
    this->effects.log(Event::StatusUnknown, { { "job", request.id } });
    request.answer(this->storeUnavailable(
        request.uncertain ? CallerOutcome::Uncertain : CallerOutcome::NotReady, request.id, request.patience));
}

void Intake::readState(const std::shared_ptr<JobRequest>& request)
{
    this->effects.push(ReadCall { .range = singleRow(stateRow(request->id)),
        .timeout = this->timeoutWithin(request->deadline),
        .done = [this, request](const ReadResult& result) {
            const auto* page = std::get_if<RowPage>(&result);
            if (!page) {
                this->repeat(request, &Intake::readState);
                return;
            }
            if (page->rows.empty()) {
                this->readJob(request);
                return;
            }
            const std::optional<JobState> state = decodeState(page->rows.front().value);
            if (!state) {
                this->effects.log(Event::RowUnreadable, { { "table", StoreTable::states }, { "key", request->id } });
                request->answer(
                    { .outcome = CallerOutcome::NotReady, .reason = "the stored state of the job is not readable" });
                return;
            }
            this->handleState(request, *state);
        } });
}

void Intake::handleState(const std::shared_ptr<JobRequest>& request, JobState state)
{
    const auto known = this->knownJobs.find(request->id);
    if (known == this->knownJobs.end() || !mayAccess(known->second.owner, request->caller, request->anyQueue)) {
        // The id may have been used again since the owner was read.
        request->state = state;
        this->readJob(request);
        return;
    }
    if (state != JobState::Queued && state != JobState::Running)
        known->second.finalState = state;
    request->answer({ .outcome = CallerOutcome::State, .state = state });
}

void Intake::readJob(const std::shared_ptr<JobRequest>& request)
{
    this->effects.push(ReadCall { .range = singleRow(jobRow(request->id)),
        .timeout = this->timeoutWithin(request->deadline),
        .done = [this, request](const ReadResult& result) {
            const auto* page = std::get_if<RowPage>(&result);
            if (!page) {
                this->repeat(request, &Intake::readJob);
            } else if (page->rows.empty()) {
                request->answer({ .outcome = CallerOutcome::UnknownJob, .reason = "no such job" });
            } else {
                this->handleJob(request, page->rows.front());
            }
        } });
}

void Intake::handleJob(const std::shared_ptr<JobRequest>& request, const Row& row)
{
    const std::optional<JobRecord> record = decodeJob(row.value);
    if (!record) {
        this->effects.log(Event::RowUnreadable, { { "table", StoreTable::jobs }, { "key", request->id } });
        request->answer({ .outcome = CallerOutcome::NotReady, .reason = "the stored job is not readable" });
        return;
    }
    const Owner owner = ownerOf(*record);
    KnownJob& known = this->remember(request->id, owner);
    if (!mayAccess(owner, request->caller, request->anyQueue)) {
        this->logForeignJob(request->id, request->cancelling ? "cancel" : "state", request->caller, owner);
        request->answer({ .outcome = CallerOutcome::UnknownJob, .reason = "no such job" });
        return;
    }
    if (request->cancelling) {
        request->version = row.version;
        this->sendCancel(request);
        return;
    }
    const JobState state = request->state.value_or(JobState::Queued);
    if (state != JobState::Queued && state != JobState::Running)
        known.finalState = state;
    request->answer({ .outcome = CallerOutcome::State, .state = state });
}

} // namespace WisteriaHill::Scheduling
