/// What callers and backend servers saw during a soak, and the promises that are checked against it.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace WisteriaHill::Soak {

using Duration = std::chrono::milliseconds;

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
    std::optional<Moment> ended; ///< unset while it runs; the kill of a server ends its runs
    std::string outcome; ///< of the end; empty after a kill
    bool acknowledged = false; ///< a daemon has taken note of the end
};

/// A step of a job that a caller asked for.
struct PlannedStep {
    int tasks = 1;
    bool gang = false;
    bool afterPrevious = false;
    int accelerators = 0;
    Duration work { 0 }; ///< of a task
};

enum class CallKind { Submit, State, Cancel };

/// One call and its answer.
struct Call {
    CallKind kind = CallKind::State;
    int daemon = 0;
    Moment sent {};
    Moment ended {}; ///< answered, broken or given up
    int status = 0; ///< zero when there was no whole answer
    bool broken = false; ///< the connection ended before the answer
    std::string state; ///< the job's, when it was answered
};

/// A job and all calls about it, in the order of their ends.
struct JobHistory {
    std::vector<PlannedStep> steps;
    std::vector<Call> calls;
};

/// A stop that was asked for by SIGTERM.
struct PlannedStop {
    int daemon = 0;
    Moment requested {};
    Moment resumed {}; ///< end of the last pause while it stopped; a paused process can do nothing
    Moment exited {};
    int status = -1; ///< exit status; negative after a signal
    bool faultFree = false; ///< nothing else was wrong from the contact time before it to its end
};

struct History {
    std::vector<Run> runs;
    std::map<std::string, JobHistory> jobs;
    std::vector<PlannedStop> stops;
    std::vector<std::string> unexpectedEnds; ///< of processes that nobody ended
    Moment healed {}; ///< nothing was wrong from here on
    Moment finished {};
};

/// One line for each promise that was broken; empty when all were kept.
std::vector<std::string> findViolations(const History& history);

} // namespace WisteriaHill::Soak
