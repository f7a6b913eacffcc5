/// Which servers are held ready for urgent work. Pure but for the memory of recent peaks.
#pragma once

#include "scheduling/planningpass.h"

#include <map>
#include <string>

namespace WisteriaHill::Scheduling {

/// Accelerators of a service.
struct ServiceLoad {
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    std::int64_t urgent = 0; ///< running for urgent work or asked for by it

    bool mostlyIdle() const { return this->used * 2 < this->capacity; }
};

/// Answers bursts of urgent gangs on a busy service: without a reserve each of them stops running work, which starts
/// again where the next one needs room. Whole racks are held ready for about the recent peak of urgent work; ordinary
/// work goes there only if it can be stopped without loss, or last while most of the service is idle. Thread safety:
/// none.
class UrgentReserve {
public:
    void reset() { this->peaks.clear(); }

    /// Measures the load and marks the servers of the pass that are held ready.
    void apply(PlanningPass& pass, const std::vector<PendingStep>& pendingSteps);

    /// Of the last pass; all zero when it saw nothing of the service.
    ServiceLoad loadOf(const std::string& service) const
    {
        const auto found = this->load.find(service);
        return found == this->load.end() ? ServiceLoad {} : found->second;
    }

private:
    void measure(const PlanningPass& pass, const std::vector<PendingStep>& pendingSteps);

    std::map<std::string, ServiceLoad> load;
    std::map<std::string, double> peaks; ///< recent need of urgent work in accelerators
    SteadyTime measuredAt {};
};

} // namespace WisteriaHill::Scheduling
