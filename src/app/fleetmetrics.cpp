#include "app/fleetmetrics.h"

#include "utils/eventlog.h"

#include <sstream>

namespace WisteriaHill::App {

namespace {

void writeSeries(
    std::ostream& out, const std::string& name, const std::map<std::string, Utils::LatencyHistogram>& series)
{
    out << "# TYPE " << name << " histogram\n";
    for (const auto& [kind, histogram] : series)
        histogram.write(out, name, "kind=\"" + kind + "\"");
}

template <typename Value> void writeValue(std::ostream& out, const std::string& name, const char* type, Value value)
{
    out << "# TYPE " << name << ' ' << type << '\n' << name << ' ' << value << '\n';
}

} // namespace

std::string callerOutcomeName(Scheduling::CallerOutcome outcome)
{
    using enum Scheduling::CallerOutcome;
    switch (outcome) {
    case Accepted:
        return "accepted";
    case State:
        return "state";
    case Pending:
        return "pending";
    case NotAccepted:
        return "notAccepted";
    case Uncertain:
        return "uncertain";
    case UnknownQueue:
        return "unknownQueue";
    case UnknownKey:
        return "unknownKey";
    case UnknownJob:
        return "unknownJob";
    case Malformed:
        return "malformed";
    case NotReady:
        return "notReady";
    }
    return "unknown";
}

void FleetMetrics::recordCall(const std::string& kind, Scheduling::CallerOutcome outcome, Utils::Duration latency)
{
    ++this->outcomes[{ kind, outcome }];
    this->calls[kind].record(latency);
}

void FleetMetrics::recordStoreCall(const std::string& kind, Utils::Duration latency)
{
    this->storeCalls[kind].record(latency);
}

void FleetMetrics::recordServerCall(const std::string& kind, Utils::Duration latency)
{
    this->serverCalls[kind].record(latency);
}

void FleetMetrics::recordRun(const Scheduling::RunMeasurement& run)
{
    this->runTimes[run.queue].record(run.ran);
    this->declaredRunTimes[run.queue].record(run.declared);
}

void FleetMetrics::recordJob(const Scheduling::JobMeasurement& job)
{
    this->jobAges[{ job.queue, job.state, job.outlook }].record(job.age);
}

std::string FleetMetrics::text(const FleetGauges& gauges, const Doors& doors) const
{
    std::ostringstream out;
    out << "# TYPE wisteriahill_calls_total counter\n";
    for (const auto& [key, count] : this->outcomes)
        out << "wisteriahill_calls_total{kind=\"" << key.first << "\",outcome=\"" << callerOutcomeName(key.second)
            << "\"} " << count << '\n';
    out << "# TYPE wisteriahill_events_total counter\n";
    for (const auto& [event, count] : this->events)
        out << "wisteriahill_events_total{event=\"" << static_cast<int>(event) << "\",name=\""
            << Utils::describeEvent(event).name << "\"} " << count << '\n';
    writeSeries(out, "wisteriahill_call_seconds", this->calls);
    writeSeries(out, "wisteriahill_store_call_seconds", this->storeCalls);
    writeSeries(out, "wisteriahill_server_call_seconds", this->serverCalls);
    writeSeries(out, "wisteriahill_run_seconds", this->runTimes);
    writeSeries(out, "wisteriahill_declared_run_seconds", this->declaredRunTimes);
    out << "# TYPE wisteriahill_job_seconds histogram\n";
    for (const auto& [labels, histogram] : this->jobAges)
        histogram.write(out, "wisteriahill_job_seconds",
            "queue=\"" + labels[0] + "\",state=\"" + labels[1] + "\",outlook=\"" + labels[2] + "\"");
    out << "# TYPE wisteriahill_waiting_steps gauge\n";
    for (const auto& [labels, count] : gauges.waitingSteps)
        out << "wisteriahill_waiting_steps{queue=\"" << labels.first << "\",outlook=\""
            << Scheduling::outlookName(labels.second) << "\"} " << count << '\n';
    writeValue(out, "wisteriahill_configuration_version", "gauge", gauges.configurationVersion);
    writeValue(out, "wisteriahill_term", "gauge", gauges.term);
    writeValue(out, "wisteriahill_leading", "gauge", gauges.leading ? 1 : 0);
    writeValue(out, "wisteriahill_store_reachable", "gauge", gauges.storeReachable ? 1 : 0);
    writeValue(out, "wisteriahill_store_direct", "gauge", gauges.storeDirect ? 1 : 0);
    writeValue(out, "wisteriahill_jobs", "gauge", gauges.jobs);
    writeValue(out, "wisteriahill_servers", "gauge", gauges.servers);
    writeValue(out, "wisteriahill_evacuated_zones", "gauge", gauges.evacuatedZones);
    writeValue(out, "wisteriahill_servers_in_evacuated_zones", "gauge", gauges.serversInEvacuatedZones);
    writeValue(out, "wisteriahill_peers", "gauge", gauges.peers);
    writeValue(out, "wisteriahill_store_calls_total", "counter", gauges.storeCalls);
    writeValue(out, "wisteriahill_server_calls_total", "counter", gauges.serverCalls);
    writeValue(out, "wisteriahill_heartbeat_sent_bytes_total", "counter", gauges.heartbeatBytesSent);
    writeValue(out, "wisteriahill_heartbeat_received_bytes_total", "counter", gauges.heartbeatBytesReceived);
    writeValue(out, "wisteriahill_log_lines_dropped_total", "counter", Utils::droppedLogLines());
    doors.write(out);
    return std::move(out).str();
}

} // namespace WisteriaHill::App
