/// The scheduler of the fleet: active in the daemon that holds the leadership, idle in the others.
#pragma once

#include "scheduling/advice/advicecontroller.h"
#include "scheduling/evacuation/zoneevacuation.h"
#include "scheduling/gangstartcontroller.h"
#include "scheduling/jobretention.h"
#include "scheduling/leadership.h"
#include "scheduling/pacecontroller.h"
#include "scheduling/planlog.h"
#include "scheduling/planner.h"
#include "scheduling/requests/operatorrequests.h"
#include "scheduling/serverentries.h"
#include "scheduling/servermonitor.h"
#include "scheduling/stallcontroller.h"
#include "scheduling/statewriter.h"
#include "scheduling/storeclock.h"
#include "scheduling/tablereader.h"
#include "scheduling/upkeepcontroller.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace WisteriaHill::Scheduling {

/// Counts that the leader sends to the other daemons.
struct FleetSummary {
    std::map<std::string, std::int64_t> pending; ///< jobs without a started task, by "host path"
};

struct SchedulerOptions {
    LeadershipOptions leadership;
    ServerMonitorOptions servers;
    GangStartOptions gangStarts;
    PlannerOptions planner;
    Requests::OperatorRequestOptions requests;
    Evacuation::ZoneEvacuationOptions evacuations;
    UpkeepOptions upkeep;
    Duration stateRetention { 130'000 }; ///< how long an ended job and its state are kept
    std::string serverTable; ///< store table of the backend server entries
};

/// Thread safety: none; the owner calls everything on one thread and executes the effects in order.
class Scheduler {
public:
    /// `storeClock` must outlive the scheduler.
    Scheduler(SchedulerOptions options, ServerEntryDecoder decodeServer, std::function<SteadyTime()> clock,
        const StoreClock& storeClock);
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    void setConfiguration(std::shared_ptr<const FleetConfiguration> configuration);

    /// Performs everything that is due. `agreedWallTime` is the wall-clock time that the daemons agree on.
    void tick(SteadyTime now, WallTime agreedWallTime);

    /// Plans and stores after answers have arrived, without waiting for the next tick.
    void react(SteadyTime now);

    /// Gives up the leadership and stops claiming it. In a follower `done` is called at once. In the leader it is
    /// called when the store has confirmed the release, and not at all when the leadership is lost before.
    void releaseLeadership(std::function<void()> done);

    Leadership& leadership() { return this->leader; }
    const Leadership& leadership() const { return this->leader; }
    const Board& state() const { return this->board; }
    FleetSummary summary() const;

    /// Why the steps of an advised queue cannot use tickets for so many servers, as a text for operators; empty when
    /// they can. Precondition: the queue needs placement advice.
    std::string ticketObstacle(const Queue& queue, std::size_t servers, SteadyTime now) const
    {
        return this->advice.obstacleFor(queue, servers, now);
    }

    /// Successes for this daemon's next heartbeat to the others; empty while it leads.
    std::vector<ReportedSuccess> successesToReport(SteadyTime now);

    /// Applies the successes that a former leader reports; ignored unless isActive().
    void applySuccesses(const std::vector<ReportedSuccess>& successes, SteadyTime now);

    Effects& pendingEffects() { return this->effects; }

    /// True when this daemon leads and has loaded all rows.
    bool isActive() const { return this->leader.isLeader() && this->loaded; }

private:
    struct TableFeed {
        RowVersion position = 0; ///< changes after this version are not read yet
        bool open = false;
        SteadyTime nextCall {};
    };

    void handleElection(SteadyTime now);
    void loadTables();
    void handleTable(TableContents contents, SteadyTime now);
    void finishLoad(SteadyTime now);
    void loadJobs(SteadyTime now);
    void loadProgress(SteadyTime now);
    void reportUnreadable(const Row& row);
    void watch(const std::string& table, TableFeed& feed, Duration wait, SteadyTime now);
    void handleFeedResult(const std::string& table, const WatchResult& result);
    void applyJobRow(const Row& row, SteadyTime now);
    /// Ends jobs with a task that failed for the last time while the job had no queue, or under a higher limit.
    void endExhaustedJobs(SteadyTime now);
    void schedule(SteadyTime now);
    void startRun(const PlannedStart& start, SteadyTime now);
    void handleStoredDecisions(const StoredDecisions& decisions, SteadyTime now);
    /// Removes the states and progress of jobs that have no row any more.
    void removeOrphans(const std::set<std::string>& jobsWithRow);
    SteadyTime toSteadyTime(StoreTime accepted, SteadyTime now) const;

    SchedulerOptions options;
    std::function<SteadyTime()> clock;
    const StoreClock& storeClock;
    Effects effects;
    Board board;
    Leadership leader;
    TableReader reader;
    JobTracker tracker;
    CrashController crashes;
    ServerMonitor monitor;
    ServerEntries serverEntries;
    StateWriter writer;
    JobRetention retention;
    Planner planner;
    PlanLog planLog;
    Evacuation::ServerEvacuation evacuation;
    Evacuation::ZoneEvacuation zones;
    StallController stalls;
    GangStartController gangStarts;
    Advice::AdviceController advice;
    PaceController pace;
    UpkeepController upkeep;
    Requests::OperatorRequests requests;
    bool loaded = false;
    std::uint64_t loadGeneration = 0;
    std::map<std::string, std::vector<Row>> loadedRows;
    /// Ids of jobs with a row that cannot be decoded. They are not scheduled, since their tasks may be done already.
    std::set<std::string> unreadableJobs;
    std::map<std::string, TableFeed> feeds;
    WallTime wallNow { 0 }; ///< at the last tick
    SteadyTime nextHousekeeping {};
    SteadyTime nextSchedule {};
    SteadyTime earliestSchedule {};
};

} // namespace WisteriaHill::Scheduling
