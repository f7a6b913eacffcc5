/// Reserves servers for urgent work. Pure, except that it keeps recent peaks of urgent work.
#pragma once

#include "scheduling/planningpass.h"

#include <map>
#include <string>

namespace WisteriaHill::Scheduling {

/// Numbers of accelerators of a service.
struct ServiceLoad {
    std::int64_t capacity = 0;
    /// The same with the servers that are draining or do not answer.
    std::int64_t registered = 0;
    std::int64_t usedOfRegistered = 0;
    std::int64_t registeredMilliCores = 0;
    std::int64_t usedMilliCores = 0; ///< of registeredMilliCores
    std::int64_t used = 0;
    std::int64_t urgent = 0; ///< used by jobs of priority 0, or needed by urgent steps that wait and can be on time

    /// True when less than half of the accelerators are in use.
    bool mostlyIdle() const { return this->used * 2 < this->capacity; }

    /// True when less than half of the accelerators are in use, or of the cores in a service without accelerators, on
    /// all servers, also on those that get no new work now.
    bool mayBeMostlyIdle() const
    {
        return this->registered > 0 ? this->usedOfRegistered * 2 < this->registered
                                    : this->usedMilliCores * 2 < this->registeredMilliCores;
    }
};

/// Reserves whole racks for about the recent peak of urgent work. Without a reserve, each urgent gang of a burst
/// preempts running work on a busy service, and that work restarts where the next gang needs the capacity. Ordinary
/// work uses reserved servers only if it can be stopped without loss, or as the last choice while most of the service
/// is idle. Thread safety: none.
class UrgentReserve {
public:
    void reset() { this->peaks.clear(); }

    /// Measures the load of each service and marks the reserved servers of the pass.
    void apply(PlanningPass& pass, const std::vector<PendingStep>& pendingSteps);

    /// Load of a service in the last pass; all zero when the pass had no server and no waiting step of the service.
    ServiceLoad loadOf(const std::string& service) const
    {
        const auto found = this->load.find(service);
        return found == this->load.end() ? ServiceLoad {} : found->second;
    }

private:
    void measure(const PlanningPass& pass, const std::vector<PendingStep>& pendingSteps);

    std::map<std::string, ServiceLoad> load;
    std::map<std::string, double> peaks; ///< decaying peak of urgent work in accelerators, by service
    SteadyTime measuredAt {};
};

} // namespace WisteriaHill::Scheduling
