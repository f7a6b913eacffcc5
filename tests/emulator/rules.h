/// Judges by the users' rules TWICE, LOST, MIXED and BUDGET what servers, clients and the store have seen.
#pragma once

#include "support/fakeserver.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Emulator {

using Scheduling::SteadyTime;
using Scheduling::TaskName;

/// One life of a backend server.
using ServerLife = std::string;

/// Where a start came from.
struct StartOrigin {
    bool inTouch = false; ///< the machine that sent it was in touch when it sent it
    SteadyTime sentAt {};
};

/// Thread safety: none.
class RuleJudge {
public:
    /// A client's job was accepted. `maximumAttempts` is that of its queue.
    void accepted(const Scheduling::JobRecord& job, int maximumAttempts);
    void cancelled(const std::string& job) { this->jobs.at(job).cancelled = true; }

    void started(
        const ServerLife& server, const TaskName& task, int attempt, const StartOrigin& origin, SteadyTime now);
    void ended(const ServerLife& server, const TaskName& task, int attempt, Scheduling::RunEnd end, SteadyTime now);
    /// The end record was discarded on the order of a daemon.
    void notedEnd(const ServerLife& server, const TaskName& task, int attempt, SteadyTime now);
    /// The lease of a server has expired.
    void lapsed(const ServerLife& server);
    /// A server has crashed. `culprits` are the tasks that crashed it.
    void crashed(const ServerLife& server, const std::set<TaskName>& culprits, SteadyTime now);

    /// A client reads the state of a job; std::nullopt when it is told that there is no such job.
    void shown(const std::string& job, std::optional<Scheduling::JobState> state, SteadyTime now);

    /// How long the work that is owed takes on sound servers: its longest chain from the last due time on, and on
    /// `servers` servers of this capacity all of it and of the work that may be done before it.
    Scheduling::Duration timeOfWorkOwed(
        int servers, const Scheduling::Resources& capacity, Scheduling::StoreTime now) const;

    /// The stated time after the end of all faults is over.
    void judgeEnd(SteadyTime now);

    /// True when every job that must end is shown as ended and every task that lasts is at work.
    bool isSettled() const;

    /// Jobs whose state clients still ask for.
    std::vector<std::string> openJobs() const;

    /// Broken rules, each beginning with the rule's name and the time in ms.
    const std::vector<std::string>& violations() const { return this->found; }

private:
    struct Run {
        ServerLife server;
        int attempt = 0;
        SteadyTime startedAt {};
        StartOrigin origin;
        std::optional<SteadyTime> endedAt; ///< also when the server has crashed
        std::optional<Scheduling::RunEnd> end; ///< unset when the server has crashed
        bool lapsedUnnoted = false; ///< the server's lease expired before the end was taken note of
        std::optional<SteadyTime> notedAt;
    };

    struct TaskRecord {
        std::vector<Run> runs;
        int crashes = 0; ///< servers that crashed while the task ran on them
        int crashesCaused = 0;
        int startsAfterCrashes = 0; ///< by machines in touch, after crashesAllowed servers had crashed under it
    };

    struct JobRecord {
        Scheduling::JobRecord record;
        int maximumAttempts = 1;
        bool cancelled = false;
        std::optional<Scheduling::JobState> final;
        std::optional<SteadyTime> completedAt;
    };

    void report(const char* rule, SteadyTime at, const std::string& text);
    const Scheduling::StepSpecification& stepOf(const TaskName& task) const;
    /// The tasks that one end `done` of the task stands for: a gang, or the task itself.
    std::vector<TaskName> representedBy(const TaskName& task) const;
    std::vector<TaskName> tasksOf(const JobRecord& job) const;
    void judgeOverlap(const TaskName& task, const Run& run);
    void judgeStartAfterDone(const TaskName& task, const Run& run);
    void judgeAttempts(const TaskName& task, const Run& run);
    bool hasEndedDone(const TaskName& task) const;
    bool isAtWork(const TaskName& task) const;
    bool mayHaveFailed(const JobRecord& job) const;
    bool isOwed(const JobRecord& job) const;

    std::map<std::string, JobRecord> jobs;
    std::map<TaskName, TaskRecord> tasks;
    std::vector<std::string> found;
    std::set<std::string> reported; ///< rule and task, so that each is reported once
};

} // namespace WisteriaHill::Emulator
