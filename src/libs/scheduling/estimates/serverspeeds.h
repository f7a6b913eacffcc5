/// What is known of the speed of the machines that backend servers run on.
#pragma once

#include "scheduling/estimates/machinespeed.h"
#include "scheduling/estimates/progressreading.h"
#include "scheduling/estimates/tasktimes.h"
#include "scheduling/estimates/unevenness.h"

#include <limits>
#include <map>
#include <string>

namespace WisteriaHill::Scheduling::Estimates {

/// Speed of one machine, compared with a typical machine of its service.
struct SpeedEstimate {
    double slowness = 1; ///< run time of a task on the machine, divided by that on a typical machine of the service
    /// Standard deviation of the logarithm of `slowness`; infinite while nothing is known.
    double deviation = std::numeric_limits<double>::infinity();
    double runs = 0; ///< weight of the observations behind the estimate, in runs

    bool isKnown() const { return this->runs > 0; }
};

/// Where a machine stands among those of its service. Unknown as long as the estimate does not tell.
enum class SpeedClass { Fast, Unknown, Slow };

/// Lower-case name of a class, for logs and metrics.
std::string speedClassName(SpeedClass speed);

/// What one run has told so far. Kept with the run.
struct RunObservation {
    ProgressReading progress;
    MachineShare machine;
    double stepWeight = 0; ///< part in its step's sums
    double stepValue = 0;
    bool isExamined = false; ///< `isComparable` is set
    bool isComparable = false; ///< the run time tells something about the machine
    bool isCounted = false; ///< counted as a run
};

/// What the runs of one step tell of its tasks, whatever was declared. Kept with the step.
struct StepObservation {
    double weight = 0;
    double sum = 0;
};

/// The task of a run and how to weigh it.
struct ObservedTask {
    TaskKind kind;
    Duration declared { 0 };
    std::size_t job = 0; ///< tells jobs apart
    int taskCount = 1; ///< of its step
};

/// The means of the machines on both sides of the boundary between fast and slow ones, which lies in the middle.
/// Machines of two speeds may be unequal in number, so that their mean lies near one of the two. Thread safety: none.
class SpeedBoundary {
public:
    /// A machine's part, which it takes back before it gives another.
    struct Part {
        double weight = 0;
        double value = 0;
        bool isSlow = false;
    };

    void withdraw(const Part& part);
    Part add(double value, double weight);
    /// In the same logarithms as the machines' means.
    double value() const;

private:
    struct Side {
        double weight = 0;
        double sum = 0;
    };

    Side fast;
    Side slow;
};

/// One service.
struct ServiceSpeeds {
    std::map<std::string, MachineSpeed> machines;
    Unevenness unevenness;
    TaskTimes tasks; ///< what single tasks need on a typical machine
    double plainMeans = 0; ///< sum over the machines
    SpeedBoundary boundary;
    std::map<std::string, SpeedBoundary::Part> boundaryParts; ///< by machine

    double center() const
    {
        return this->machines.empty() ? 0 : this->plainMeans / static_cast<double>(this->machines.size());
    }
};

/// Speeds of machines by service, learned from run times: the logarithm of a run time is what its task needs, plus how
/// slow the machine is, plus noise. What a task needs is learned from its queue, its account, its size and the other
/// tasks of its step, which share what their declaration does not tell. A reading takes constant time. Pure: no clock,
/// no input or output. Thread safety: none.
class ServerSpeeds {
public:
    /// True once the machines of a service are proved to differ by more than the noise of run times. As long as it is
    /// false, nothing may be placed or forecast by speed.
    bool differ(const std::string& service) const;

    /// The estimate of a machine; that of an unknown one when the machines of the service are not proved to differ.
    SpeedEstimate of(const std::string& service, const std::string& machine) const;

    /// Fast or Slow when the estimate is certain enough to lie on one side of the boundary between the fast and the
    /// slow machines, which is near 1; Unknown otherwise, and while differ() is false.
    SpeedClass classOf(const std::string& service, const std::string& machine) const;

    /// Learns from a reading of a run, which takes the place of the run's earlier one. Ignored when the task declares
    /// no run time, or when the machine is new and too many are known.
    void learn(const std::string& service, const std::string& machine, const ObservedTask& task,
        const RunTimeReading& reading, RunObservation& run, StepObservation& step, SteadyTime now);

    /// How slow the machine is believed to be, whether or not machines are proved to differ; 1 for an unknown one. For
    /// learning only.
    double believedSlowness(const std::string& service, const std::string& machine) const;

    const std::map<std::string, ServiceSpeeds>& all() const { return this->services; }

    /// Replaces what is known of a machine, and of a service as a whole, by what an earlier scheduler stored.
    void restoreMachine(
        const std::string& service, const std::string& machine, double mean, double runs, SteadyTime now);
    void restoreService(const std::string& service, const Unevenness::Sums& sums, bool isProved);
    void restoreTasks(const std::string& service, const std::string& queue, const QueueTimes& times);

    void clear() { this->services.clear(); }

private:
    std::map<std::string, ServiceSpeeds> services;
};

} // namespace WisteriaHill::Scheduling::Estimates
