/// Jobs of the product's own interface, which ask for a shape of adjacent accelerators, as jobs of the fleet.
#pragma once

#include "model/job.h"
#include "scheduling/fleetconfiguration.h"

#include <string>
#include <variant>

namespace WisteriaHill::Scheduling {

/// Why a job can't be taken; a text for its caller.
struct GangJobError {
    std::string reason;
};

/// A job of the fleet and the queue that takes it.
struct GangJob {
    std::string id;
    const Queue* queue = nullptr; ///< of the configuration that was passed
    JobSpecification specification;
};

/// Finds a queue for the job and describes it as one gang. An urgent job, and one under a guarantee, goes to a queue of
/// priority 0. The same account and idempotency key give the same id; without a key `random` does. Thread safety: none
/// needed.
std::variant<GangJob, GangJobError> makeGangJob(const Model::JobSpecification& wanted, const ClientAccount& account,
    const FleetConfiguration& configuration, std::uint64_t random);

/// The state in the words of the product's own interface.
Model::JobState toModelJobState(JobState state);

} // namespace WisteriaHill::Scheduling
