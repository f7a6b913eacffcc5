/// Moves jobs, steps and tasks through their states on the blackboard.
#pragma once

#include "scheduling/board.h"
#include "scheduling/effects.h"

#include <string>

namespace WisteriaHill::Scheduling {

/// Why a run is over without an end that its backend server listed.
enum class RunLoss {
    ServerGone, ///< the server left or its lease ran out unseen
    ServerRestarted,
    NeverStarted, ///< the server refused the start
    NotListed, ///< the server confirmed the start and no longer lists the run
};

std::string runLossName(RunLoss loss);

/// All methods change the blackboard only. Thread safety: none.
class JobTracker {
public:
    JobTracker(Board& board, Effects& effects)
        : board(board)
        , effects(effects)
    {
    }

    /// Adds a stored job; ignored when it is known.
    void addJob(JobRecord record, JobState storedState, SteadyTime acceptedAt, SteadyTime now);

    /// Takes over a stored row of an occurrence. The job must be known. False when the row doesn't fit the job.
    bool restoreOccurrence(const std::string& jobId, int index, const std::string& text, SteadyTime now);

    /// Creates the occurrences that are due at `wallNow`, the time of day that the daemons agree on.
    void createDueOccurrences(WallTime wallNow, SteadyTime now);

    /// Ends a job at its client's wish. Its runs are to be stopped.
    void cancelJob(const std::string& jobId, SteadyTime now);

    /// Takes over an end that a backend server has listed.
    void runEnded(BackendServer& server, const EndedRun& ended, SteadyTime now);

    /// Takes over what a former scheduler saw and could not store.
    void successReported(const ReportedSuccess& success, SteadyTime now);

    /// Returns the task of a run that is surely over to the queue.
    void runLost(const TaskName& name, RunLoss loss, SteadyTime now);

    /// Asks for a run's end, and for that of the whole gang with a member. Does nothing when the task isn't running or
    /// its run is being stopped.
    void requestStop(const TaskName& name, const std::string& reason, SteadyTime now);

    /// Marks a run as confirmed by its backend server.
    void runConfirmed(const TaskName& name, SteadyTime now);

    /// Marks the stored row of an occurrence as outdated.
    void markDirty(const TaskName& name);

    /// Removes an ended job without runs. Precondition: the job is known.
    void removeJob(const std::string& jobId) { this->board.jobs.erase(jobId); }

    /// True when no task of the job has a run.
    static bool hasNoRuns(const Job& job);

private:
    Occurrence& createOccurrence(Job& job, int index, SteadyTime now);
    /// Takes over that a task, or the gang of a task, is done.
    void finish(Job& job, Occurrence& occurrence, int step, Task& task, SteadyTime now);
    void finishTask(Job& job, Occurrence& occurrence, int step, Task& task);
    void finishGang(Job& job, Occurrence& occurrence, int step);
    void countFailure(const TaskName& name, Job& job, Step& step, Task& task, SteadyTime now);
    /// Takes over that a run which was given up was done all the same, on a server that could not be reached.
    void acceptLateSuccess(const std::string& server, const TaskName& name, int attempt, SteadyTime now);
    void assessServer(BackendServer& server, Job& job, SteadyTime now);
    void requeue(const TaskName& name, Step& step, Task& task, SteadyTime now);
    void stopGang(const TaskName& name, const std::string& reason, SteadyTime now);
    void updateReadiness(const Job& job, Occurrence& occurrence, SteadyTime now);
    void updateJob(Job& job, SteadyTime now);
    void endJob(Job& job, JobState state, const std::string& reason, SteadyTime now);
    void learnRunTime(
        const BackendServer& server, const Job& job, const TaskName& name, const Run& run, SteadyTime now);
    void reportEnd(const Job& job, const std::string& reason, SteadyTime now);
    void releaseOccupant(const TaskName& name, const std::string& server);

    Board& board;
    Effects& effects;
};

} // namespace WisteriaHill::Scheduling
