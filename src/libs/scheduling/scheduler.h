/// The scheduler of the fleet: active in the daemon that holds the leadership, idle in the others.
#pragma once

#include "scheduling/advicecontroller.h"
#include "scheduling/evacuation.h"
#include "scheduling/jobtracker.h"
#include "scheduling/leadership.h"
#include "scheduling/pacecontroller.h"
#include "scheduling/planlog.h"
#include "scheduling/planner.h"
#include "scheduling/servermonitor.h"
#include "scheduling/statewriter.h"
#include "scheduling/storeclock.h"
#include "scheduling/tablereader.h"
#include "scheduling/upkeepcontroller.h"

#include <map>
#include <optional>
#include <string>

namespace WisteriaHill::Scheduling {

/// A backend server's entry in the store.
struct ServerEntry {
    std::string id;
    std::string service;
    std::string address; ///< IP number
    std::uint16_t port = 0;
    std::string zone;
    std::string rack;
    std::string machine; ///< the machine of which this server is one life
    std::set<std::string> labels;
    Resources capacity;
    bool draining = false;
    Duration drainRemaining { 0 }; ///< time that is left at least while draining
};

/// What the leader tells the other daemons.
struct FleetSummary {
    std::map<std::string, std::int64_t> pending; ///< jobs without a started task, by "host path"
};

struct SchedulerOptions {
    LeadershipOptions leadership;
    ServerMonitorOptions servers;
    PlannerOptions planner;
    UpkeepOptions upkeep;
    Duration stateRetention { 130'000 }; ///< how long an ended job stays known
    std::string serverTable; ///< table of the backend servers' entries
};

/// Reads an entry of the server table; nothing when the row names no server to use.
using ServerEntryDecoder = std::function<std::optional<ServerEntry>(const Row&)>;

/// Thread safety: none; the owner calls everything on one thread and executes the effects in order.
class Scheduler {
public:
    /// `storeClock` must outlive the scheduler.
    Scheduler(SchedulerOptions options, ServerEntryDecoder decodeServer, std::function<SteadyTime()> clock,
        const StoreClock& storeClock);
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    void setConfiguration(std::shared_ptr<const FleetConfiguration> configuration);

    /// Does what is due. `wallNow` is the time of day that the daemons agree on.
    void tick(SteadyTime now, WallTime wallNow);

    /// Acts on answers that came in since the last tick.
    void react(SteadyTime now);

    /// Hands the leadership over; `done` is called when that is settled, at once in a follower.
    void releaseLeadership(std::function<void()> done);

    Leadership& leadership() { return this->leader; }
    const Leadership& leadership() const { return this->leader; }
    const Board& state() const { return this->board; }
    FleetSummary summary() const;

    /// What this daemon, when it does not lead, tells the others with its next heartbeat.
    std::vector<ReportedSuccess> successesToReport(SteadyTime now);

    /// Takes over what a former scheduler tells; ignored when this daemon doesn't schedule.
    void applySuccesses(const std::vector<ReportedSuccess>& successes, SteadyTime now);

    Effects& pendingEffects() { return this->effects; }

    /// True when the leader has read all rows and schedules.
    bool isActive() const { return this->leader.isLeader() && this->loaded; }

private:
    struct TableFeed {
        RowVersion position = 0;
        bool open = false;
        SteadyTime nextCall {};
    };

    void handleElection(SteadyTime now);
    void loadTables();
    void handleTable(TableContents contents, SteadyTime now);
    void finishLoad(SteadyTime now);
    void watch(const std::string& table, TableFeed& feed, Duration wait, SteadyTime now);
    void handleFeedResult(const std::string& table, const WatchResult& result);
    void applyJobRow(const Row& row, SteadyTime now);
    void applyServerRow(const Row& row, SteadyTime now);
    void reloadServers(const std::vector<Row>& rows, SteadyTime now);
    void schedule(SteadyTime now);
    void startRun(const PlannedStart& start, SteadyTime now);
    void handleStoredDecisions(const StoredDecisions& decisions, SteadyTime now);
    void removeExpiredJobs(SteadyTime now);
    SteadyTime toSteadyTime(StoreTime accepted, SteadyTime now) const;
    void stopStalledRuns(SteadyTime now);

    SchedulerOptions options;
    ServerEntryDecoder decodeServer;
    std::function<SteadyTime()> clock;
    const StoreClock& storeClock;
    Effects effects;
    Board board;
    Leadership leader;
    TableReader reader;
    JobTracker tracker;
    ServerMonitor monitor;
    StateWriter writer;
    Planner planner;
    PlanLog planLog;
    Evacuation evacuation;
    AdviceController advice;
    PaceController pace;
    UpkeepController upkeep;
    bool loaded = false;
    std::uint64_t loadGeneration = 0;
    std::map<std::string, std::vector<Row>> loadedRows;
    std::map<std::string, TableFeed> feeds;
    SteadyTime nextHousekeeping {};
    SteadyTime nextSchedule {};
    SteadyTime earliestSchedule {};
};

} // namespace WisteriaHill::Scheduling
