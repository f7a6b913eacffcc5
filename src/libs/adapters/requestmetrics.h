/// Latency of callers' requests, by outcome, as histograms in the Prometheus text format.
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

    /// Records one final answer and how long the caller waited for it.
    void record(Model::Outcome outcome, std::chrono::duration<double> latency);

    /// All metrics, with the core's counters and gauges.
    std::string prometheusText(const Model::Blackboard& state) const;

private:
    struct Histograms;
    std::unique_ptr<Histograms> histograms;
};

} // namespace WisteriaHill::Adapters
