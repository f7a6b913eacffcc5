/// Counts crashes of backend servers under tasks, and gives up tasks that crash the servers that start them.
#pragma once

#include "scheduling/jobtracker.h"

#include <deque>
#include <map>
#include <set>

namespace WisteriaHill::Scheduling {

/// A run that was on a server, or may have been, when the server was last known to be up.
struct ExposedRun {
    TaskName name;
    int attempt = 0;
    std::int64_t incarnation = 0; ///< of the server
    SteadyTime orderedAt {};
    bool confirmed = false; ///< the server has answered the start
    bool adopted = false; ///< started by a former leader
    bool wasThere = false; ///< the run had begun on the server, or no answer after its start shows that it had not
    Duration age { 0 }; ///< from the start order until the last answer of the server
    int suspicion = 0; ///< that its start crashed the server; zero when another run is suspect
};

/// Answers the load of tasks with a defect that crashes each server that starts them. A run is suspect when the server
/// crashed soon after its start and no other run started later there; two or three such crashes end the job. Silent,
/// drained and removed servers do not count, nor do power losses of many servers, nor servers that crash under any
/// work. A server that answers polls after a start, and does not list the run, leaves orders unanswered: when it
/// crashes later, that is counted, but ends a job only beside two crashes without such an answer. Whatever is suspect,
/// a task is given up after a number of crashes in a row that no power loss or run of a minute explains. The counts are
/// part of the task's stored row. Runs in the leader only. Thread safety: none.
class CrashController {
public:
    CrashController(Board& board, Effects& effects, JobTracker& tracker)
        : board(board)
        , effects(effects)
        , tracker(tracker)
    {
    }

    /// Starts a term: finds the tasks whose rows name a lost run without a verdict.
    void begin();

    /// The current runs on a server that were ordered under another incarnation than `incarnation`.
    std::vector<ExposedRun> exposedRuns(
        const BackendServer& server, std::int64_t incarnation, SteadyTime lastAnswer) const;

    /// Remembers runs that are lost with a server that stopped answering: whether it crashed shows when it is back.
    /// Call it before the runs are requeued.
    void rememberLost(const BackendServer& server, SteadyTime now);

    /// Counts a crash under the runs. Call it after lost runs are requeued.
    void handleRestart(const BackendServer& server, const std::vector<ExposedRun>& runs, SteadyTime now);

    /// Decides about remembered runs of a server that answers under this incarnation; zero when it never will again.
    void judgeLost(const BackendServer& server, std::int64_t incarnation, SteadyTime now);

    /// Forgets the lost runs of a job that is about to be removed.
    void forgetJob(const Job& job);

private:
    /// What a restart added to the counts of a task, and what is taken back when it turns out as a mass restart.
    struct CountedCrash {
        TaskName name;
        int crashes = 0;
        int provenCrashes = 0;
        int suspicion = 0;
    };

    /// A restart of a server under runs.
    struct Restart {
        std::string server;
        SteadyTime at {};
        std::set<std::string> jobs; ///< jobs with runs on the server
        std::vector<CountedCrash> counted;
    };

    enum class Verdict {
        Suspect, ///< the start of the run may have crashed the server; the only verdict that counts
        Neighbour, ///< other runs are suspect
        MassRestart, ///< many servers restarted at about the same time
        UnreliableServer, ///< the server also crashed without a run of the job
    };

    Verdict verdictOn(const BackendServer& server, const ExposedRun& run) const;
    static const char* verdictName(Verdict verdict);
    /// Adds a restart and drops those that no longer matter.
    void addRestart(Restart restart);
    /// Number of other servers from which restarts within a short time have a common cause.
    std::size_t massRestartLimit() const;
    /// True when so many other servers restarted lately that the cause must be outside of the job.
    bool isMassRestart(const std::string& jobId) const;
    /// True when the server has lately crashed while the job had no run there.
    bool isUnreliable(const std::string& server, const std::string& jobId) const;
    void countCrash(const BackendServer& server, const ExposedRun& run, Restart& restart, SteadyTime now);
    /// Takes back what was counted before a mass restart became apparent.
    void clearMassRestarts();
    /// Does not place the task, or its gang, before `time` has passed. Precondition: the task is known.
    void hold(const TaskName& name, Duration time, const char* reason, SteadyTime now);
    /// Lets suspects of one crash start one after the other, so that a further crash has one suspect.
    void separateSuspects(const std::vector<ExposedRun>& runs, SteadyTime now);

    Board& board;
    Effects& effects;
    JobTracker& tracker;
    std::deque<Restart> restarts; ///< oldest first
    std::map<std::string, std::deque<const Restart*>> restartsByServer; ///< oldest first
    std::map<std::string, std::set<TaskName>> lost; ///< tasks with a LostRun, by its server
};

} // namespace WisteriaHill::Scheduling
