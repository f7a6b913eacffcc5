/// Elects the one daemon that schedules. The leader holds a row in the state store and rewrites it with each
/// transaction.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/rowcodec.h"
#include "scheduling/storeclock.h"

#include <functional>
#include <optional>

namespace WisteriaHill::Scheduling {

enum class LeadershipRole { Follower, Leader };

struct LeadershipOptions {
    std::string node;
    std::uint64_t incarnation = 0;
    Duration heartbeatTimeout { 600 }; ///< time without a leader heartbeat after which a follower reads the row
    Duration rowTimeout { 900 }; ///< time that the row must stay unchanged before a follower claims it
    Duration stagger { 0 }; ///< added to both time-outs, so that daemons do not claim the row at the same time
    /// How long a leader without answers of the store renews leases, so that running work outlasts an outage. A
    /// successor waits for as long before it takes the leases of servers for expired that it has not reached.
    Duration unconfirmedRenewal { 8000 };
};

/// Thread safety: none.
class Leadership {
public:
    /// `storeClock` must outlive this object.
    Leadership(Effects& effects, LeadershipOptions options, const StoreClock& storeClock)
        : effects(effects)
        , options(std::move(options))
        , storeClock(storeClock)
    {
    }

    /// `handler` is called with the current time when this daemon becomes the leader.
    void onElected(std::function<void(SteadyTime)> handler) { this->elected = std::move(handler); }

    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// Processes a heartbeat of `node`, which leads under `term`. A leader of a lower term steps down.
    void handleLeaderHeartbeat(const std::string& node, FencingToken term, SteadyTime now);

    /// Processes a heartbeat of any daemon: the former leader, once it knows this term, no longer renews leases.
    void handlePeerHeartbeat(const std::string& node, bool leading, FencingToken term, SteadyTime now);

    /// Processes the notice of a stopping leader; the row may be claimed at once.
    void handleLeaderStepDown(FencingToken term, SteadyTime now);

    /// Reads the leadership row when the leader sends no heartbeats or has stopped, and claims the row if it is free.
    void tick(SteadyTime now);

    /// Stops claiming the leadership and renewing leases, for a process that is stopping.
    void withdraw() { this->withdrawn = true; }

    /// Gives up the leader role, because another daemon holds a higher term or the row was lost or released. Does
    /// nothing in a follower.
    void stepDown(SteadyTime now, const std::string& reason);

    bool isLeader() const { return this->role == LeadershipRole::Leader; }
    FencingToken term() const { return this->row.term; }
    const std::string& leaderNode() const { return this->leader; }
    FencingToken knownTerm() const { return this->highestTerm; }

    /// The row for the next transaction of this leader. Precondition: isLeader().
    LeadershipRow nextRow() const;

    /// Version of the row as this leader last wrote it. Precondition: isLeader().
    RowVersion currentVersion() const { return this->version; }

    /// Records the row as a transaction of this leader, which was sent at `sentAt`, has written it.
    void rowWritten(LeadershipRow written, RowVersion writtenVersion, SteadyTime sentAt)
    {
        this->row = std::move(written);
        this->version = writtenVersion;
        this->confirmedAt = sentAt;
    }

    /// True while no other daemon can have claimed the row. False in a leader that was paused, or whose transactions
    /// get no answers, until the store has confirmed the row again.
    bool isConfirmed(SteadyTime now) const
    {
        return this->isLeader() && now - this->confirmedAt < this->options.rowTimeout;
    }

    /// True when this leader renews no leases because the store has not confirmed it for too long, not because it
    /// stops.
    bool renewalsHaveExpired(SteadyTime now) const
    {
        return this->isLeader() && !this->withdrawn && now - this->confirmedAt >= this->options.unconfirmedRenewal;
    }

    /// Time since the last transaction was sent that the store has confirmed. Precondition: isLeader().
    Duration unconfirmedFor(SteadyTime now) const
    {
        return std::chrono::duration_cast<Duration>(now - this->confirmedAt);
    }

    /// True while this daemon may order starts.
    bool mayStartRuns(SteadyTime now) const { return this->isConfirmed(now) && !this->withdrawn; }

    /// True while a successor, if there is one, cannot take the leases that this leader renews for expired.
    bool mayRenewLeases(SteadyTime now) const
    {
        return this->isLeader() && !this->withdrawn && now - this->confirmedAt < this->options.unconfirmedRenewal;
    }

    /// Until then a former leader may renew leases on servers that have not seen this leader's token.
    SteadyTime formerLeadersUntil() const { return this->formerUntil; }

    /// True once the rows of jobs are removed that ended under a release that left them.
    bool leftoversAreRemoved() const { return this->leftoversRemoved; }
    void setLeftoversRemoved() { this->leftoversRemoved = true; }

    static RowKey rowKey() { return { StoreTable::leadership, StoreTable::schedulerPartition, "scheduler" }; }

private:
    /// Claims that expect the same version of the row; at most one of them succeeds.
    struct Claim {
        RowVersion expected = 0;
        FencingToken term = 0;
        LeadershipRow previous;
        SteadyTime firstSentAt {};
    };

    void readRow(SteadyTime now);
    void handleRow(const ReadResult& result);
    void claim(RowVersion expected, const LeadershipRow& previous);
    void handleClaimResult(const LeadershipRow& wanted, const CommitResult& result);
    /// True when the row is from a claim of this daemon whose answer it does not know yet.
    bool isOwnClaim(const LeadershipRow& stored) const;
    /// Begins the term of the claimed row. Precondition: isOwnClaim(claimed).
    void lead(const LeadershipRow& claimed, RowVersion written, SteadyTime now);
    /// True when the row's holder may still take itself for the leader.
    bool mayStillLead(const LeadershipRow& previous) const;
    SteadyTime toSteadyTime(StoreTime time, SteadyTime now) const;

    Effects& effects;
    LeadershipOptions options;
    const StoreClock& storeClock;
    std::function<void(SteadyTime)> elected;
    std::function<SteadyTime()> clock;
    LeadershipRole role = LeadershipRole::Follower;
    bool withdrawn = false;
    bool callOpen = false;
    std::string leader;
    FencingToken highestTerm = 0;
    std::optional<SteadyTime> lastHeartbeatAt;
    std::optional<SteadyTime> startedAt;
    SteadyTime nextRead {};
    std::optional<RowVersion> observedVersion;
    SteadyTime observedAt {};
    std::optional<Claim> openClaim; ///< the last claim, until this daemon leads by it
    bool vacant = false;
    LeadershipRow row;
    RowVersion version = 0;
    SteadyTime confirmedAt {}; ///< when the transaction that last wrote the row was sent
    SteadyTime formerUntil {}; ///< former leaders renew no leases after this time
    SteadyTime earlierUntil {}; ///< the same for the leaders before the last one
    bool leftoversRemoved = false;
    std::string formerNode; ///< the last leader while it may renew leases; else empty
};

} // namespace WisteriaHill::Scheduling
