/// The leases and tasks of one backend server, for the backend server stand-in and for in-process fakes.
#pragma once

#include "model/lease.h"
#include "utils/steadytime.h"

#include <map>
#include <utility>
#include <vector>

namespace WisteriaHill::Tests {

using Utils::Duration;
using Utils::SteadyTime;

/// The start or the end of a task.
struct TaskChange {
    SteadyTime at;
    Model::JobId job;
    std::uint64_t gangToken = 0;
    Model::BackendServerId server; ///< set by the collector of the changes
    std::size_t members = 0; ///< size of the gang
    bool running = false; ///< true when the task started; false when it ended in any way
    bool finished = false; ///< the task ran to completion
};

/// Enforces leases: tokens increase, operations on an unknown token have no effect, and a lease that expires stops its
/// task. The payload of a task is its run time in milliseconds, or "fail". Thread safety: none.
class ServerState {
public:
    ServerState(std::uint32_t accelerators, Model::Incarnation incarnation);

    Model::LeaseBatchAnswer apply(const Model::LeaseBatch& batch, SteadyTime now);

    /// Expires leases, completes evictions and finishes tasks that are due at `now`.
    void advance(SteadyTime now);

    /// Starts a new process without leases and tasks.
    void restart(Model::Incarnation newIncarnation, SteadyTime now);

    void setLeaving(bool value) { this->leaving = value; }
    bool isLeaving() const { return this->leaving; }
    /// Sets how long an evicted task takes to save its work.
    void setCheckpointTime(Duration value) { this->checkpointTime = value; }
    /// Makes every task fail as soon as it starts.
    void setFailsEverything(bool value) { this->failsEverything = value; }

    Model::ServerReport report(bool inspect) const;

    /// Gangs whose accelerators were reserved here since the last call.
    std::vector<std::uint64_t> takeReserved() { return std::exchange(this->reservedGangs, {}); }
    /// Keeps running tasks and their leases after expiry: a defect, to show that the checks detect it.
    void setIgnoresExpiry(bool value) { this->ignoresExpiry = value; }

    /// Changes since the last call, in order.
    std::vector<TaskChange> takeChanges() { return std::exchange(this->changes, {}); }

private:
    struct Lease {
        Model::LeaseToken token = 0;
        Model::LeaseState state = Model::LeaseState::Reserved;
        Model::LeaseTerms terms;
        SteadyTime expires;
        SteadyTime evictionDeadline;
        SteadyTime startedAt;
        Duration length { 0 };
        Duration resumedFrom { 0 };
        std::uint32_t percent = 100;
        Duration checkpointed { 0 };
        bool checkpointCompletes = false; ///< within the grace period of the eviction

        bool running() const
        {
            return this->state == Model::LeaseState::Running || this->state == Model::LeaseState::Evicting;
        }
        /// An ended task frees its accelerators; its lease stays until it is stopped or expires.
        bool holdsAccelerators() const
        {
            return this->state != Model::LeaseState::Finished && this->state != Model::LeaseState::Failed
                && this->state != Model::LeaseState::Evicted;
        }
    };

    Model::LeaseResult perform(const Model::LeaseOperation& operation, SteadyTime now);
    Model::LeaseResult reserve(const Model::ReserveLease& reserve, SteadyTime now);
    Model::LeaseResult start(Lease& lease, const Model::StartTask& start, SteadyTime now);
    Model::LeaseResult renew(Lease& lease, const Model::RenewLease& renew, SteadyTime now);
    Model::LeaseResult adopt(Lease& lease, const Model::AdoptLease& adopt, SteadyTime now);
    Model::LeaseResult evict(Lease& lease, const Model::EvictLease& evict, SteadyTime now);
    Model::LeaseResult checkpoint(Lease& lease, SteadyTime now);
    void finishEviction(Lease& lease);
    void becomeReservedIfFree(Lease& lease);
    void stop(Lease& lease, SteadyTime now);
    void recordChange(const Lease& lease, bool running, bool finished, SteadyTime now);
    Duration workDone(const Lease& lease, SteadyTime now) const;
    bool overlapsAnother(const Lease& lease) const;
    static Model::LeaseGranted granted(const Lease& lease);

    Model::AcceleratorSet installedAccelerators;
    Model::Incarnation incarnation;
    bool leaving = false;
    bool failsEverything = false;
    bool ignoresExpiry = false;
    Duration checkpointTime { 200 };
    Model::LeaseToken lastToken = 0;
    std::map<Model::LeaseToken, Lease> leases;
    std::vector<TaskChange> changes;
    std::vector<std::uint64_t> reservedGangs;
};

} // namespace WisteriaHill::Tests
