#include "app/scheduleroptions.h"

#include "platform/documents.h"
#include "platform/wirenames.h"

#include <algorithm>

namespace WisteriaHill::App {

namespace {

using Utils::Duration;

constexpr Duration retentionMargin { 10'000 }; ///< from the end of a job until its client learns of it
constexpr Duration maximumStagger { 400 };
constexpr Duration maximumRandomStagger { 100 };

/// Hosts with a larger processor share become candidates earlier; a random part keeps equal hosts apart.
Duration candidacyStagger(double processorShare, std::uint64_t incarnation)
{
    const double missing = 1 - std::clamp(processorShare, 0.0, 1.0);
    return Duration(static_cast<std::int64_t>(missing * static_cast<double>(maximumStagger.count())))
        + Duration(static_cast<std::int64_t>(incarnation % static_cast<std::uint64_t>(maximumRandomStagger.count())));
}

/// Evacuations are read often enough that two reads in a row may fail within their bound.
Scheduling::Requests::OperatorRequestOptions requestOptions(Duration evacuationBound)
{
    constexpr int readsPerBound = 3;
    constexpr Duration retryPause { 500 };
    Scheduling::Requests::OperatorRequestOptions options { .range
        = Platform::operatorRequestRange(evacuationBound.count() > 0) };
    if (evacuationBound.count() > 0) {
        options.interval = std::min(options.interval, evacuationBound / readsPerBound);
        options.retryPause = std::min(retryPause, options.interval);
    }
    return options;
}

} // namespace

Scheduling::SchedulerOptions schedulerOptions(const FleetSettings& settings, std::uint64_t incarnation)
{
    return { .leadership = { .node = settings.node,
                 .incarnation = incarnation,
                 .stagger = candidacyStagger(settings.processorShare, incarnation) },
        .servers = { .maximumLease = settings.maximumLease, .stopTime = settings.stopTime },
        .gangStarts = { .patience = settings.gangPatience },
        .requests = requestOptions(settings.evacuationBound),
        .evacuations = { .bound = settings.evacuationBound, .decode = Platform::decodeEvacuation },
        .upkeep = { .wavePrefix = Platform::Wire::waveKeyPrefix,
            .statusTable = Platform::Wire::statusTable,
            .upkeepTime = settings.upkeepTime,
            .decodeWave = Platform::decodeWave,
            .encodeStatus = Platform::encodeWaveStatus },
        .stateRetention = settings.jobRetention + retentionMargin,
        .serverTable = Platform::Wire::serverTable };
}

} // namespace WisteriaHill::App
