/// Latency histograms in the Prometheus text format.
#pragma once

#include <chrono>
#include <memory>
#include <ostream>
#include <string>

namespace WisteriaHill::Utils {

/// A histogram with logarithmic buckets from half a millisecond to 100 seconds. Thread safety: none.
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram&&) noexcept;
    LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

    void record(std::chrono::duration<double> latency);

    /// Writes the buckets, the sum and the count of the metric `name`. `labels` are written verbatim, such as
    /// `kind="submit"`.
    void write(std::ostream& out, const std::string& name, const std::string& labels) const;

private:
    struct Buckets;
    std::unique_ptr<Buckets> buckets;
};

} // namespace WisteriaHill::Utils
