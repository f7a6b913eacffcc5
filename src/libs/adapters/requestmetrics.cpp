#include "adapters/requestmetrics.h"

#include "controllers/statedump.h"
#include "utils/latencyhistogram.h"

#include <array>
#include <cctype>
#include <sstream>

namespace WisteriaHill::Adapters {

namespace {

constexpr std::array outcomes { Model::Outcome::Completed, Model::Outcome::NotRun, Model::Outcome::Unknown };

/// Converts a counter name to the form of a metric name: "requestsCompleted" becomes "requests_completed".
std::string snakeCase(const std::string& name)
{
    std::string text;
    for (const char letter : name) {
        if (std::isupper(static_cast<unsigned char>(letter)) != 0)
            text += '_';
        text += static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return text;
}

void writeGauge(std::ostream& out, const std::string& name, double value)
{
    out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
}

} // namespace

struct RequestMetrics::Histograms {
    std::array<Utils::LatencyHistogram, outcomes.size()> series;
};

RequestMetrics::RequestMetrics()
    : histograms(std::make_unique<Histograms>())
{
}

RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::record(Model::Outcome outcome, std::chrono::duration<double> latency)
{
    this->histograms->series[static_cast<std::size_t>(outcome)].record(latency);
}

std::string RequestMetrics::prometheusText(const Model::Blackboard& state) const
{
    std::ostringstream out;
    out << "# TYPE wisteriahill_request_seconds histogram\n";
    for (const Model::Outcome outcome : outcomes) {
        const std::string label = "outcome=\"" + std::string(Model::outcomeName(outcome)) + "\"";
        this->histograms->series[static_cast<std::size_t>(outcome)].write(out, "wisteriahill_request_seconds", label);
    }
    const Utils::Json counters = Controllers::dumpCounters(state.counters);
    for (const auto& [name, value] : counters.items()) {
        const std::string metric = "wisteriahill_" + snakeCase(name) + "_total";
        out << "# TYPE " << metric << " counter\n" << metric << ' ' << value << '\n';
    }
    writeGauge(out, "wisteriahill_configuration_revision",
        state.configuration ? static_cast<double>(state.configuration->revision) : 0);
    writeGauge(out, "wisteriahill_table_available", state.tableAvailable ? 1 : 0);
    writeGauge(out, "wisteriahill_guarantees_uncovered", static_cast<double>(state.layout.uncovered.size()));
    return std::move(out).str();
}

} // namespace WisteriaHill::Adapters
