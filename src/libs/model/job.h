/// Long jobs that run as gangs, and the row that outlives the daemon which runs them.
#pragma once

#include "model/configuration.h"
#include "model/guaranteelayout.h"
#include "model/ids.h"

#include <optional>
#include <string>

namespace WisteriaHill::Model {

/// What a client account asks for.
struct JobSpecification {
    ClientAccountId account;
    GangShape shape;
    GuaranteeId guarantee; ///< empty for a job outside guarantees
    bool urgent = false;
    bool idempotent = true; ///< a job that is not is never started twice
    bool attached = false; ///< the caller holds the connection; no row is kept
    Duration declaredRunTime { 0 }; ///< a hint
    std::string payload; ///< opaque to the scheduler
    std::string idempotencyKey; ///< repeated submissions return the same job; may be empty
};

enum class JobState {
    Queued,
    Reserving,
    Starting,
    Running,
    Stopping, ///< every member is being stopped before the job waits again or ends
    Finished,
    Failed,
    Cancelled,
    Rejected,
};

std::string_view jobStateName(JobState state);
bool isFinal(JobState state);

/// The state of a job, as kept in its row.
struct JobRecord {
    JobId id;
    AvailabilityZoneId zone;
    JobSpecification specification;
    JobState state = JobState::Queued;
    std::uint32_t attempt = 0; ///< attempts committed so far
    std::uint64_t gangToken = 0; ///< of the attempt
    EntryHostId owner;
    Incarnation ownerIncarnation = 0;
    Placement placement; ///< of the attempt
    Duration checkpointed { 0 }; ///< work that the next attempt resumes from
    std::string reason; ///< why it is in this state
    bool cancelRequested = false;
    std::uint64_t nonce = 0; ///< makes each written value unique, so that a lost answer can be recognised
};

/// The prefix of the rows of all jobs of a zone.
std::string jobRowPrefix(const AvailabilityZoneId& zone);
std::string jobRowKey(const AvailabilityZoneId& zone, const JobId& job);

Utils::Json jobToJson(const JobRecord& job);
/// Empty when the text is not a job.
std::optional<JobRecord> jobFromText(const std::string& text);

/// Reads a submission; adds faults for what is malformed. Account and zone are not part of the document.
JobSpecification jobSpecificationFromJson(const Utils::Json& document, Utils::JsonFaults& faults);

} // namespace WisteriaHill::Model
