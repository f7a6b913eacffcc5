/// What runs have shown of the speed of one machine. Pure: no clock, no input or output.
#pragma once

#include "utils/steadytime.h"

#include <cstddef>
#include <cstdint>

namespace WisteriaHill::Scheduling::Estimates {

using Utils::SteadyTime;

/// Spread of run times, in squared logarithms.
struct Spread {
    double noise = 0; ///< among runs on one machine
    double machines = 0; ///< among the machines of a service
};

/// What one run has added to a machine's figure, so that a later reading of it takes its place.
struct MachineShare {
    double weight = 0;
    double sum = 0;
    double scale = 1;
    std::uint32_t era = 0;
    bool isCompared = false; ///< the run was compared with the machine's figure
};

/// Weighted mean of the logarithms of run times, relative to what the tasks need. Thread safety: none.
class MachineSpeed {
public:
    struct Figure {
        double mean = 0; ///< shrunk towards that of an unknown machine
        double variance = 0;
    };

    /// Takes a reading of a run out again.
    void withdraw(MachineShare& share);

    struct Observation {
        double residual = 0; ///< logarithm of the run time, relative to what the task needs on a typical machine
        double variance = 0; ///< of the residual, beyond the noise
        double center = 0; ///< mean of the service's machines
        bool isUpperBound = false;
        bool isFinal = false;
    };

    /// Adds a reading. Precondition: the run's earlier one is withdrawn.
    void add(MachineShare& share, const Observation& seen, const Spread& spread, SteadyTime now);

    Figure figure(const Spread& spread, double center) const;

    /// A mean that does not depend on the service's spread, for the mean over all machines.
    double plainMean() const { return this->sum / (this->weight + 1); }
    double runs() const { return this->weight; }

    /// Notes a run that counts, once, for the proof that machines differ. Returns the mean of the earlier ones of other
    /// jobs times `residual` in `product`; false when there is none yet.
    bool pair(double residual, std::size_t job, double& product);

    /// The figure that an earlier scheduler stored.
    void restore(double storedMean, double storedRuns, SteadyTime now);
    double storedMean() const { return this->weight > 0 ? this->sum / this->weight : 0; }
    SteadyTime lastSeen() const { return this->updatedAt; }

private:
    void scaleBy(double factor);
    /// Follows the runs that differ from the figure. Returns true when the machine is not what it was.
    bool hasTurned(double difference, SteadyTime now);

    double weight = 0;
    double sum = 0;
    double scale = 1; ///< product of all factors by which the sums were scaled
    std::uint32_t era = 0; ///< changes when `scale` begins anew
    SteadyTime updatedAt {};
    /// Runs that were slower than the figure, less those that were not; negative when they were faster.
    int contradictions = 0;
    SteadyTime contradictedSince {};
    double pairedWeight = 0; ///< of runs of earlier jobs
    double pairedSum = 0;
    std::size_t lastJob = 0;
    double lastJobRuns = 0;
    double lastJobSum = 0;
};

} // namespace WisteriaHill::Scheduling::Estimates
