/// Elects the one daemon that schedules. The leader holds a row in the state store and rewrites it with each
/// transaction.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/rowcodec.h"

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
};

/// Thread safety: none.
class Leadership {
public:
    Leadership(Effects& effects, LeadershipOptions options)
        : effects(effects)
        , options(std::move(options))
    {
    }

    /// `handler` is called with the current time when this daemon becomes the leader.
    void onElected(std::function<void(SteadyTime)> handler) { this->elected = std::move(handler); }

    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// Processes a heartbeat of `node`, which leads under `term`. A leader of a lower term steps down.
    void handleLeaderHeartbeat(const std::string& node, FencingToken term, SteadyTime now);

    /// Processes the notice of a stopping leader; the row may be claimed at once.
    void handleLeaderStepDown(FencingToken term, SteadyTime now);

    /// Reads the leadership row when the leader sends no heartbeats or has stopped, and claims the row if it is free.
    void tick(SteadyTime now);

    /// Stops claiming the leadership, for a process that is stopping.
    void withdraw() { this->withdrawn = true; }

    /// Gives up the leader role, because another daemon holds a higher term or the row was lost or released. Does
    /// nothing in a follower.
    void stepDown(SteadyTime now, const std::string& reason);

    bool isLeader() const { return this->role == LeadershipRole::Leader; }
    FencingToken term() const { return this->row.term; }
    const std::string& leaderNode() const { return this->leader; }
    FencingToken knownTerm() const { return this->highestTerm; }

    /// The row as this leader last wrote it, and its version. Precondition: isLeader().
    const LeadershipRow& currentRow() const { return this->row; }
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

    static RowKey rowKey() { return { StoreTable::leadership, StoreTable::schedulerPartition, "scheduler" }; }

private:
    void readRow(SteadyTime now);
    void handleRow(const ReadResult& result);
    void claim(RowVersion expected, const LeadershipRow& previous);
    void handleClaimResult(const LeadershipRow& wanted, SteadyTime sentAt, const CommitResult& result);

    Effects& effects;
    LeadershipOptions options;
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
    bool vacant = false;
    LeadershipRow row;
    RowVersion version = 0;
    SteadyTime confirmedAt {}; ///< when the transaction that last wrote the row was sent
};

} // namespace WisteriaHill::Scheduling
