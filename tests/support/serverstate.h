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

/// One change of a task, for oracles.
struct TaskChange {
    SteadyTime at;
    Model::JobId job;
    std::uint64_t gangToken = 0;
    Model::BackendServerId server; ///< filled in by whoever collects changes
    std::size_t members = 0; ///< of the gang
    bool running = false; ///< started if true, else it ended in any way
    bool finished = false; ///< it ran to its end
};

/// Enforces leases: tokens rise, a token that is gone has no effect, a lease that lapses stops its task. The payload
/// of a task is its length in milliseconds, or "fail". Thread safety: none.
class ServerState {
public:
    ServerState(std::uint32_t accelerators, Model::Incarnation incarnation);

    Model::LeaseBatchAnswer apply(const Model::LeaseBatch& batch, SteadyTime now);

    /// Lets leases lapse, graces end and tasks finish.
    void advance(SteadyTime now);

    /// A new process: all leases and tasks are gone.
    void restart(Model::Incarnation newIncarnation, SteadyTime now);

    void setLeaving(bool value) { this->leaving = value; }
    bool isLeaving() const { return this->leaving; }
    /// How long a task takes to save its work when it is evicted.
    void setCheckpointTime(Duration value) { this->checkpointTime = value; }
    /// Every task that starts fails at once.
    void setFailsEverything(bool value) { this->failsEverything = value; }

    Model::ServerReport report(bool inspect) const;

    /// Gangs whose accelerators came to be reserved here since the last time.
    std::vector<std::uint64_t> takeReserved() { return std::exchange(this->reservedGangs, {}); }
    /// Leases and tasks are never ended for lack of renewal: a broken server, to show that checks notice.
    void setIgnoresExpiry(bool value) { this->ignoresExpiry = value; }

    /// Changes since the last time, in order.
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
        bool checkpointCompletes = false; ///< within the grace of an eviction

        bool running() const
        {
            return this->state == Model::LeaseState::Running || this->state == Model::LeaseState::Evicting;
        }
        /// A task that ended leaves its accelerators; the lease stays until it is stopped or lapses.
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
