#include "adapters/requestmetrics.h"

#include "controllers/statedump.h"

#include <array>
#include <boost/histogram.hpp>
#include <cctype>
#include <sstream>

namespace WisteriaHill::Adapters {

namespace {

constexpr unsigned int bucketCount = 24;
constexpr double shortestSeconds = 0.0005;
constexpr double longestSeconds = 100;
constexpr std::array outcomes { Model::Outcome::Completed, Model::Outcome::NotRun, Model::Outcome::Unknown };

auto makeHistogram()
{
    using namespace boost::histogram;
    using LogAxis = axis::regular<double, axis::transform::log>;
    return make_histogram(LogAxis(bucketCount, shortestSeconds, longestSeconds));
}

using LatencyHistogram = decltype(makeHistogram());

/// "requestsCompleted" becomes "requests_completed".
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
    struct Series {
        LatencyHistogram histogram = makeHistogram();
        double sum = 0;
        std::uint64_t count = 0;
    };
    std::array<Series, outcomes.size()> series;
};

RequestMetrics::RequestMetrics()
    : histograms(std::make_unique<Histograms>())
{
}

RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::record(Model::Outcome outcome, std::chrono::duration<double> latency)
{
    Histograms::Series& series = this->histograms->series[static_cast<std::size_t>(outcome)];
    series.histogram(latency.count());
    series.sum += latency.count();
    ++series.count;
}

std::string RequestMetrics::prometheusText(const Model::Blackboard& state) const
{
    std::ostringstream out;
    out << "# TYPE wisteriahill_request_seconds histogram\n";
    for (const Model::Outcome outcome : outcomes) {
        const Histograms::Series& series = this->histograms->series[static_cast<std::size_t>(outcome)];
        const std::string label = "outcome=\"" + std::string(Model::outcomeName(outcome)) + "\"";
        double cumulative = series.histogram.at(-1);
        for (const auto& bin : boost::histogram::indexed(series.histogram)) {
            cumulative += *bin;
            out << "wisteriahill_request_seconds_bucket{" << label << ",le=\"" << bin.bin().upper() << "\"} "
                << cumulative << '\n';
        }
        out << "wisteriahill_request_seconds_bucket{" << label << ",le=\"+Inf\"} " << series.count << '\n'
            << "wisteriahill_request_seconds_sum{" << label << "} " << series.sum << '\n'
            << "wisteriahill_request_seconds_count{" << label << "} " << series.count << '\n';
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
