/// What the clients of one address may hold, and how a process divides what it has between its addresses.
#pragma once

#include "utils/steadytime.h"

#include <cstddef>
#include <limits>

namespace WisteriaHill::Adapters::Budget {

using Utils::Duration;

/// Limits of the connections to one address. The default limits nothing.
struct ShareLimits {
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    std::size_t bytes = unlimited; ///< held for all connections together
    std::size_t bytesPerConnection = unlimited;
    std::size_t connections = unlimited;
    std::size_t connectionsPerAddress = unlimited; ///< from one address of clients
    std::size_t bytesOfOwn = 0; ///< of `bytes`, kept for the system's own connections
    std::size_t connectionsOfOwn = 0; ///< of `connections`, kept for the same
    std::size_t requests = unlimited; ///< in work; a connection has one at most
    std::size_t requestsPerAccount = unlimited; ///< of one client account
    /// Bytes that the system keeps for a connection in each direction, but for the system's own connections; 0 for its
    /// default, which may be megabytes.
    int socketBuffer = 0;
    Duration firstRequestTime = Duration::max(); ///< from the connection's begin to the end of the first header
    Duration idleTime = Duration::max(); ///< from an answer to the end of the next header
    Duration progressTime = Duration::max(); ///< for a body or an answer, and more by their sizes
};

/// What a process may use.
struct MachineLimits {
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
};

/// The shares of a process. Nothing of one share can be used up through the address of another, and what is not shared
/// out is left to the process itself: its state and its own connections.
struct BudgetPlan {
    ShareLimits callers;
    ShareLimits relay; ///< calls of other daemons
    ShareLimits metrics;
    ShareLimits readiness;
};

/// Divides the machine. `connectionsPerAddress` limits callers; zero stands for no limit below that of all callers.
BudgetPlan planBudget(const MachineLimits& machine, std::size_t connectionsPerAddress = 0);

} // namespace WisteriaHill::Adapters::Budget
