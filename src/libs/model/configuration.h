/// The operators' document: typed sections, owned by teams, checked as a whole.
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
    std::string credentialSha256;
    std::size_t queueLimit = 0; ///< requests
    std::uint32_t acceleratorQuota = 0; ///< accelerators beyond the guarantees; zero is unlimited
    Duration hardRunLimit { 0 }; ///< a job that runs longer is stopped
};

/// A gang's form: the same number of accelerators on each of several adjacent backend servers.
struct GangShape {
    std::uint32_t servers = 1;
    std::uint32_t acceleratorsPerServer = 1;

    std::uint32_t accelerators() const { return this->servers * this->acceleratorsPerServer; }
    bool operator==(const GangShape&) const = default;
};

/// A shape that a client account can always have.
struct Guarantee {
    GuaranteeId id;
    ClientAccountId account;
    AvailabilityZoneId zone;
    GangShape shape;
};

/// A backend server as operators describe it.
struct BackendServer {
    BackendServerId id;
    AvailabilityZoneId zone;
    RackId rack;
    std::uint32_t position = 0; ///< place in the rack; neighbours differ by one
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t accelerators = 0;
};

struct AvailabilityZone {
    AvailabilityZoneId id;
    std::uint32_t entryHosts = 1; ///< hosts that share the connections of each backend server
    std::uint32_t entryHostReserve = 1; ///< more hosts that may overlap during a replacement
    std::uint32_t spareServers = 0; ///< servers that may be away with every guarantee still covered
    std::vector<BackendServer> servers; ///< by rack and position

    /// How many connections one entry host may open to a server.
    std::uint32_t connectionShare(const BackendServer& server) const;
};

/// What the backend servers offer to callers.
struct Service {
    ServiceId id;
    bool idempotent = true;
    Duration timeout { 0 }; ///< deadline of a request that names none
    std::size_t maximumBody = 0; ///< bytes, of a request and of an answer
};

/// What the decisions weigh.
struct Policy {
    double completionWeight = 1;
    double fragmentationWeight = 1;
    Duration leasePeriod { 0 }; ///< bound of a gang's partial run
    Duration reclaimGrace { 0 }; ///< time to checkpoint before a borrower is stopped
    Duration urgentGrace { 0 }; ///< the same for urgent work
    Duration agingBound { 0 }; ///< a gang that waits longer holds a window of servers
};

/// Operators who own sections.
struct Team {
    TeamId id;
    std::string credentialSha256;
    std::vector<std::string> sections;
};

/// The names of the sections, in alphabetical order.
extern const std::vector<std::string> sectionNames;

/// The sections as JSON, by name.
using SectionDocuments = std::map<std::string, Utils::Json>;

/// One whole accepted document. Immutable once shared.
struct Configuration {
    Revision revision = 0;
    std::map<ClientAccountId, ClientAccount> accounts;
    std::map<GuaranteeId, Guarantee> guarantees;
    std::map<AvailabilityZoneId, AvailabilityZone> zones;
    std::map<ServiceId, Service> services;
    Policy policy;
    std::map<TeamId, Team> teams;
    SectionDocuments documents;
    std::map<std::string, RowVersion> versions; ///< of each section's row

    /// The zone, or null.
    const AvailabilityZone* zone(const AvailabilityZoneId& id) const;
    /// The backend server in any zone, or null.
    const BackendServer* server(const BackendServerId& id) const;
    /// The client account with this credential, or null.
    const ClientAccount* accountOfCredential(const std::string& credentialSha256) const;
    /// The team with this credential, or null.
    const Team* teamOfCredential(const std::string& credentialSha256) const;
};

using SharedConfiguration = std::shared_ptr<const Configuration>;

/// Reads and checks a whole document: each section, references between them, and that all guarantees fit at once with
/// the configured number of servers away. Absent sections count as empty. Pure; any thread.
Utils::Result<Configuration, Utils::JsonFaults> parseConfiguration(const SectionDocuments& documents);

} // namespace WisteriaHill::Model
