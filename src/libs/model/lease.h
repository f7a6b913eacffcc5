/// Leases on accelerators as backend servers grant and enforce them. The server issues the fencing tokens; an operation
/// that names a token which is gone has no effect.
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
    Waiting, ///< granted, but replaced leases still hold the accelerators
    Reserved,
    Running,
    Evicting, ///< running, and stopped when its checkpoint is complete or its grace ends
    Evicted, ///< stopped by an eviction; holds no accelerators any more
    Finished,
    Failed,
};

/// What a lease is for. Every member of a gang carries the whole member list, so that any daemon can rebuild the gang.
struct LeaseTerms {
    JobId job;
    ClientAccountId account;
    GuaranteeId guarantee; ///< empty for work outside guarantees
    bool preemptible = true; ///< urgent and long-waiting work may evict it
    std::uint32_t attempt = 0;
    std::uint64_t gangToken = 0; ///< one for all members of one attempt
    AcceleratorSet accelerators = 0;
    Placement members;
};

/// Reserves accelerators. Repeating it for the same gang token returns the lease that exists. Leases named in
/// `replaces` are evicted within `grace`; if one of them is gone or another lease stands in the way, it is refused.
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
    Duration resumeFrom { 0 }; ///< work saved by an earlier attempt's checkpoint
};

struct RenewLease {
    LeaseToken token = 0;
    Duration timeToLive { 0 };
};

/// Moves a lease to a new token; the old one is gone. For a daemon that takes a gang over.
struct AdoptLease {
    LeaseToken token = 0;
    Duration timeToLive { 0 };
};

/// Checkpoints the task, then stops it, within `grace`.
struct EvictLease {
    LeaseToken token = 0;
    Duration grace { 0 };
};

/// Saves the task's work without stopping it.
struct CheckpointTask {
    LeaseToken token = 0;
};

/// Limits the task to a share of its speed.
struct ThrottleTask {
    LeaseToken token = 0;
    std::uint32_t percent = 100;
};

/// Stops the task at once and frees the accelerators. Succeeds when the token is already gone.
struct StopLease {
    LeaseToken token = 0;
};

using LeaseOperation = std::variant<ReserveLease, StartTask, RenewLease, AdoptLease, EvictLease, CheckpointTask,
    ThrottleTask, StopLease>;

struct LeaseGranted {
    LeaseToken token = 0;
    LeaseState state = LeaseState::Reserved;
    Duration checkpointed { 0 }; ///< work that a later attempt can resume from
};

enum class LeaseRefusal {
    Occupied,
    UnknownToken,
    Leaving,
    WrongState,
};

using LeaseResult = Utils::Result<LeaseGranted, LeaseRefusal>;

/// A lease as inspection shows it.
struct LeaseView {
    LeaseToken token = 0;
    LeaseState state = LeaseState::Reserved;
    LeaseTerms terms;
};

/// What a backend server says of itself with every answer.
struct ServerReport {
    Incarnation incarnation = 0;
    bool leaving = false;
    std::uint32_t busySlots = 0;
    AcceleratorSet free = 0;
    AcceleratorSet preemptible = 0; ///< held by leases whose terms say so
    std::vector<LeaseView> leases; ///< only when inspection was asked for
};

/// Operations for one server, done in order. An empty batch is a probe.
struct LeaseBatch {
    std::vector<LeaseOperation> operations;
    bool inspect = false;
};

struct LeaseBatchAnswer {
    std::vector<LeaseResult> results; ///< one per operation
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
