#include "utils/latencyhistogram.h"

#include <boost/histogram.hpp>
#include <cstdint>

namespace WisteriaHill::Utils {

namespace {

constexpr unsigned int bucketCount = 24;
constexpr double lowestBoundSeconds = 0.0005;
constexpr double highestBoundSeconds = 100;

auto makeHistogram()
{
    using namespace boost::histogram;
    using LogAxis = axis::regular<double, axis::transform::log>;
    return make_histogram(LogAxis(bucketCount, lowestBoundSeconds, highestBoundSeconds));
}

} // namespace

struct LatencyHistogram::Buckets {
    decltype(makeHistogram()) histogram = makeHistogram();
    double sum = 0;
    std::uint64_t count = 0;
};

LatencyHistogram::LatencyHistogram()
    : buckets(std::make_unique<Buckets>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept = default;

void LatencyHistogram::record(std::chrono::duration<double> latency)
{
    this->buckets->histogram(latency.count());
    this->buckets->sum += latency.count();
    ++this->buckets->count;
}

void LatencyHistogram::write(std::ostream& out, const std::string& name, const std::string& labels) const
{
    double cumulative = this->buckets->histogram.at(-1);
    for (const auto& bin : boost::histogram::indexed(this->buckets->histogram)) {
        cumulative += *bin;
        out << name << "_bucket{" << labels << ",le=\"" << bin.bin().upper() << "\"} " << cumulative << '\n';
    }
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << this->buckets->count << '\n'
        << name << "_sum{" << labels << "} " << this->buckets->sum << '\n'
        << name << "_count{" << labels << "} " << this->buckets->count << '\n';
}

} // namespace WisteriaHill::Utils
