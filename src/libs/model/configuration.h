/// The configuration document of the operators: typed sections that teams own and that are validated together.
#pragma once

#include "model/ids.h"
#include "utils/checkedjson.h"
#include "utils/result.h"
#include "utils/steadytime.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace WisteriaHill::Model {

using Utils::Duration;

/// A customer of the scheduler.
struct ClientAccount {
    ClientAccountId id;
    double weight = 1; ///< share of the capacity relative to other client accounts
    std::string credentialSha256; ///< lower-case hexadecimal SHA-256 of the bearer credential
    std::size_t queueLimit = 0; ///< maximum number of requests that may wait at one entry host
    std::uint32_t acceleratorQuota = 0; ///< maximum accelerators of a job outside guarantees; zero means unlimited
    Duration hardRunLimit { 0 }; ///< a job that runs longer is stopped
};

/// The size of a gang: the same number of accelerators on each of several adjacent backend servers.
struct GangShape {
    std::uint32_t servers = 1;
    std::uint32_t acceleratorsPerServer = 1;

    std::uint32_t accelerators() const { return this->servers * this->acceleratorsPerServer; }
    bool operator==(const GangShape&) const = default;
};

/// A gang shape whose accelerators a client account can get at any time.
struct Guarantee {
    GuaranteeId id;
    ClientAccountId account;
    AvailabilityZoneId zone;
    GangShape shape;
};

/// A backend server as the inventory section describes it.
struct BackendServer {
    BackendServerId id;
    AvailabilityZoneId zone;
    RackId rack;
    std::uint32_t position = 0; ///< place in the rack; the positions of adjacent servers differ by one
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t slots = 0; ///< requests that the server runs at once
    std::uint32_t connections = 0; ///< connections that the server accepts from all entry hosts together
    std::uint32_t accelerators = 0;
};

struct AvailabilityZone {
    AvailabilityZoneId id;
    std::uint32_t entryHosts = 1; ///< hosts that share the connections of each backend server
    std::uint32_t entryHostReserve = 1; ///< additional hosts that may run at the same time during a replacement
    std::uint32_t spareServers = 0; ///< servers that may be unavailable while every guarantee is still covered
    std::vector<BackendServer> servers; ///< sorted by rack and position

    /// The number of connections that one entry host may open to `server`.
    std::uint32_t connectionShare(const BackendServer& server) const;
};

/// A service that the backend servers provide to callers.
struct Service {
    ServiceId id;
    bool idempotent = true; ///< a request may run more than once
    Duration timeout { 0 }; ///< time limit of a request that specifies none
    std::size_t maximumBody = 0; ///< bytes of a request's body, and of an answer's body
};

/// Weights and time limits of placement decisions.
struct Policy {
    double completionWeight = 1; ///< weight of borrowed and evicted accelerators in the cost of a placement
    double fragmentationWeight = 1; ///< weight of lost large blocks in the cost of a placement
    Duration leasePeriod { 0 }; ///< longest time that only a part of a gang runs
    Duration reclaimGrace { 0 }; ///< time that evicted work gets for its checkpoint before it is stopped
    Duration urgentGrace { 0 }; ///< the same time when urgent work evicts it
    Duration agingBound { 0 }; ///< a gang that waits longer may evict preemptible work
};

/// A group of operators who own sections of the configuration.
struct Team {
    TeamId id;
    std::string credentialSha256; ///< lower-case hexadecimal SHA-256 of the bearer credential
    std::vector<std::string> sections; ///< names of the sections that the team may edit
};

/// The names of the sections, in alphabetical order.
extern const std::vector<std::string> sectionNames;

/// The sections of a configuration as JSON, by name.
using SectionDocuments = std::map<std::string, Utils::Json>;

/// A configuration document that passed all checks. Immutable once shared.
struct Configuration {
    Revision revision = 0;
    std::map<ClientAccountId, ClientAccount> accounts;
    std::map<GuaranteeId, Guarantee> guarantees;
    std::map<AvailabilityZoneId, AvailabilityZone> zones;
    std::map<ServiceId, Service> services;
    Policy policy;
    std::map<TeamId, Team> teams;
    SectionDocuments documents;
    std::map<std::string, RowVersion> versions; ///< version of each section's row, by name

    /// Returns the zone, or null.
    const AvailabilityZone* zone(const AvailabilityZoneId& id) const;
    /// Returns the backend server, whichever zone it is in, or null.
    const BackendServer* server(const BackendServerId& id) const;
    /// Returns the client account with this credential, or null.
    const ClientAccount* accountOfCredential(const std::string& credentialSha256) const;
    /// Returns the team with this credential, or null.
    const Team* teamOfCredential(const std::string& credentialSha256) const;
};

using SharedConfiguration = std::shared_ptr<const Configuration>;

/// Reads and checks a whole document: each section, the references between sections, and that all guarantees fit at
/// once while the configured number of servers is unavailable. Absent sections count as empty. Pure; may be called from
/// any thread.
Utils::Result<Configuration, Utils::JsonFaults> parseConfiguration(const SectionDocuments& documents);

} // namespace WisteriaHill::Model
