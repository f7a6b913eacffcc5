/// Long jobs that run as gangs, and the rows that store them, so that they survive the daemon that runs them.
#pragma once

#include "model/configuration.h"
#include "model/guaranteelayout.h"
#include "model/ids.h"

#include <optional>
#include <string>

namespace WisteriaHill::Model {

/// A job as a client account submits it.
struct JobSpecification {
    ClientAccountId account;
    GangShape shape;
    GuaranteeId guarantee; ///< empty for a job outside guarantees
    bool urgent = false;
    bool idempotent = true; ///< a job that is not idempotent is never started twice
    bool attached = false; ///< the caller waits on its connection for the result; the job has no row
    Duration declaredRunTime { 0 }; ///< expected run time; a hint
    std::string payload; ///< opaque to the scheduler
    std::string idempotencyKey; ///< an account's submissions with the same key mean the same job; may be empty
};

enum class JobState {
    Queued,
    Reserving,
    Starting,
    Running,
    Stopping, ///< every member is being stopped; afterwards the job is queued again or ends
    Finished,
    Failed,
    Cancelled,
    Rejected,
};

std::string_view jobStateName(JobState state);
bool isFinal(JobState state);

/// The state of a job, as stored in its row.
struct JobRecord {
    JobId id;
    AvailabilityZoneId zone;
    JobSpecification specification;
    JobState state = JobState::Queued;
    std::uint32_t attempt = 0; ///< number of attempts committed so far
    std::uint64_t gangToken = 0; ///< gang token of the current attempt
    EntryHostId owner;
    Incarnation ownerIncarnation = 0;
    Placement placement; ///< placement of the current attempt
    Duration checkpointed { 0 }; ///< work saved in the checkpoint from which the next attempt resumes
    std::string reason; ///< why the job is in this state
    bool cancelRequested = false;
    std::uint64_t nonce = 0; ///< makes each written value unique, so that a write whose answer is lost is recognised
};

/// The key prefix of the rows of all jobs of a zone.
std::string jobRowPrefix(const AvailabilityZoneId& zone);
std::string jobRowKey(const AvailabilityZoneId& zone, const JobId& job);

Utils::Json jobToJson(const JobRecord& job);
/// Returns nothing when the text is not a stored job.
std::optional<JobRecord> jobFromText(const std::string& text);

/// Reads a submission and adds a fault for each malformed member. The document does not contain the client account;
/// the caller fills it in.
JobSpecification jobSpecificationFromJson(const Utils::Json& document, Utils::JsonFaults& faults);

} // namespace WisteriaHill::Model
