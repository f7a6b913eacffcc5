/// Counters and latency histograms of a FleetDaemon, in the text format of Prometheus.
#pragma once

#include "app/doors.h"
#include "scheduling/board.h"
#include "scheduling/effects.h"
#include "scheduling/intake.h"
#include "utils/eventcatalogue.h"
#include "utils/latencyhistogram.h"
#include "utils/steadytime.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace WisteriaHill::App {

/// Values that are read when the metrics are requested.
struct FleetGauges {
    std::int64_t configurationVersion = 0;
    std::int64_t term = 0;
    bool leading = false;
    bool storeReachable = false;
    bool storeDirect = false;
    std::size_t jobs = 0;
    std::size_t servers = 0;
    std::size_t evacuatedZones = 0;
    std::size_t serversInEvacuatedZones = 0;
    Scheduling::WaitingStepCounts waitingSteps;
    std::size_t peers = 0;
    std::uint64_t storeCalls = 0;
    std::uint64_t serverCalls = 0;
    std::uint64_t heartbeatBytesSent = 0;
    std::uint64_t heartbeatBytesReceived = 0;
};

/// Thread safety: none.
class FleetMetrics {
public:
    /// Counts a log event, whether or not its line was written.
    void countEvent(Utils::Event event) { ++this->events[event]; }

    /// Records a client's call that got its final answer.
    void recordCall(const std::string& kind, Scheduling::CallerOutcome outcome, Utils::Duration latency);

    /// Record a call to the state store, or to a backend server or another service of the platform, that has ended.
    void recordStoreCall(const std::string& kind, Utils::Duration latency);
    void recordServerCall(const std::string& kind, Utils::Duration latency);

    /// Records a run of a task that ended as done.
    void recordRun(const Scheduling::RunMeasurement& run);

    /// Records a job that has ended.
    void recordJob(const Scheduling::JobMeasurement& job);

    /// The metrics in the text format of Prometheus.
    std::string text(const FleetGauges& gauges, const Doors& doors) const;

private:
    using Series = std::map<std::string, Utils::LatencyHistogram>;
    using Labels = std::array<std::string, 3>;

    std::map<Utils::Event, std::uint64_t> events;
    std::map<std::pair<std::string, Scheduling::CallerOutcome>, std::uint64_t> outcomes;
    Series calls;
    Series storeCalls;
    Series serverCalls;
    Series runTimes; ///< by queue
    Series declaredRunTimes; ///< run times that were declared for the same runs, by queue
    std::map<Labels, Utils::LatencyHistogram> jobAges; ///< ages of jobs at their end, by queue, state and outlook
};

/// The name of an outcome, for labels and logs.
std::string callerOutcomeName(Scheduling::CallerOutcome outcome);

} // namespace WisteriaHill::App
