/// The state that the controllers of a daemon share. Controllers read and write it; no other object holds state that
/// two controllers share. Thread safety: none; all controllers run on the thread of the event loop.
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

/// Identifies this process to other daemons.
struct DaemonIdentity {
    EntryHostId host;
    AvailabilityZoneId zone;
    Incarnation incarnation = 0;
    PeerAddress address;
};

/// Another entry host, as its latest heartbeat describes it.
struct Member {
    EntryHostId host;
    AvailabilityZoneId zone;
    Incarnation incarnation = 0;
    PeerAddress address;
    HostPhase phase = HostPhase::Starting;
    Revision revision = 0; ///< revision of the configuration in force on that host
    std::uint64_t lastSequence = 0; ///< sequence number of the latest heartbeat
    SteadyTime lastHeard; ///< when the latest heartbeat arrived
    bool live = false; ///< false after the failure timeout without a heartbeat and after a graceful stop
};

/// A backend server of this daemon's availability zone, as this daemon knows it.
struct ServerView {
    BackendServer server;
    Incarnation incarnation = 0; ///< zero until the server's first report
    bool leaving = false; ///< the server reports that it is leaving
    bool listedLeaving = false; ///< the platform's host list marks the server as leaving
    bool drained = false; ///< an operator drained the server
    bool silent = false; ///< the server fails probes on new connections
    SteadyTime lastReport; ///< when the server's state last arrived, in its own answer or in a peer's digest
    SteadyTime lastDirectReport; ///< when this daemon last probed the server or got the result of a probe or request
    std::uint32_t failedProbes = 0;
    bool probing = false;
    std::uint32_t busySlots = 0;
    AcceleratorSet free = 0;
    AcceleratorSet preemptible = 0;

    std::uint32_t inFlight = 0; ///< requests of this daemon that the server has not answered yet
    double concurrencyLimit = 1; ///< maximum number of requests that this daemon keeps in flight to the server
    SteadyTime busyUntil; ///< this daemon sends the server no request before this time
    bool ejected = false;
    bool probation = false;
    SteadyTime ejectedUntil;
    std::uint32_t ejections = 0; ///< consecutive ejections
    std::deque<bool> recentOutcomes; ///< successes (true) of the latest distinct requests, newest last

    /// True when the server may get new work.
    bool acceptsWork() const { return !this->leaving && !this->listedLeaving && !this->drained && !this->silent; }
};

/// A job that this daemon owns.
struct JobEntry {
    /// A step in the history of the job, for the explain request.
    struct HistoryEntry {
        SteadyTime at;
        std::string text;
    };

    JobRecord record;
    RowVersion version = 0; ///< version of the row as last written or read; zero for attached jobs
    SteadyTime queuedSince;
    SteadyTime notBefore; ///< earliest time of the next attempt
    SteadyTime runningSince;
    SteadyTime finalSince; ///< when the job reached a final state
    std::uint32_t failures = 0; ///< attempts that ended because a task failed
    std::set<BackendServerId> failedOn; ///< servers on which a task of the job failed
    /// Accelerators that the last attempt found held by work that may not be evicted.
    std::map<BackendServerId, AcceleratorSet> blocked;
    std::deque<HistoryEntry> history; ///< newest last
    std::uint64_t attachedCaller = 0; ///< caller that waits for the result of an attached job
    bool mayHaveRun = false; ///< a start was sent in some attempt
    bool startSent = false; ///< a start was sent in the current attempt
    bool writeInFlight = false; ///< a write of the row has not been answered yet
    bool changedDuringWrite = false; ///< the record changed after the write in flight was sent

    /// Appends to the history, unless the last entry has the same text, and drops the oldest of more than 32 entries.
    void addToHistory(SteadyTime at, std::string text);
};

/// Counters since the start of the daemon, for metrics and dumps.
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
    SharedConfiguration configuration; ///< null until a configuration is in force
    std::map<EntryHostId, Member> members; ///< all known entry hosts except this one
    std::map<BackendServerId, ServerView> servers; ///< the servers of this daemon's zone
    std::map<BackendServerId, DrainMark> drains; ///< the drains of all zones
    std::set<BackendServerId> listedLeaving; ///< servers of all zones that the platform's host list marks as leaving
    GuaranteeLayout layout; ///< the guarantees of this daemon's zone
    std::map<JobId, JobEntry> jobs; ///< jobs that this daemon owns; final ones are kept for a limited time
    bool tableAvailable = true; ///< false while calls of the table service fail
    Counters counters;

    /// The configured zone of this daemon, or null when there is no configuration or it lacks the zone.
    const AvailabilityZone* ownZone() const
    {
        return this->configuration ? this->configuration->zone(this->self.zone) : nullptr;
    }
};

} // namespace WisteriaHill::Model
