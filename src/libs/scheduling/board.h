/// The scheduler's blackboard: jobs, their tasks and runs, and backend servers. Controllers read and write it.
#pragma once

#include "scheduling/advice/steptickets.h"
#include "scheduling/estimates/serverspeeds.h"
#include "scheduling/estimates/speedrows.h"
#include "scheduling/evacuation/evacuatedzones.h"
#include "scheduling/fleetconfiguration.h"
#include "scheduling/runtimes.h"
#include "scheduling/serverorders.h"
#include "scheduling/statestore.h"
#include "scheduling/unstoredsuccesses.h"
#include "scheduling/waitreason.h"
#include "utils/checkedjson.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

enum class RunPhase {
    Recording, ///< the run's record is being stored; no order was sent
    Ordered, ///< a start order may have been sent; the server has not confirmed it
    Active, ///< the backend server has confirmed the run
    Stopping, ///< the run is to be stopped, and its server has not listed its end yet
};

/// Of what use a job's result will be to its client.
enum class Outlook {
    OnTime, ///< the job can still end within its objective
    Late, ///< the job will miss its objective, but its result is still of use
    TooLate, ///< the job's result will be of no use to its client
};

/// Lower-case name of an outlook, for logs and metrics.
std::string outlookName(Outlook outlook);

/// One run of a task on a backend server.
struct Run {
    int attempt = 0;
    std::string server;
    std::int64_t incarnation = 0; ///< of the server when the run was placed
    std::string machine; ///< of the server; empty when it is not known
    RunPhase phase = RunPhase::Recording;
    SteadyTime phaseSince {};
    SteadyTime orderedAt {}; ///< when the start was first ordered, or the run was adopted
    std::string checkpoint; ///< checkpoint from which the run starts; empty to start anew
    bool adopted = false; ///< an earlier scheduler started the run, so its age is unknown
    std::optional<SteadyTime> activeSince; ///< when the server confirmed the run; unset for an adopted run
    int percent = 0; ///< progress that the server last listed
    SteadyTime progressedAt {}; ///< when `percent` last changed
    SteadyTime listedAt {}; ///< when the server last listed or confirmed the run
    std::int64_t load = 0; ///< latency in ms of a task that serves users, millicores in use of any other
    int pace = 100; ///< percent of full speed
    bool orderOpen = false; ///< a start or stop order awaits its answer
    SteadyTime nextOrderAt {};
    bool startSent = false; ///< a start order was sent; set for adopted runs too
    /// When the first start order was sent to this life of the server, or the run was adopted.
    std::optional<SteadyTime> firstSentAt;
    bool omitted = false; ///< the server has answered a poll sent after `firstSentAt`, and did not list the run
    bool listed = false; ///< the answer to a poll has listed the run
    bool startUnanswered = false; ///< a start order got no answer, and the server may still execute it
    SteadyTime unansweredAt {}; ///< when the last start order without an answer was given up
    std::optional<SteadyTime> stopConfirmedAt; ///< when the server confirmed that it will not start the run any more
    std::string stopReason;
    std::string ticket; ///< placement ticket that the start order carries
    Estimates::RunObservation observation; ///< what the run has told of its machine

    /// Time since the server confirmed the run; unset when that time is unknown.
    std::optional<Duration> ranFor(SteadyTime now) const;
};

/// Run::ranFor() in milliseconds, for logs; null when unset.
Utils::Json ranMs(const Run& run, SteadyTime now);

enum class TaskPhase { Waiting, Running, Done };

/// A run that was lost with a server that stopped answering. It is not known yet whether the server crashed.
struct LostRun {
    std::string server;
    std::int64_t incarnation = 0;
    int suspicion = 0; ///< that its start crashed the server, if it crashed
    bool wasThere = true; ///< the run had begun on the server, or no answer after its start shows that it had not
};

struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    int attempts = 0; ///< number of runs so far
    int failures = 0; ///< number of runs that failed by themselves; a gang counts in its first task
    int crashes = 0; ///< number of server crashes under a run of the task, with those before which it may have begun
    int provenCrashes = 0; ///< those of them without an answer that shows that the run had not begun
    int suspicion = 0; ///< that the task's start causes the crashes; CrashController weighs them
    int runsAfterCrashes = 0; ///< that have ended, but not as done, after servers had crashed under the task
    std::vector<LostRun> lostRuns; ///< oldest first; each until its server answers again
    int stalls = 0; ///< number of runs stopped for lack of progress; a gang counts in its first task
    std::string checkpoint; ///< newest known checkpoint; a gang keeps it in its first task
    std::optional<Run> run; ///< current run; set while the phase is Running
    SteadyTime heldUntil {}; ///< the task is not placed before; a gang with such a member is not placed either
    SteadyTime waitingSince {};
    SteadyTime lastRunAt {}; ///< latest time at which an ended or lost run is known to have been running
};

struct Step {
    std::vector<Task> tasks;
    int done = 0;
    int running = 0;
    SteadyTime readySince {}; ///< when its prerequisites were met, or when this leader has read it
    SteadyTime turnSince {}; ///< the same, but of a step that this leader has read, when its job was accepted
    int lastFailedAttempt = 0; ///< newest attempt of a gang in which a member failed
    bool ready = false; ///< all prerequisites are done
    Outlook outlook = Outlook::OnTime; ///< outlook in the last planning pass in which the step waited
    WaitReason waitReason = WaitReason::NoRoom; ///< in the last report
    SteadyTime waitReportedAt {}; ///< when `waitReason` was found
    Advice::StepTickets advice; ///< only for queues with placement advice
    Estimates::StepObservation observation; ///< what the runs have told of the step's tasks
};

/// Tasks in one stored row. An entry takes about 100 bytes, and the store limits a row to 64 KiB.
constexpr std::size_t tasksPerRow = 64;

/// One due execution of a job's steps.
struct Occurrence {
    int index = 0;
    std::vector<Step> steps;

    /// Throws std::out_of_range when there is no such step.
    Step& stepAt(int number) { return this->steps.at(static_cast<std::size_t>(number)); }
    SteadyTime createdAt {};
    bool finished = false;
    std::set<int> dirtyRows; ///< numbers of rows that differ from the stored ones
    std::set<int> storedRows; ///< numbers of rows that are stored

    /// The number of the row that holds a task. A row holds a limited number of tasks, since the store limits its size.
    int rowOf(int step, int index) const;
};

struct Job {
    JobRecord record;
    RowVersion rowVersion = 0; ///< of the row that holds the record
    const Queue* queue = nullptr; ///< the job's queue in the configuration in force; null when it was removed
    JobState state = JobState::Queued;
    JobState storedState = JobState::Queued;
    std::map<int, Occurrence> occurrences; ///< by index; created when due
    int nextOccurrence = 0;
    SteadyTime acceptedAt {};
    SteadyTime finishedAt {};
    SteadyTime lastRunAt {}; ///< latest time at which an ended or lost run is known to have been running
    std::set<std::string> failedOn; ///< ids of servers on which runs of the job failed
    bool begun = false; ///< a task has started
    bool stateDirty = false; ///< `state` is not stored yet
    bool unstorable = false; ///< the store refused a row of its progress as invalid; no more of them are stored

    bool ended() const
    {
        return this->state == JobState::Completed || this->state == JobState::Failed
            || this->state == JobState::Cancelled;
    }

    /// True when a server has listed or confirmed a run of the job after `listedSince` that is not known to have ended,
    /// or when a run was placed, or its start was ordered, after `startingSince`.
    bool isRunning(SteadyTime listedSince, SteadyTime startingSince) const;
};

/// A backend server as described by its entry in the store and its poll answers.
struct BackendServer {
    ServerAddress address;
    std::string service;
    std::string zone;
    std::string rack;
    std::set<std::string> labels;
    Resources capacity;
    std::string machine; ///< the machine that the server runs on; a new server joins after its upkeep
    std::int64_t registeredStart = 0; ///< start time in the server's entry, Unix milliseconds; 0 when unknown
    bool evacuating = false; ///< the server's machine is due for upkeep
    bool present = false; ///< the server's entry is in the store
    bool replaced = false; ///< another server has registered on the machine; this one is over unless it still answers
    bool draining = false;
    SteadyTime drainUntil {}; ///< earliest time at which a draining server leaves

    std::int64_t incarnation = 0; ///< start time of the server, Unix milliseconds; 0 before its first answer
    ServerTime clock { 0 }; ///< the server's clock at clockReadAt
    SteadyTime clockReadAt {};
    std::int64_t lastProcessedEnd = 0; ///< end records up to this number are processed into the blackboard
    std::int64_t lastStoredEnd = 0; ///< the state after the end records up to this number is stored
    std::int64_t lastDiscardedEnd = 0; ///< the server has confirmed that it discarded end records up to this number
    bool hasUnlistedEnds = false; ///< the last answer may have left out end records
    bool pollOpen = false; ///< a poll awaits its answer
    bool pollMayWait = false; ///< the open poll is answered at the next end of a run or after its wait
    std::uint64_t pollSerial = 0; ///< number of the newest poll; answers to older ones are ignored
    SteadyTime nextPollAt {};
    bool pollSoon = false; ///< the server shall answer the next poll at once instead of waiting for an end
    int unansweredPolls = 0; ///< number of polls in a row that got no answer or a refusal
    bool fenced = false; ///< the server has answered a poll under the current token
    bool pollReplaced = false; ///< the next poll replaces an open one, whose answer is not awaited any more
    ServerTime grantedUntil { 0 }; ///< latest lease end, on the server's clock, that orders of this term have granted
    /// The end of the lease of runs that the server has not listed: if it has restarted unnoticed, it measures their
    /// lease from the arrival of the start order.
    SteadyTime unlistedLeaseEnd {};
    SteadyTime leaseEnd {}; ///< without a further order the server runs nothing after this time
    std::map<TaskName, Resources> occupants; ///< runs placed on the server, including those being stopped
    std::set<std::string> failedJobs; ///< distinct jobs whose runs failed on the server since its last success
    SteadyTime lastSuccessAt {}; ///< when a run on the server last ended as done
    SteadyTime refusesUntil {}; ///< the server has refused a start, and is expected to refuse others until this time
    SteadyTime avoidUntil {}; ///< until this time the server gets new runs only when nothing else fits

    /// What is known of speeds is kept by machine; a server that names none is its own.
    const std::string& speedKey() const { return this->machine.empty() ? this->address.id : this->machine; }

    /// When this life of the server's machine began, Unix milliseconds; 0 when unknown.
    std::int64_t startOfLife() const { return std::max(this->incarnation, this->registeredStart); }

    /// True when the server has answered as the life that its entry states, so that the entry is its own.
    bool hasConfirmedEntry() const { return this->incarnation != 0 && this->incarnation == this->registeredStart; }

    /// True when the server is about to leave, or was taken down for upkeep, so that its end is no crash.
    bool leavesAsPlanned() const { return this->draining || this->evacuating; }

    /// Capacity that the occupants leave free.
    Resources freeCapacity() const
    {
        Resources free = this->capacity;
        for (const auto& [name, need] : this->occupants)
            free -= need;
        return free;
    }
};

/// The scheduler's whole state. Thread safety: none.
struct Board {
    std::shared_ptr<const FleetConfiguration> configuration;
    std::map<std::string, Job> jobs;
    std::map<std::string, BackendServer> servers;
    RunTimes runTimes; ///< learned from runs that ended as done
    Estimates::ServerSpeeds speeds; ///< learned from runs, by service and machine
    Estimates::SpeedRows speedRows; ///< which of them differ from the stored rows
    std::set<std::string> dirtyRunTimes; ///< names of queues whose run times differ from the stored row
    Evacuation::EvacuatedZones evacuatedZones; ///< zones whose servers get no new runs
    UnstoredSuccesses unstoredSuccesses; ///< kept when the leadership is lost
    std::set<std::string> dirtyJobs; ///< ids of jobs with rows that differ from the stored ones
    bool hasAdvisedQueues = false; ///< at least one queue requires placement advice
    bool hasLatencyTargets = false; ///< a job with a latency target was added; never reset

    /// Puts a configuration in force and updates the queue of every job.
    void setConfiguration(std::shared_ptr<const FleetConfiguration> inForce);

    /// Null when the step's occurrence is not known. The task's index is ignored.
    Step* findStep(const TaskName& name);

    /// Null when the task is not known.
    Task* findTask(const TaskName& name);

    /// The specification of the task's step. Throws std::out_of_range when the job or the step is not known.
    const StepSpecification& stepOf(const TaskName& name) const;
};

/// Numbers of ready steps with waiting tasks, by the queue's path prefix and the outlook in the last planning pass.
using WaitingStepCounts = std::map<std::pair<std::string, Outlook>, std::size_t>;

WaitingStepCounts countWaitingSteps(const Board& board);

} // namespace WisteriaHill::Scheduling
