/// Converts jobs of the product's own interface, which request a shape of adjacent accelerators, to jobs of the fleet.
#pragma once

#include "model/job.h"
#include "scheduling/fleetconfiguration.h"

#include <string>
#include <variant>

namespace WisteriaHill::Scheduling {

/// Why a job is rejected, as a text for its caller.
struct GangJobError {
    std::string reason;
};

/// A job of the fleet and its queue.
struct GangJob {
    std::string id;
    const Queue* queue = nullptr; ///< points into the configuration passed to makeGangJob()
    JobSpecification specification;
};

/// Finds a queue for the job and describes the job as one gang. An urgent job, and one under a guarantee, goes to a
/// queue of priority 0. The id is derived from the account and the idempotency key, so that a repeated submission gets
/// the same id; without a key it is derived from `random`. Thread-safe.
std::variant<GangJob, GangJobError> makeGangJob(const Model::JobSpecification& wanted, const ClientAccount& account,
    const FleetConfiguration& configuration, std::uint64_t random);

/// The state as the product's own interface names it.
Model::JobState toModelJobState(JobState state);

} // namespace WisteriaHill::Scheduling
