/// What a daemon knows. Controllers read and write it; nothing else holds state that two controllers share.
/// Thread safety: none, one loop on one thread.
#pragma once

#include "model/configuration.h"
#include "model/guaranteelayout.h"
#include "model/ids.h"
#include "model/job.h"
#include "model/peermessage.h"
#include "utils/steadytime.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Model {

using Utils::SteadyTime;

/// This process.
struct DaemonIdentity {
    EntryHostId host;
    AvailabilityZoneId zone;
    Incarnation incarnation = 0;
    PeerAddress address;
};

/// Another entry host.
struct Member {
    EntryHostId host;
    AvailabilityZoneId zone;
    Incarnation incarnation = 0;
    PeerAddress address;
    HostPhase phase = HostPhase::Starting;
    Revision revision = 0;
    std::uint64_t lastSequence = 0;
    SteadyTime lastHeard;
    bool live = false;
};

/// A backend server of this daemon's zone, as known here.
struct ServerView {
    BackendServer server;
    Incarnation incarnation = 0; ///< zero until the first report
    bool leaving = false; ///< by its own word
    bool listedLeaving = false; ///< by the platform's list
    bool drained = false; ///< by an operator
    bool silent = false; ///< fails probes on new connections
    SteadyTime lastReport; ///< by its own answer or a peer's digest
    SteadyTime lastDirectReport; ///< by its own answer
    std::uint32_t failedProbes = 0;
    bool probing = false;
    std::uint32_t busySlots = 0;
    AcceleratorSet free = 0;
    AcceleratorSet preemptible = 0;

    std::uint32_t inFlight = 0; ///< requests of this daemon
    double concurrencyLimit = 1; ///< requests of this daemon at once
    SteadyTime busyUntil; ///< no request before
    bool ejected = false;
    bool probation = false;
    SteadyTime ejectedUntil;
    std::uint32_t ejections = 0; ///< in a row
    std::deque<bool> recentOutcomes; ///< of distinct requests, newest last

    /// True when it may get any new work.
    bool acceptsWork() const { return !this->leaving && !this->listedLeaving && !this->drained && !this->silent; }
};

/// A job that this daemon owns.
struct JobEntry {
    /// Why something was decided, for explain.
    struct HistoryEntry {
        SteadyTime at;
        std::string text;
    };

    JobRecord record;
    RowVersion version = 0; ///< of the row as last written or read; zero for attached jobs
    SteadyTime queuedSince;
    SteadyTime notBefore; ///< no attempt before
    SteadyTime runningSince;
    SteadyTime finalSince;
    std::uint32_t failures = 0; ///< attempts that ended because a task failed
    std::set<BackendServerId> failedOn; ///< servers on which a task of the job failed
    std::map<BackendServerId, AcceleratorSet> blocked; ///< found held by work that may not be evicted
    std::deque<HistoryEntry> history; ///< newest last
    std::uint64_t attachedCaller = 0; ///< the caller of an attached job
    bool mayHaveRun = false; ///< a start was sent in some attempt
    bool startSent = false; ///< in this attempt
    bool writeInFlight = false;
    bool changedDuringWrite = false; ///< changed while a write was under way

    /// Keeps the latest notes.
    void addToHistory(SteadyTime at, std::string text);
};

/// Counters since the start, for metrics and dumps.
struct Counters {
    std::uint64_t requestsCompleted = 0;
    std::uint64_t requestsNotRun = 0;
    std::uint64_t requestsUnknown = 0;
    std::uint64_t requestsReplayed = 0;
    std::uint64_t dispatches = 0;
    std::uint64_t retries = 0;
    std::uint64_t tableTransactions = 0;
    std::uint64_t tableRowsWritten = 0;
    std::uint64_t tableReads = 0;
    std::uint64_t heartbeatsSent = 0;
    std::uint64_t heartbeatsReceived = 0;
    std::uint64_t probesSent = 0;
    std::uint64_t leaseBatches = 0;
    std::uint64_t gangsStarted = 0;
    std::uint64_t gangsRequeued = 0;
    std::uint64_t reclaims = 0;
};

struct Blackboard {
    DaemonIdentity self;
    HostPhase phase = HostPhase::Starting;
    SharedConfiguration configuration; ///< null until one is in force
    std::map<EntryHostId, Member> members; ///< without this daemon
    std::map<BackendServerId, ServerView> servers; ///< of this zone
    std::map<BackendServerId, DrainMark> drains; ///< of all zones
    std::set<BackendServerId> listedLeaving; ///< by the platform's list, all zones
    GuaranteeLayout layout; ///< of this zone
    std::map<JobId, JobEntry> jobs; ///< owned by this daemon, and final ones for a while
    bool tableAvailable = true;
    Counters counters;

    /// The configured zone of this daemon, or null.
    const AvailabilityZone* ownZone() const
    {
        return this->configuration ? this->configuration->zone(this->self.zone) : nullptr;
    }
};

} // namespace WisteriaHill::Model
