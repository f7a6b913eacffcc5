/// Takes calls of clients: submissions, cancellations, states of jobs and counts of queues.
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
    Accepted, ///< the job, or the wish to cancel it, is stored
    State, ///< the answer carries a job's state
    Pending, ///< the answer carries a count
    NotAccepted, ///< the job was not and will not be stored; come back later
    Uncertain, ///< the store did not say; submit again under the same id
    UnknownQueue,
    UnknownKey,
    UnknownJob,
    Malformed,
    NotReady, ///< this daemon can't tell now
};

struct CallerAnswer {
    CallerOutcome outcome = CallerOutcome::NotReady;
    JobState state = JobState::Queued;
    std::int64_t pending = 0;
    Duration retryAfter { 0 };
    std::string reason;
};

/// Who calls, where and for how long.
struct CallerContext {
    std::string host;
    std::string path;
    std::string key;
    Duration deadline { 3000 };
};

using AnswerCallback = std::function<void(const CallerAnswer&)>;

/// The calls about jobs, as an interface passes them on; each is answered once.
struct CallerHandlers {
    std::function<void(const CallerContext&, const std::string& id, JobSpecification, AnswerCallback)> submit;
    std::function<void(const CallerContext&, const std::string& id, AnswerCallback)> cancel;
    std::function<void(const CallerContext&, const std::string& id, AnswerCallback)> state;
};

/// Thread safety: none.
class Intake {
public:
    /// `storeFails` tells whether calls to the store have failed for a while; clients are then answered at once.
    Intake(Effects& effects, std::function<SteadyTime()> clock, std::function<bool()> storeFails)
        : effects(effects)
        , clock(std::move(clock))
        , storeFails(std::move(storeFails))
    {
    }

    void setConfiguration(std::shared_ptr<const FleetConfiguration> inForce)
    {
        this->configuration = std::move(inForce);
    }

    /// Finds the queue of a call and checks its key. Nothing when the call may go on; `queue` and `account` are set.
    std::optional<CallerAnswer> admit(const CallerContext& context, const Queue*& queue, const ClientAccount*& account);

    /// Stores a job. `answer` is called once.
    void submit(const CallerContext& context, const std::string& id, JobSpecification specification, StoreTime storeNow,
        AnswerCallback answer);

    /// Stores the wish to cancel a job.
    void cancel(const CallerContext& context, const std::string& id, AnswerCallback answer);

    /// Reads the state of a job.
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
    void refuse(const std::string& id, const CallerAnswer& answer, const AnswerCallback& reply);
    bool mayRetry(SteadyTime deadline) const;
    /// How long a store call may take so that the client is answered before its deadline.
    Duration timeoutWithin(SteadyTime deadline) const;

    Effects& effects;
    std::function<SteadyTime()> clock;
    std::function<bool()> storeFails;
    std::shared_ptr<const FleetConfiguration> configuration;
    std::unordered_map<std::string, JobState> finalStates; ///< final states that were read; they never change
};

/// The id of a job in a call's path behind its queue's prefix; nothing when it is not 16 hexadecimal digits.
std::optional<std::string> jobIdInPath(const std::string& path, const Queue& queue);

} // namespace WisteriaHill::Scheduling
