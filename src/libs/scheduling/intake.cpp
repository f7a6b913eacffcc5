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
constexpr int maximumRefusedAttempts = 3; ///< limit for a submission of which the store has refused every attempt
constexpr Duration retryAfterStoreFailure { 1000 };
constexpr std::size_t maximumCachedStates = 20'000;

RowKey jobRow(const std::string& id) { return { StoreTable::jobs, StoreTable::intakePartition, id }; }

RowKey stateRow(const std::string& id) { return { StoreTable::states, StoreTable::schedulerPartition, id }; }

CallerAnswer storeUnavailable(CallerOutcome outcome)
{
    return { .outcome = outcome, .retryAfter = retryAfterStoreFailure, .reason = "the state store does not answer" };
}

} // namespace

struct Intake::Submission {
    JobRecord record;
    SteadyTime deadline {};
    int attempts = 0;
    bool uncertain = false; ///< an attempt had no answer
    AnswerCallback answer;
};

struct Intake::JobRequest {
    std::string id;
    SteadyTime deadline {};
    RowVersion version = 0;
    AnswerCallback answer;
    bool cancelling = false;
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
    return this->clock() + answerMargin < deadline && !this->storeFails();
}

std::optional<CallerAnswer> Intake::admit(
    const CallerContext& context, const Queue*& queue, const ClientAccount*& account)
{
    std::optional<CallerAnswer> refusal;
    if (!this->configuration) {
        refusal = {
            .outcome = CallerOutcome::NotReady, .retryAfter = retryAfterStoreFailure, .reason = "no configuration yet"
        };
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
    if (this->storeFails()) {
        this->refuse(id, storeUnavailable(CallerOutcome::NotAccepted), answer);
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
    submission->answer = std::move(answer);
    this->sendSubmission(submission);
}

void Intake::sendSubmission(const std::shared_ptr<Submission>& submission)
{
    ++submission->attempts;
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
    if (std::holds_alternative<Committed>(result) || conflict) {
        // The id exists already, from an earlier attempt of this submission or an earlier submission by the client.
        this->effects.log(Event::JobStored,
            { { "job", id }, { "queue", submission->record.pathPrefix }, { "account", submission->record.account },
                { "sendings", submission->attempts }, { "known", conflict != nullptr },
                { "configuration", this->configuration->version } });
        submission->answer({ .outcome = CallerOutcome::Accepted });
        return;
    }
    if (std::get<StoreError>(result) == StoreError::Invalid) {
        this->refuse(id, { .outcome = CallerOutcome::Malformed, .reason = "the job is too large to be stored" },
            submission->answer);
        return;
    }
    const bool uncertain = std::get<StoreError>(result) == StoreError::Unknown;
    submission->uncertain = submission->uncertain || uncertain;
    const bool tryAgain = submission->uncertain || submission->attempts < maximumRefusedAttempts;
    if (tryAgain && this->mayRetry(submission->deadline)) {
        this->sendSubmission(submission);
        return;
    }
    if (!submission->uncertain) {
        this->refuse(id, storeUnavailable(CallerOutcome::NotAccepted), submission->answer);
        return;
    }
    this->effects.log(Event::JobUncertain, { { "job", id }, { "sendings", submission->attempts } });
    submission->answer(storeUnavailable(CallerOutcome::Uncertain));
}

void Intake::cancel(const CallerContext& context, const std::string& id, AnswerCallback answer)
{
    const Queue* queue = nullptr;
    const ClientAccount* account = nullptr;
    if (const std::optional<CallerAnswer> refusal = this->admit(context, queue, account)) {
        answer(*refusal);
        return;
    }
    auto request = std::make_shared<JobRequest>();
    request->id = id;
    request->deadline = this->clock() + context.deadline;
    request->answer = std::move(answer);
    request->cancelling = true;
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
    } else if (this->mayRetry(request->deadline)) {
        this->sendCancel(request);
    } else {
        request->answer(storeUnavailable(CallerOutcome::Uncertain));
    }
}

void Intake::state(const CallerContext& context, const std::string& id, AnswerCallback answer)
{
    const Queue* queue = nullptr;
    const ClientAccount* account = nullptr;
    if (const std::optional<CallerAnswer> refusal = this->admit(context, queue, account)) {
        answer(*refusal);
        return;
    }
    const auto ended = this->finalStates.find(id);
    if (ended != this->finalStates.end()) {
        answer({ .outcome = CallerOutcome::State, .state = ended->second });
        return;
    }
    auto request = std::make_shared<JobRequest>();
    request->id = id;
    request->deadline = this->clock() + context.deadline;
    request->answer = std::move(answer);
    this->readState(request);
}

void Intake::readState(const std::shared_ptr<JobRequest>& request)
{
    this->effects.push(ReadCall { .range = singleRow(stateRow(request->id)),
        .timeout = this->timeoutWithin(request->deadline),
        .done = [this, request](const ReadResult& result) {
            const auto* page = std::get_if<RowPage>(&result);
            if (!page && this->mayRetry(request->deadline)) {
                this->readState(request);
                return;
            }
            if (!page) {
                this->effects.log(Event::StatusUnknown, { { "job", request->id } });
                request->answer(storeUnavailable(CallerOutcome::NotReady));
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
            if (*state != JobState::Queued && *state != JobState::Running) {
                if (this->finalStates.size() >= maximumCachedStates)
                    this->finalStates.clear();
                this->finalStates[request->id] = *state;
            }
            request->answer({ .outcome = CallerOutcome::State, .state = *state });
        } });
}

void Intake::readJob(const std::shared_ptr<JobRequest>& request)
{
    this->effects.push(ReadCall { .range = singleRow(jobRow(request->id)),
        .timeout = this->timeoutWithin(request->deadline),
        .done = [this, request](const ReadResult& result) {
            const auto* page = std::get_if<RowPage>(&result);
            if (!page && this->mayRetry(request->deadline)) {
                this->readJob(request);
            } else if (!page) {
                this->effects.log(Event::StatusUnknown, { { "job", request->id } });
                request->answer(storeUnavailable(CallerOutcome::NotReady));
            } else if (page->rows.empty()) {
                request->answer({ .outcome = CallerOutcome::UnknownJob, .reason = "no such job" });
            } else if (request->cancelling) {
                request->version = page->rows.front().version;
                this->sendCancel(request);
            } else {
                request->answer({ .outcome = CallerOutcome::State, .state = JobState::Queued });
            }
        } });
}

} // namespace WisteriaHill::Scheduling
