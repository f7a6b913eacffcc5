/// The blackboard of the scheduler: jobs, their tasks and runs, and backend servers. Controllers read and write it.
#pragma once

#include "scheduling/fleetconfiguration.h"
#include "scheduling/runtimes.h"
#include "scheduling/serverorders.h"
#include "scheduling/statestore.h"
#include "scheduling/unstoredsuccesses.h"
#include "utils/checkedjson.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

enum class RunPhase {
    Recording, ///< its record is being stored; no order was sent
    Ordered, ///< the start may have been ordered; no answer yet
    Active, ///< the backend server has confirmed it
    Stopping, ///< to be stopped; its end is awaited
};

/// What a job's client can still get.
enum class Outlook {
    OnTime, ///< may end within its objective
    Late, ///< will miss its objective, but is still of use
    TooLate, ///< is of no use to its client any more
};

/// Lower-case name of an outlook, for logs and metrics.
std::string outlookName(Outlook outlook);

/// One run of a task on a backend server.
struct Run {
    int attempt = 0;
    std::string server;
    std::int64_t incarnation = 0; ///< of the server when the run was placed
    RunPhase phase = RunPhase::Recording;
    SteadyTime phaseSince {};
    std::string checkpoint; ///< that the start carries
    bool adopted = false; ///< an earlier scheduler started it, so that its age is not known
    std::optional<SteadyTime> activeSince; ///< when the server confirmed it; unset for an adopted run
    int percent = 0;
    SteadyTime progressedAt {}; ///< when percent last moved
    std::int64_t load = 0;
    int pace = 100;
    bool orderOpen = false; ///< a start or stop order awaits its answer
    SteadyTime nextOrderAt {};
    bool startUnanswered = false; ///< a start had no answer and may be carried out late
    std::optional<SteadyTime> stopConfirmedAt; ///< the server will not start the run any more
    std::string stopReason;
    std::string ticket; ///< of placement advice

    /// How long it has been at work; nothing when that is not known.
    std::optional<Duration> ranFor(SteadyTime now) const;
};

/// How long a run has been at work, for logs; null when that is not known.
Utils::Json ranMs(const Run& run, SteadyTime now);

enum class TaskPhase { Waiting, Running, Done };

struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    int attempts = 0; ///< runs so far
    int failures = 0; ///< runs that ended by a failure of their own
    std::string checkpoint; ///< latest known
    std::optional<Run> run; ///< set while Running
    SteadyTime waitingSince {};
    SteadyTime atWorkSince {}; ///< of a long-running task
};

/// Leave of the placement advice to run a step's tasks on one server.
struct Ticket {
    std::string text;
    SteadyTime validUntil {};
};

struct Step {
    std::vector<Task> tasks;
    int done = 0;
    int running = 0;
    SteadyTime readySince {}; ///< when its prerequisites were met
    int lastFailedAttempt = 0; ///< of a gang
    bool ready = false;
    Outlook outlook = Outlook::OnTime; ///< in the last planning pass in which it waited
    std::map<std::string, Ticket> tickets; ///< by server, of queues with placement advice
    std::set<std::string> deniedServers; ///< the advice for a step doesn't change
};

/// One due execution of a job's steps.
struct Occurrence {
    int index = 0;
    std::vector<Step> steps;

    /// Throws std::out_of_range when there is no such step.
    Step& stepAt(int number) { return this->steps.at(static_cast<std::size_t>(number)); }
    SteadyTime createdAt {};
    bool finished = false;
    bool dirty = false; ///< differs from the stored row
    bool stored = false; ///< has a stored row
};

struct Job {
    JobRecord record;
    const Queue* queue = nullptr; ///< in the configuration in force; null when it was removed
    JobState state = JobState::Queued;
    JobState storedState = JobState::Queued;
    std::map<int, Occurrence> occurrences; ///< by index; made when due
    int nextOccurrence = 0;
    SteadyTime acceptedAt {};
    SteadyTime finishedAt {};
    std::set<std::string> failedOn; ///< servers on which its runs failed
    bool begun = false; ///< a task has started
    bool stateDirty = false;
    bool unfit = false; ///< reported as fitting no backend server

    bool ended() const
    {
        return this->state == JobState::Completed || this->state == JobState::Failed
            || this->state == JobState::Cancelled;
    }
};

/// A backend server as its entry in the store and its answers describe it.
struct BackendServer {
    ServerAddress address;
    std::string service;
    std::string zone;
    std::string rack;
    std::set<std::string> labels;
    Resources capacity;
    std::string machine; ///< the machine of which this server is one life
    bool evacuating = false; ///< its machine is due for upkeep
    bool present = false; ///< its entry is in the store
    bool draining = false;
    SteadyTime drainUntil {}; ///< earliest end while draining

    std::int64_t incarnation = 0; ///< start, Unix milliseconds; 0 before the first answer
    ServerTime clock { 0 }; ///< at clockReadAt
    SteadyTime clockReadAt {};
    std::int64_t lastProcessedEnd = 0; ///< ends up to this number were taken over into the blackboard
    std::int64_t lastStoredEnd = 0; ///< ends up to this number are stored
    std::int64_t lastDiscardedEnd = 0; ///< ends up to this number were forgotten by the server, as it has confirmed
    bool pollOpen = false;
    std::uint64_t pollSerial = 0; ///< of the newest look; answers of older ones are ignored
    SteadyTime nextPollAt {};
    bool pollSoon = false; ///< the next look does not wait for an end
    int unansweredPolls = 0;
    bool fenced = false; ///< it has answered a look under the current token
    SteadyTime leaseEnd {}; ///< nothing runs past this without a further order
    std::map<TaskName, Resources> occupants; ///< current runs placed here, and runs being stopped
    std::set<std::string> failedJobs; ///< distinct jobs whose runs failed here since the last success
    SteadyTime lastSuccessAt {}; ///< when a run last ended well here
    SteadyTime avoidUntil {}; ///< not used for new runs before, unless nothing else fits

    /// Capacity left beside all occupants.
    Resources freeCapacity() const
    {
        Resources free = this->capacity;
        for (const auto& [name, need] : this->occupants)
            free -= need;
        return free;
    }
};

/// All that the scheduler knows. Thread safety: none.
struct Board {
    std::shared_ptr<const FleetConfiguration> configuration;
    std::map<std::string, Job> jobs;
    std::map<std::string, BackendServer> servers;
    RunTimes runTimes; ///< learned from runs that ended as done
    std::set<std::string> dirtyRunTimes; ///< queues whose run times differ from the stored row
    UnstoredSuccesses unstoredSuccesses; ///< kept when the leadership is lost
    std::set<std::string> dirtyJobs; ///< jobs with rows that differ from the stored ones
    bool hasAdvisedQueues = false; ///< some queue needs placement advice
    bool hasLatencyTargets = false; ///< some job has tasks with a latency target

    /// Puts a configuration in force and finds every job's queue in it.
    void setConfiguration(std::shared_ptr<const FleetConfiguration> inForce);

    /// The task, or nothing when it is not known.
    Task* findTask(const TaskName& name);

    /// The step specification of a task of a known job. Precondition: the task exists.
    const StepSpecification& stepOf(const TaskName& name) const;
};

/// Steps with tasks that wait for room, by queue and by their outlook in the last planning pass.
using WaitingStepCounts = std::map<std::pair<std::string, Outlook>, std::size_t>;

WaitingStepCounts countWaitingSteps(const Board& board);

} // namespace WisteriaHill::Scheduling
