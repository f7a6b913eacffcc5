/// Metrics of the daemon in the Prometheus text format, with histograms of request latency by outcome.
#pragma once

#include "model/blackboard.h"
#include "model/request.h"

#include <memory>
#include <string>

namespace WisteriaHill::Adapters {

/// Thread safety: none.
class RequestMetrics {
public:
    RequestMetrics();
    ~RequestMetrics();

    /// Records the outcome of one request and the time that the caller waited for the answer.
    void record(Model::Outcome outcome, std::chrono::duration<double> latency);

    /// Returns all metrics, including the counters and gauges of `state`.
    std::string prometheusText(const Model::Blackboard& state) const;

private:
    struct Histograms;
    std::unique_ptr<Histograms> histograms;
};

} // namespace WisteriaHill::Adapters
