/// The configuration in force: queues, services, limits and client accounts.
#pragma once

#include "scheduling/fleetjob.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// Response times of the placement advice service, which decides which backend servers may run a step.
struct PlacementAdvice {
    Duration decisionTime { 0 }; ///< of one request
    Duration timePerServer { 0 }; ///< added for each server in the request
    Duration ticketValidity { 0 };

    bool operator==(const PlacementAdvice&) const = default;
};

/// A queue of jobs, reached by host name and path.
struct Queue {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service; ///< service whose backend servers run the queue's tasks
    int priority = 0; ///< 0 is served first and may preempt others
    int maximumAttempts = 1; ///< failed runs of a task before its job fails
    double stretchFactor = 1; ///< accepted completion time as a multiple of the critical path's run time
    Duration targetDuration { 0 }; ///< added to the time that stretchFactor gives
    Duration timeout { 0 };
    bool anonymous = false; ///< requests need no key
    std::optional<PlacementAdvice> advice;
};

struct Service {
    std::string name;
    bool enforcesCapacity = true; ///< its backend servers refuse runs that exceed their capacity
    bool standby = false; ///< its machines are off
};

struct ClientAccount {
    std::string name;
    std::vector<std::string> keys;
    std::int64_t guaranteedAccelerators = 0; ///< for its jobs of priority 0, at all times
};

/// One version of the whole configuration.
struct FleetConfiguration {
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<Service> services;
    std::vector<ClientAccount> accounts;
    std::size_t maximumBody = 262'144; ///< bytes of a request body

    /// The queue with the longest matching path prefix; null when none matches.
    const Queue* findQueue(const std::string& host, const std::string& path) const;

    /// The queue that a stored job was submitted to; null when it was removed.
    const Queue* queueOf(const JobRecord& job) const;

    const Service* findService(const std::string& name) const;

    /// The account that owns a key; null when the key is unknown.
    const ClientAccount* accountOfKey(const std::string& key) const;

    const ClientAccount* findAccount(const std::string& name) const;
};

} // namespace WisteriaHill::Scheduling
