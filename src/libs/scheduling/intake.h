/// Handles client requests: submission, cancellation and state of jobs; admits requests for the counts of queues.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/fleetconfiguration.h"
#include "scheduling/rowcodec.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

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
    /// `storeFails` returns true when calls to the store have failed for a while; clients then get an answer at once.
    Intake(Effects& effects, std::function<SteadyTime()> clock, std::function<bool()> storeFails)
        : effects(effects)
        , clock(std::move(clock))
        , storeFails(std::move(storeFails))
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

private:
    struct Submission;
    struct JobRequest;

    void sendSubmission(const std::shared_ptr<Submission>& submission);
    void handleSubmissionResult(const std::shared_ptr<Submission>& submission, const CommitResult& result);
    void sendCancel(const std::shared_ptr<JobRequest>& request);
    void handleCancelResult(const std::shared_ptr<JobRequest>& request, const CommitResult& result);
    void readState(const std::shared_ptr<JobRequest>& request);
    void readJob(const std::shared_ptr<JobRequest>& request);
    void logRefusal(Utils::Json fields, const CallerAnswer& answer);
    void refuse(const std::string& id, const CallerAnswer& answer, const AnswerCallback& reply);
    bool mayRetry(SteadyTime deadline) const;
    /// Time-out of a store call that leaves time to answer the client before its deadline.
    Duration timeoutWithin(SteadyTime deadline) const;

    Effects& effects;
    std::function<SteadyTime()> clock;
    std::function<bool()> storeFails;
    std::shared_ptr<const FleetConfiguration> configuration;
    SteadyTime configurationSince {}; ///< when `configuration` was set
    std::unordered_map<std::string, JobState> finalStates; ///< cache by job id; a final state never changes
};

/// The job id after the queue's prefix in a request path; std::nullopt when it is not 16 hexadecimal digits.
std::optional<std::string> jobIdInPath(const std::string& path, const Queue& queue);

} // namespace WisteriaHill::Scheduling
