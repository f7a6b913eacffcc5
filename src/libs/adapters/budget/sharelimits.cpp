#include "adapters/budget/sharelimits.h"

#include "adapters/budget/ledger.h"

#include <algorithm>

namespace WisteriaHill::Adapters::Budget {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t descriptorsOfFiles = 200; ///< the platform keeps them for files
constexpr std::size_t fewestConnections = 8;
constexpr std::size_t megabyte = 1'048'576;
constexpr int clientSocketBuffer = 65'536; ///< several requests or answers of ordinary size
/// A body of the largest size, its copy while it grows, and the document that is read from it.
constexpr std::size_t largestRequest = 4 * megabyte;

ShareLimits share(std::size_t bytes, std::size_t connections)
{
    const std::size_t most = std::max(connections, fewestConnections);
    return { .bytes = bytes,
        .bytesPerConnection = std::max(bytes, largestRequest),
        .connections = most,
        .connectionsPerAddress = most,
        .requests = most,
        .requestsPerAccount = most,
        .socketBuffer = clientSocketBuffer,
        .firstRequestTime = 20s,
        .idleTime = 75s,
        .progressTime = 20s };
}

} // namespace

BudgetPlan planBudget(const MachineLimits& machine, std::size_t connectionsPerAddress)
{
    const std::size_t sockets = machine.descriptors - std::min(machine.descriptors, descriptorsOfFiles);
    BudgetPlan plan { .callers = share(machine.memoryBytes / 5, sockets / 4),
        .relay = share(machine.memoryBytes / 5, sockets / 16),
        .metrics = share(machine.memoryBytes / 10, sockets / 64),
        .readiness = share(machine.memoryBytes / 40, sockets / 64) };
    plan.relay.bytesOfOwn = plan.relay.bytes / 2;
    plan.relay.connectionsOfOwn = plan.relay.connections / 2;
    plan.callers.bytesPerConnection = largestRequest;
    plan.callers.requestsPerAccount = std::max<std::size_t>(1, plan.callers.requests * 3 / 4);
    if (connectionsPerAddress > 0)
        plan.callers.connectionsPerAddress = std::min(connectionsPerAddress, plan.callers.connections);
    return plan;
}

} // namespace WisteriaHill::Adapters::Budget
