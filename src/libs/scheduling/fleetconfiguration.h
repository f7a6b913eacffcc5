/// The configuration in force: queues, services, limits and client accounts.
#pragma once

#include "scheduling/fleetjob.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// Answer times of the service that decides which backend servers may run a step.
struct PlacementAdvice {
    Duration decisionTime { 0 };
    Duration timePerServer { 0 };
    Duration ticketValidity { 0 };
};

/// A queue of jobs, reached by host name and path.
struct Queue {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service; ///< whose backend servers run its tasks
    int priority = 0; ///< 0 is served first and may preempt others
    int maximumAttempts = 1; ///< failed runs of a task before its job fails
    double stretchFactor = 1; ///< accepted completion time as a multiple of the work on the longest path
    Duration targetDuration { 0 }; ///< added to the above
    Duration timeout { 0 };
    bool anonymous = false; ///< needs no key
    std::optional<PlacementAdvice> advice;
};

struct Service {
    std::string name;
    bool enforcesCapacity = true; ///< its backend servers refuse what does not fit
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

    /// The queue with the longest matching path prefix; nothing when none matches.
    const Queue* findQueue(const std::string& host, const std::string& path) const;

    /// The queue that a stored job was submitted to; nothing when it was removed.
    const Queue* queueOf(const JobRecord& job) const;

    const Service* findService(const std::string& name) const;

    /// The account that owns a key; nothing when the key is unknown.
    const ClientAccount* accountOfKey(const std::string& key) const;

    const ClientAccount* findAccount(const std::string& name) const;
};

} // namespace WisteriaHill::Scheduling
