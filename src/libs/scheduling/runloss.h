/// Runs that are over without an end record.
#pragma once

#include <string>

namespace WisteriaHill::Scheduling {

/// Why a run is over although its backend server listed no end.
enum class RunLoss {
    ServerGone, ///< the server left, or its lease expired while it was unreachable
    ServerRestarted,
    NeverStarted, ///< no start order was sent, or the server refused it
    NotListed, ///< the server confirmed the start and no longer lists the run
};

/// Name of a loss, for logs.
std::string runLossName(RunLoss loss);

} // namespace WisteriaHill::Scheduling
