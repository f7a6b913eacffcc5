/// Jobs of the fleet: steps of tasks with resources, dependencies and placement constraints.
#pragma once

#include "utils/steadytime.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

using Utils::Duration;
using Utils::SteadyTime;

/// A point on the state store's steady clock, which all daemons share; milliseconds.
using StoreTime = std::chrono::milliseconds;

/// A point of the wall clock; milliseconds since 1970.
using WallTime = std::chrono::milliseconds;

/// What a task needs or a backend server offers.
struct Resources {
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources&) const = default;

    /// True when `need` does not exceed any of these resources.
    bool holds(const Resources& need) const
    {
        return need.milliCores <= this->milliCores && need.memoryMb <= this->memoryMb
            && need.accelerators <= this->accelerators;
    }

    Resources& operator+=(const Resources& other)
    {
        this->milliCores += other.milliCores;
        this->memoryMb += other.memoryMb;
        this->accelerators += other.accelerators;
        return *this;
    }

    Resources& operator-=(const Resources& other)
    {
        this->milliCores -= other.milliCores;
        this->memoryMb -= other.memoryMb;
        this->accelerators -= other.accelerators;
        return *this;
    }
};

/// One step of a job: tasks with the same resources and constraints.
struct StepSpecification {
    int taskCount = 1;
    Resources perTask;
    Duration estimate { 0 }; ///< declared run time of a task; a hint
    std::vector<int> prerequisites; ///< earlier steps that must be done first
    bool savesProgress = false; ///< a stopped task writes a checkpoint, from which it can go on
    bool gang = false; ///< the tasks start and stop together
    bool sameRack = false; ///< the tasks are slower when they span racks
    std::string requiredLabel; ///< label that a backend server must have; empty for none
    std::string dataRack; ///< rack that holds the tasks' data; empty for no preference
    int maximumPerServer = 0; ///< tasks of the step on one backend server; zero for no limit
    bool duplicatesAllowed = false; ///< several runs of a task may overlap
    bool longRunning = false; ///< runs until the job is cancelled
    int maximumMissing = 0; ///< tasks of a long-running step that may be down at once when the scheduler stops one
    std::string image;
    Duration latencyTarget { 0 }; ///< target of a task that serves users; zero for any other task
    bool fillsIdleCapacity = false; ///< the tasks' processor need does not count against the server's capacity

    bool operator==(const StepSpecification&) const = default;
};

/// A job as its client declared it.
struct JobSpecification {
    std::string payload;
    std::vector<StepSpecification> steps;
    int occurrences = 0; ///< number of scheduled executions; zero for a job that runs once, immediately
    WallTime firstDue { 0 };
    Duration interval { 0 }; ///< between the due times of two occurrences

    bool operator==(const JobSpecification&) const = default;
};

/// A job as it is stored.
struct JobRecord {
    std::string id;
    std::string host; ///< host name of the queue that accepted the job
    std::string pathPrefix; ///< of the same queue
    std::string account;
    StoreTime acceptedAt { 0 };
    JobSpecification specification;
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

/// Names one task of one job.
struct TaskName {
    std::string jobId;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const TaskName&) const = default; // NOLINT(modernize-use-nullptr): false alarm on <=>
};

/// Formats the name as "job.occurrence.step.index", the form in logs and messages to backend servers.
std::string formatTaskName(const TaskName& name);

/// Parses the form that formatTaskName() writes. Returns false, with `name` partly set, when the text is malformed.
bool parseTaskName(const std::string& text, TaskName& name);

/// A one-line summary of each step, for logs.
std::vector<std::string> describeSteps(const JobSpecification& job);

/// Lower-case name of a state, as in interfaces, logs and metrics.
std::string jobStateName(JobState state);

} // namespace WisteriaHill::Scheduling
