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

/// A point on the steady clock of the state store, shared by all daemons; milliseconds.
using StoreTime = std::chrono::milliseconds;

/// A point of the time of day, milliseconds since 1970.
using WallTime = std::chrono::milliseconds;

/// What a task needs or a backend server offers.
struct Resources {
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources&) const = default;

    /// True when `need` fits into this.
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

/// One step of a job: tasks of one shape.
struct StepSpecification {
    int taskCount = 1;
    Resources perTask;
    Duration estimate { 0 }; ///< declared run time of a task; a hint
    std::vector<int> prerequisites; ///< earlier steps that must be done first
    bool savesProgress = false;
    bool gang = false; ///< the tasks run only together
    bool sameRack = false; ///< the tasks are slower when they span racks
    std::string requiredLabel; ///< empty when any backend server will do
    std::string dataRack; ///< rack that holds the data; empty when it doesn't matter
    int maximumPerServer = 0; ///< zero for no limit
    bool duplicatesAllowed = false; ///< copies may run beside each other
    bool longRunning = false; ///< runs until the job is cancelled
    int maximumMissing = 0; ///< tasks of a long-running step that may be down by the scheduler's own doing
    std::string image;
    Duration latencyTarget { 0 }; ///< of a task that serves users; zero for none
    bool fillsIdleCapacity = false; ///< its processor need is not counted against the server

    bool operator==(const StepSpecification&) const = default;
};

/// A job as its client declared it.
struct JobSpecification {
    std::string payload;
    std::vector<StepSpecification> steps;
    int occurrences = 0; ///< zero for a job that runs once, at once
    WallTime firstDue { 0 };
    Duration interval { 0 };

    bool operator==(const JobSpecification&) const = default;
};

/// A stored job.
struct JobRecord {
    std::string id;
    std::string host; ///< host name of the queue that took the job
    std::string pathPrefix;
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

/// "job.occurrence.step.index", as logs and backend servers write it.
std::string formatTaskName(const TaskName& name);

/// Reads what formatTaskName wrote; false when malformed.
bool parseTaskName(const std::string& text, TaskName& name);

/// Each step of a job in short, for logs.
std::vector<std::string> describeSteps(const JobSpecification& job);

/// Lower-case name of a state.
std::string jobStateName(JobState state);

} // namespace WisteriaHill::Scheduling
