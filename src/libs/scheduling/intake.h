/// Handles client requests: submission, cancellation and state of jobs; admits requests for the counts of queues.
#pragma once

#include "scheduling/calls/returntimes.h"
#include "scheduling/calls/submissionpolicy.h"
#include "scheduling/effects.h"
#include "scheduling/fleetconfiguration.h"
#include "scheduling/rowcodec.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace WisteriaHill::Scheduling {

enum class CallerOutcome {
    Accepted, ///< the job or its cancellation is stored
    State, ///< the answer carries a job's state
    Pending, ///< the answer carries the number of pending jobs
    NotAccepted, ///< the job was not and will not be stored; the client may retry after `retryAfter`
    Uncertain, ///< the store did not answer; the client may repeat the request under the same id
    UnknownQueue,
    UnknownKey,
    UnknownJob,
    Malformed,
    NotReady, ///< this daemon cannot answer now
};

struct CallerAnswer {
    CallerOutcome outcome = CallerOutcome::NotReady;
    JobState state = JobState::Queued;
    std::int64_t pending = 0;
    Duration retryAfter { 0 };
    std::string reason;
};

/// Target, key and deadline of a client request.
struct CallerContext {
    std::string host;
    std::string path;
    std::string key;
    Duration deadline { 3000 }; ///< time from the request within which the client expects the answer
    bool anyQueue = false; ///< the job may belong to any queue, as in an interface that names jobs by their id alone
};

using AnswerCallback = std::function<void(const CallerAnswer&)>;

/// Handlers that a client interface calls for requests about jobs; each request is answered exactly once.
struct CallerHandlers {
    std::function<void(const CallerContext&, const std::string& id, JobSpecification, AnswerCallback)> submit;
    std::function<void(const CallerContext&, const std::string& id, AnswerCallback)> cancel;
    std::function<void(const CallerContext&, const std::string& id, AnswerCallback)> state;
};

/// Carries out client requests through the state store. Thread safety: none.
class Intake {
public:
    /// `evidence` returns what is known of the store; when it fails, clients get an answer at once.
    Intake(Effects& effects, std::function<SteadyTime()> clock, std::function<Calls::StoreEvidence()> evidence)
        : effects(effects)
        , clock(std::move(clock))
        , evidence(std::move(evidence))
    {
    }

    void setConfiguration(std::shared_ptr<const FleetConfiguration> inForce)
    {
        this->configuration = std::move(inForce);
        this->configurationSince = this->clock();
    }

    /// Finds the queue of a request and checks its key. Returns std::nullopt and sets `queue` and `account` when the
    /// request is admitted, otherwise the refusal, which is logged with the version it rests on. `account` is null for
    /// a request without a known key to an anonymous queue.
    std::optional<CallerAnswer> admit(const CallerContext& context, const Queue*& queue, const ClientAccount*& account);

    /// Stores a job. `answer` is called exactly once.
    void submit(const CallerContext& context, const std::string& id, JobSpecification specification, StoreTime storeNow,
        AnswerCallback answer);

    /// Stores a request to cancel a job. `answer` is called exactly once.
    void cancel(const CallerContext& context, const std::string& id, AnswerCallback answer);

    /// Reads the state of a job. `answer` is called exactly once.
    void state(const CallerContext& context, const std::string& id, AnswerCallback answer);

    /// Makes the calls to the store whose pause is over.
    void tick(SteadyTime now);

    /// Begins no further call to the store; calls of clients that wait for one are answered.
    void stop();

private:
    struct Submission;
    struct JobRequest;

    /// To whom a job belongs.
    struct Owner {
        std::string host; ///< of the queue
        std::string pathPrefix;
        std::string account; ///< empty when the job was submitted without a key
    };

    struct KnownJob {
        Owner owner;
        std::optional<JobState> finalState; ///< a final state never changes
    };

    /// Carries out the next step of a submission; `waited` as in Calls::nextStep().
    void advance(const std::shared_ptr<Submission>& submission, bool waited = false);
    void sendSubmission(const std::shared_ptr<Submission>& submission);
    void askForJob(const std::shared_ptr<Submission>& submission);
    void acceptSubmission(const std::shared_ptr<Submission>& submission, bool known);
    void refuseSubmission(const std::shared_ptr<Submission>& submission);
    void leaveOpen(const std::shared_ptr<Submission>& submission, const std::string& reason);
    void handleSubmissionResult(const std::shared_ptr<Submission>& submission, const CommitResult& result);
    void sendCancel(const std::shared_ptr<JobRequest>& request);
    void handleCancelResult(const std::shared_ptr<JobRequest>& request, const CommitResult& result);
    /// Admits a request about a job; null when it was answered with a refusal.
    std::shared_ptr<JobRequest> makeRequest(const CallerContext& context, const std::string& id, AnswerCallback answer);
    /// Answers that the state of the job can't be read now.
    void answerUnknown(const JobRequest& request);
    void readState(const std::shared_ptr<JobRequest>& request);
    void handleState(const std::shared_ptr<JobRequest>& request, JobState state);
    void readJob(const std::shared_ptr<JobRequest>& request);
    void handleJob(const std::shared_ptr<JobRequest>& request, const Row& row);
    void handleTakenId(const std::shared_ptr<Submission>& submission, const Owner& owner);
    void logForeignJob(const std::string& id, const char* call, const Owner& caller, const Owner& owner);
    static Owner ownerOf(const JobRecord& record);
    KnownJob& remember(const std::string& id, Owner owner);
    /// True when a caller may see and cancel a job. A caller without an account has been admitted by an anonymous
    /// queue, and a job without one was; only the queue is compared then.
    static bool mayAccess(const Owner& owner, const Owner& caller, bool anyQueue);
    void logRefusal(Utils::Json fields, const CallerAnswer& answer);
    void refuse(const std::string& id, const CallerAnswer& answer, const AnswerCallback& reply);
    bool mayRetry(SteadyTime deadline) const;
    /// Calls `action` once the pause is over, or when this daemon stops.
    void later(Duration pause, std::function<void()> action);
    /// `patience` as in Calls::ReturnTimes.
    CallerAnswer storeUnavailable(CallerOutcome outcome, const std::string& id, Duration patience);
    /// Repeats `call` after a pause, or ends the request when its time is over.
    void repeat(const std::shared_ptr<JobRequest>& request, void (Intake::*call)(const std::shared_ptr<JobRequest>&));
    /// Time-out of a store call that leaves time to answer the client before its deadline.
    Duration timeoutWithin(SteadyTime deadline) const;

    Effects& effects;
    std::function<SteadyTime()> clock;
    std::function<Calls::StoreEvidence()> evidence;
    Calls::ReturnTimes returnTimes;
    std::vector<std::pair<SteadyTime, std::function<void()>>> pauses; ///< what follows them, and when
    bool stopping = false;
    std::shared_ptr<const FleetConfiguration> configuration;
    SteadyTime configurationSince {}; ///< when `configuration` was set
    std::unordered_map<std::string, KnownJob> knownJobs; ///< cache by job id
};

/// The job id after the queue's prefix in a request path; std::nullopt when it is not 16 hexadecimal digits.
std::optional<std::string> jobIdInPath(const std::string& path, const Queue& queue);

} // namespace WisteriaHill::Scheduling
