/// Who schedules: one daemon at a time, by a row in the state store that it rewrites with each of its transactions.
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
    Duration heartbeatTimeout { 600 }; ///< without a word of the leader before a follower reads the row
    Duration rowTimeout { 900 }; ///< time that the row must stay the same before a follower takes it
    Duration stagger { 0 }; ///< added to both, so that daemons don't act in step
};

/// Thread safety: none.
class Leadership {
public:
    Leadership(Effects& effects, LeadershipOptions options)
        : effects(effects)
        , options(std::move(options))
    {
    }

    /// Called when this daemon begins to lead, with the token and the version of the row.
    void onElected(std::function<void(SteadyTime)> handler) { this->elected = std::move(handler); }

    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// A daemon says that it leads under `term`.
    void handleLeaderHeartbeat(const std::string& node, FencingToken term, SteadyTime now);

    /// The leader says that it stops: the row may be taken at once.
    void handleLeaderStepDown(FencingToken term, SteadyTime now);

    /// Looks for a missing leader.
    void tick(SteadyTime now);

    /// No further candidacies, for a process that stops.
    void withdraw() { this->withdrawn = true; }

    /// Gives up the role; another daemon holds a higher term or the row could not be kept.
    void stepDown(SteadyTime now, const std::string& reason);

    bool isLeader() const { return this->role == LeadershipRole::Leader; }
    FencingToken term() const { return this->row.term; }
    const std::string& leaderNode() const { return this->leader; }
    FencingToken knownTerm() const { return this->highestTerm; }

    /// The row as this leader last wrote it, and its version. Precondition: isLeader().
    const LeadershipRow& currentRow() const { return this->row; }
    RowVersion currentVersion() const { return this->version; }

    /// A transaction of this leader has rewritten the row.
    void rowWritten(LeadershipRow written, RowVersion writtenVersion)
    {
        this->row = std::move(written);
        this->version = writtenVersion;
    }

    static RowKey rowKey() { return { StoreTable::leadership, StoreTable::schedulerPartition, "scheduler" }; }

private:
    void readRow(SteadyTime now);
    void handleRow(const ReadResult& result);
    void claim(RowVersion expected, const LeadershipRow& previous);
    void handleClaimResult(const LeadershipRow& wanted, const CommitResult& result);

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
};

} // namespace WisteriaHill::Scheduling
