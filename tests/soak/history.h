/// What callers and backend servers observed during a soak, and the invariants that are checked against it.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace WisteriaHill::Soak {

using Duration = std::chrono::milliseconds;

constexpr int acceleratorsPerServer = 8; ///< of the server stand-in
constexpr int coresPerServer = 32; ///< of the server stand-in; each task needs one

inline bool isSuccess(int status) { return status >= 200 && status < 300; }

/// A point on the machine's steady clock, shared by all processes of a soak.
using Moment = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// The machine's steady clock.
inline Moment now() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

/// One run of one task, as its server recorded it.
struct Run {
    std::string server;
    std::string task; ///< job.occurrence.step.index
    int attempt = 0;
    Moment started {};
    std::optional<Moment> ended; ///< unset while the task runs; the kill of a server ends its runs
    std::string outcome; ///< how the run ended; empty after a kill of the server
    bool acknowledged = false; ///< a daemon acknowledged the end record
};

/// A step of a job that a caller submitted.
struct PlannedStep {
    int tasks = 1;
    bool gang = false;
    bool afterPrevious = false;
    int accelerators = 0;
    Duration work { 0 }; ///< run time of a task
    bool lasts = false; ///< until the job is cancelled
};

enum class CallKind { Submit, State, Cancel };

/// One call and its answer.
struct Call {
    CallKind kind = CallKind::State;
    int daemon = 0;
    Moment sent {};
    Moment ended {}; ///< when the call was answered, broke or timed out
    int status = 0; ///< zero without a complete answer
    bool broken = false; ///< the connection ended before the answer
    std::string state; ///< of the job, when the answer has it
};

/// A job and all calls about it, in the order of their ends.
struct JobHistory {
    std::vector<PlannedStep> steps;
    std::vector<Call> calls;
};

/// A graceful stop that SIGTERM requested.
struct PlannedStop {
    int daemon = 0;
    Moment requested {};
    Moment resumed {}; ///< end of the last pause during the stop; a paused process makes no progress
    Moment exited {};
    int status = -1; ///< exit status; negative after a signal
    bool faultFree = false; ///< no fault was active during the stop and in the fault-free time before it
};

struct History {
    std::vector<Run> runs;
    std::map<std::string, JobHistory> jobs;
    std::vector<PlannedStop> stops;
    std::vector<std::string> unexpectedEnds; ///< of processes that the soak did not end
    int servers = 0;
    Moment healed {}; ///< no fault was active from here on; servers may still fail a part of what they start
    Moment trafficEnded {}; ///< no job was begun from here on; not before the end of the last fault
    Moment finished {};
};

std::string jobOf(const std::string& task);
std::size_t stepOf(const std::string& task);
std::string taskName(const std::string& job, std::size_t step, int index);

/// True for the states that a job keeps.
bool isFinal(const std::string& state);

/// One line for each violated invariant; empty when there is none.
std::vector<std::string> findViolations(const History& history);

} // namespace WisteriaHill::Soak
