#include "scheduling/gangjobs.h"

#include "utils/digest.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

namespace {

constexpr std::size_t jobIdLength = 16; ///< hexadecimal digits
constexpr std::size_t maximumPayloadBytes = 4000; ///< orders to backend servers carry no longer payload

std::string jobIdOf(const std::string& account, const std::string& idempotencyKey, std::uint64_t random)
{
    const std::string source = idempotencyKey.empty() ? std::to_string(random) : account + '\n' + idempotencyKey;
    return Utils::sha256Hex(source).substr(0, jobIdLength);
}

/// The most urgent queue of the wanted kind that needs no placement advice; null when there is none.
const Queue* findQueue(const FleetConfiguration& configuration, bool urgent)
{
    const Queue* best = nullptr;
    for (const Queue& queue : configuration.queues) {
        const bool fits = (queue.priority == 0) == urgent && !queue.advice;
        if (fits && (!best || queue.priority < best->priority))
            best = &queue;
    }
    return best;
}

} // namespace

std::variant<GangJob, GangJobError> makeGangJob(const Model::JobSpecification& wanted, const ClientAccount& account,
    const FleetConfiguration& configuration, std::uint64_t random)
{
    if (wanted.attached)
        return GangJobError { "attached jobs are not supported here; submit the job and poll its state" };
    if (!wanted.idempotent)
        return GangJobError { "a lost run is started again, so a job that is not idempotent cannot be accepted" };
    if (wanted.payload.size() > maximumPayloadBytes)
        return GangJobError { "the payload has " + std::to_string(wanted.payload.size())
            + " bytes, more than the limit of " + std::to_string(maximumPayloadBytes) + " bytes" };
    const std::int64_t accelerators = wanted.shape.accelerators();
    const bool guaranteed = !wanted.guarantee.value().empty();
    if (guaranteed && accelerators > account.guaranteedAccelerators)
        return GangJobError { "the shape needs " + std::to_string(accelerators) + " accelerators, but only "
            + std::to_string(account.guaranteedAccelerators) + " are guaranteed to client account " + account.name };
    const bool urgent = wanted.urgent || guaranteed;
    const Queue* queue = findQueue(configuration, urgent);
    if (!queue)
        return GangJobError { urgent ? "no queue accepts urgent jobs" : "no queue accepts ordinary jobs" };
    const bool gang = wanted.shape.servers > 1;
    return GangJob { .id = jobIdOf(account.name, wanted.idempotencyKey, random),
        .queue = queue,
        .specification = { .payload = wanted.payload,
            .steps = { { .taskCount = static_cast<int>(wanted.shape.servers),
                .perTask = { .accelerators = wanted.shape.acceleratorsPerServer },
                .estimate = wanted.declaredRunTime,
                .gang = gang,
                .sameRack = gang,
                .maximumPerServer = gang ? 1 : 0 } } } };
}

Model::JobState toModelJobState(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return Model::JobState::Queued;
    case JobState::Running:
        return Model::JobState::Running;
    case JobState::Completed:
        return Model::JobState::Finished;
    case JobState::Failed:
        return Model::JobState::Failed;
    case JobState::Cancelled:
        return Model::JobState::Cancelled;
    }
    return Model::JobState::Queued;
}

} // namespace WisteriaHill::Scheduling
