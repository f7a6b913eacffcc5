/// Leases on accelerators, which backend servers grant and enforce. The server issues the fencing tokens; an operation
/// with the token of a lease that no longer exists has no effect.
#pragma once

#include "model/guaranteelayout.h"
#include "model/ids.h"
#include "utils/checkedjson.h"
#include "utils/result.h"
#include "utils/steadytime.h"

#include <string>
#include <variant>
#include <vector>

namespace WisteriaHill::Model {

using Utils::Duration;

enum class LeaseState {
    Waiting, ///< the lease is granted, but leases that it replaces still hold the accelerators
    Reserved, ///< the lease holds its accelerators; its task has not been started
    Running,
    Evicting, ///< the task runs until its checkpoint is complete or the grace ends
    Evicted, ///< an eviction stopped the task; the lease holds no accelerators any more
    Finished,
    Failed,
};

/// What a lease is for. Every member of a gang carries the whole member list, so that any daemon can rebuild the gang.
struct LeaseTerms {
    JobId job;
    ClientAccountId account;
    GuaranteeId guarantee; ///< empty for work outside guarantees
    bool preemptible = true; ///< urgent and long-waiting work may evict the lease
    std::uint32_t attempt = 0;
    std::uint64_t gangToken = 0; ///< the same for all members of a gang in one attempt, and different in each attempt
    AcceleratorSet accelerators = 0;
    Placement members; ///< all members of the gang
};

/// Reserves accelerators. A repeated operation with the same gang token returns the existing lease. The server evicts
/// the leases in `replaces` within `grace`; it refuses the operation when one of them no longer exists or when another
/// lease holds some of the accelerators.
struct ReserveLease {
    LeaseTerms terms;
    Duration timeToLive { 0 };
    std::vector<LeaseToken> replaces;
    Duration grace { 0 };
};

/// Starts the task of a reserved lease.
struct StartTask {
    LeaseToken token = 0;
    Duration timeToLive { 0 };
    std::string payload; ///< opaque to the scheduler
    Duration resumeFrom { 0 }; ///< work saved in the checkpoint of an earlier attempt
};

struct RenewLease {
    LeaseToken token = 0;
    Duration timeToLive { 0 };
};

/// Gives a lease a new token and invalidates the old one, for a daemon that takes over ownership of a gang.
struct AdoptLease {
    LeaseToken token = 0;
    Duration timeToLive { 0 };
};

/// Checkpoints the task and then stops it, both within `grace`.
struct EvictLease {
    LeaseToken token = 0;
    Duration grace { 0 };
};

/// Checkpoints the task without stopping it.
struct CheckpointTask {
    LeaseToken token = 0;
};

/// Limits the task to `percent` of its speed.
struct ThrottleTask {
    LeaseToken token = 0;
    std::uint32_t percent = 100;
};

/// Stops the task at once and frees the accelerators. Also succeeds when the lease no longer exists.
struct StopLease {
    LeaseToken token = 0;
};

using LeaseOperation = std::variant<ReserveLease, StartTask, RenewLease, AdoptLease, EvictLease, CheckpointTask,
    ThrottleTask, StopLease>;

struct LeaseGranted {
    LeaseToken token = 0;
    LeaseState state = LeaseState::Reserved;
    Duration checkpointed { 0 }; ///< work saved in the checkpoint from which a later attempt can resume
};

/// Why a backend server refused a lease operation.
enum class LeaseRefusal {
    Occupied, ///< another lease holds some of the accelerators
    UnknownToken,
    Leaving, ///< the server is leaving and grants no leases
    WrongState, ///< the state of the lease does not allow the operation
};

using LeaseResult = Utils::Result<LeaseGranted, LeaseRefusal>;

/// A lease as an inspected server reports it.
struct LeaseView {
    LeaseToken token = 0;
    LeaseState state = LeaseState::Reserved;
    LeaseTerms terms;
};

/// The state of a backend server, which the server reports with every answer.
struct ServerReport {
    Incarnation incarnation = 0;
    bool leaving = false;
    std::uint32_t busySlots = 0;
    AcceleratorSet free = 0;
    AcceleratorSet preemptible = 0; ///< accelerators held by leases with preemptible terms
    std::vector<LeaseView> leases; ///< all leases of the server; empty unless the batch asked for inspection
};

/// Lease operations for one server, which carries them out in order. An empty batch is a probe.
struct LeaseBatch {
    std::vector<LeaseOperation> operations;
    bool inspect = false; ///< asks the server to report its leases
};

struct LeaseBatchAnswer {
    std::vector<LeaseResult> results; ///< one per operation, in the same order
    ServerReport report;
};

std::string_view leaseStateName(LeaseState state);
std::string_view leaseRefusalName(LeaseRefusal refusal);

/// The JSON forms of the backend servers' protocol (docs/API.md). Reading throws nlohmann::json::exception on
/// malformed input.
Utils::Json leaseBatchToJson(const LeaseBatch& batch);
LeaseBatch leaseBatchFromJson(const Utils::Json& json);
Utils::Json leaseBatchAnswerToJson(const LeaseBatchAnswer& answer);
LeaseBatchAnswer leaseBatchAnswerFromJson(const Utils::Json& json);

void to_json(Utils::Json& json, const PlacementMember& member);
void from_json(const Utils::Json& json, PlacementMember& member);

} // namespace WisteriaHill::Model
