/// Moves jobs, steps and tasks through their states on the blackboard.
#pragma once

#include "scheduling/board.h"
#include "scheduling/effects.h"
#include "scheduling/estimates/speedlearner.h"
#include "scheduling/runloss.h"

#include <string>

namespace WisteriaHill::Scheduling {

/// Changes the blackboard and pushes log lines and measurements, but no calls. Thread safety: none.
class JobTracker {
public:
    JobTracker(Board& board, Effects& effects)
        : board(board)
        , effects(effects)
        , learner(board, effects)
    {
    }

    /// Adds a stored job. Does nothing when the job is known.
    void addJob(JobRecord record, RowVersion rowVersion, JobState storedState, SteadyTime acceptedAt, SteadyTime now);

    /// Restores an occurrence from its stored rows, by number, and creates the earlier ones that have no row yet.
    /// Returns false when a row does not fit the job. Precondition: the job is known.
    bool restoreOccurrence(const std::string& jobId, int index, const std::map<int, std::string>& rows, SteadyTime now);

    /// Creates the occurrences that are due at `wallNow`, the wall-clock time that the daemons agree on.
    void createDueOccurrences(WallTime wallNow, SteadyTime now);

    /// Ends a job at its client's request and requests the stops of its runs. Does nothing when the job is not known or
    /// has ended.
    void cancelJob(const std::string& jobId, SteadyTime now);

    /// Learns from the progress that a server has listed of its current run. Called before `run.percent` changes.
    void runProgressed(const BackendServer& server, const TaskName& name, Run& run, int percent, SteadyTime now)
    {
        this->learner.progressed(server, name, run, percent, now);
    }

    /// Applies the speeds that an earlier scheduler stored to the run times that are expected.
    void applySpeeds() { this->learner.applyProofs(); }

    /// Processes the end of a run that a backend server has listed.
    void runEnded(BackendServer& server, const EndedRun& ended, SteadyTime now);

    /// Processes the success of a run that an earlier scheduler saw and could not store.
    void successReported(const ReportedSuccess& success, SteadyTime now);

    /// Requeues the task of a run that is certainly over; a lost gang member stops the whole gang. Does nothing when
    /// the task has no run.
    void runLost(const TaskName& name, RunLoss loss, SteadyTime now);

    /// Requests the stop of a run and, for a gang member, of the whole gang. A run whose start was not ordered is
    /// requeued at once. Does nothing when the task has no run or its run is being stopped.
    void requestStop(const TaskName& name, const std::string& reason, SteadyTime now);

    /// Processes that the backend server has confirmed a run.
    void runConfirmed(const TaskName& name, SteadyTime now);

    /// Marks the stored row of the task as outdated, and for a gang member that of the first task, which holds what the
    /// members share. Precondition: the task is known.
    void markDirty(const TaskName& name);

    /// Removes a job from the blackboard. Precondition: the job has ended and has no runs.
    void removeJob(const std::string& jobId) { this->board.jobs.erase(jobId); }

    /// True when no task of the job has a run.
    static bool hasNoRuns(const Job& job);

    /// Ends a job as failed and requests the stops of its runs. Does nothing when it has ended.
    void giveUp(Job& job, const std::string& reason, SteadyTime now)
    {
        this->endJob(job, JobState::Failed, reason, now);
    }

    /// Requests the stops of all runs of a gang. `name` is any of its members.
    void stopGang(const TaskName& name, const std::string& reason, SteadyTime now);

private:
    /// Adopts the restored runs of an occurrence, and counts its tasks.
    void adoptTasks(Job& job, Occurrence& occurrence, SteadyTime now);
    Occurrence& createOccurrence(Job& job, int index, SteadyTime now);
    /// Marks a task, or the task's whole gang, as done.
    void finish(Job& job, Occurrence& occurrence, int step, Task& task, SteadyTime now);
    void finishTask(Job& job, Occurrence& occurrence, int step, Task& task);
    void finishGang(Job& job, Occurrence& occurrence, int step);
    static void countFailure(const TaskName& name, const Job& job, Step& step, Task& task);
    /// Marks a task as done by a run that had been given up because its server was unreachable.
    void acceptLateSuccess(const std::string& server, const TaskName& name, int attempt, SteadyTime now);
    /// Decides, after a failed run of the job, whether the server is avoided.
    void assessServer(BackendServer& server, Job& job, SteadyTime now);
    void requeue(const TaskName& name, Step& step, Task& task, SteadyTime now);
    void updateReadiness(const Job& job, Occurrence& occurrence, SteadyTime now);
    void updateJob(Job& job, SteadyTime now);
    void endJob(Job& job, JobState state, const std::string& reason, SteadyTime now);
    void reportEnd(const Job& job, const std::string& reason, SteadyTime now);
    void releaseOccupant(const TaskName& name, const std::string& server);

    Board& board;
    Effects& effects;
    Estimates::SpeedLearner learner;
};

} // namespace WisteriaHill::Scheduling
