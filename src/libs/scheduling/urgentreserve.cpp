#include "scheduling/urgentreserve.h"

#include <algorithm>
#include <cmath>

namespace WisteriaHill::Scheduling {

namespace {

/// Racks are reserved for this multiple of the recent peak of urgent work.
constexpr double reserveMargin = 1.1;
/// Racks are reserved up to this share of a service's accelerators, so that ordinary work goes on.
constexpr double maximumReservedShare = 0.55;
/// The recorded peak of urgent work decays by half in this time; bursts last a few seconds.
constexpr Duration peakHalfLife { 5000 };
constexpr double maximumHalfLives = 60;

using Racks = std::map<std::string, std::vector<std::size_t>>;

/// The racks, those with the largest share of fast servers first, else by name.
std::vector<const std::vector<std::size_t>*> inOrderOfSpeed(const PlanningPass& pass, const Racks& racks)
{
    std::vector<const std::vector<std::size_t>*> ordered;
    for (const auto& [rack, servers] : racks)
        ordered.push_back(&servers);
    const auto slowShare = [&](const std::vector<std::size_t>* servers) {
        const auto count = [&](Estimates::SpeedClass speedClass) {
            return std::ranges::count(
                *servers, speedClass, [&](std::size_t index) { return pass.servers[index].speedClass; });
        };
        return static_cast<double>(count(Estimates::SpeedClass::Slow) - count(Estimates::SpeedClass::Fast))
            / static_cast<double>(servers->size());
    };
    std::ranges::stable_sort(ordered, {}, slowShare);
    return ordered;
}

} // namespace

void UrgentReserve::measure(const PlanningPass& pass, const std::vector<PendingStep>& pendingSteps)
{
    this->load.clear();
    for (const auto& [id, server] : pass.state().servers) {
        if (!server.present)
            continue;
        ServiceLoad& service = this->load[server.service];
        service.registered += server.capacity.accelerators;
        service.registeredMilliCores += server.capacity.milliCores;
        for (const auto& [name, need] : server.occupants) {
            service.usedOfRegistered += need.accelerators;
            service.usedMilliCores += need.milliCores;
        }
    }
    for (const BackendServer* server : pass.boardServers) {
        ServiceLoad& service = this->load[server->service];
        service.capacity += server->capacity.accelerators;
        for (const auto& [name, need] : server->occupants) {
            service.used += need.accelerators;
            const auto job = pass.state().jobs.find(name.jobId);
            if (job != pass.state().jobs.end() && job->second.queue && job->second.queue->priority == 0)
                service.urgent += need.accelerators;
        }
    }
    for (const PendingStep& pending : pendingSteps) {
        if (pending.urgency != Urgency::Ordinary && pending.forecast.outlook == Outlook::OnTime)
            this->load[pending.queue->service].urgent
                += pending.specification->perTask.accelerators * static_cast<std::int64_t>(pending.waitingTasks.size());
    }
    const double halfLives = std::chrono::duration<double>(pass.time() - this->measuredAt) / peakHalfLife;
    const double remaining = std::exp2(-std::min(halfLives, maximumHalfLives));
    this->measuredAt = pass.time();
    for (const auto& [service, measured] : this->load) {
        double& peak = this->peaks[service];
        peak = std::max(peak * remaining, static_cast<double>(measured.urgent));
    }
}

void UrgentReserve::apply(PlanningPass& pass, const std::vector<PendingStep>& pendingSteps)
{
    this->measure(pass, pendingSteps);
    // Whole racks are reserved, since urgent gangs prefer a single rack.
    std::map<std::string, Racks> racksByService;
    for (std::size_t index = 0; index < pass.servers.size(); ++index)
        racksByService[pass.boardServers[index]->service][pass.servers[index].rack].push_back(index);
    for (const auto& [service, racks] : racksByService) {
        const ServiceLoad& measured = this->load[service];
        const double wanted = std::min(
            this->peaks[service] * reserveMargin, maximumReservedShare * static_cast<double>(measured.capacity));
        double reserved = 0;
        for (const std::vector<std::size_t>* servers : inOrderOfSpeed(pass, racks)) {
            if (reserved >= wanted)
                break;
            for (const std::size_t index : *servers) {
                if (pass.servers[index].speedClass == Estimates::SpeedClass::Slow)
                    continue; // urgent work would take it last
                pass.servers[index].reserved = true;
                reserved += static_cast<double>(pass.servers[index].capacity.accelerators);
            }
        }
    }
}

} // namespace WisteriaHill::Scheduling
