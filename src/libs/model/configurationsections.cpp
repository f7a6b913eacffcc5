#include "model/configurationsections.h"

#include "model/acceleratorset.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace WisteriaHill::Model::Internal {

namespace {

using Utils::IntegerRange;
using Utils::JsonObjectReader;

constexpr std::size_t sha256HexLength = 64;
constexpr IntegerRange portRange { 1, 65535 };
constexpr IntegerRange serversRange { 1, 256 };
constexpr int maximumReclaimGraceFifths = 2;
constexpr std::int64_t maximumBodyBytes = 1'048'576;

std::string readCredential(JsonObjectReader& reader)
{
    std::string credential = reader.text("credentialSha256");
    const bool hexadecimal
        = credential.size() == sha256HexLength && credential.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (reader.has("credentialSha256") && !hexadecimal)
        reader.fault("credentialSha256", "must be 64 lower-case hexadecimal digits");
    return credential;
}

GangShape readShape(JsonObjectReader& reader)
{
    GangShape shape;
    reader.object("shape", [&](JsonObjectReader& member) {
        shape.servers = static_cast<std::uint32_t>(member.integer("servers", serversRange));
        shape.acceleratorsPerServer
            = static_cast<std::uint32_t>(member.integer("acceleratorsPerServer", { 1, maximumAcceleratorsPerServer }));
    });
    return shape;
}

BackendServer readServer(JsonObjectReader& reader, const AvailabilityZoneId& zone)
{
    BackendServer server;
    server.id = BackendServerId(reader.identifier("id"));
    server.zone = zone;
    server.rack = RackId(reader.identifier("rack"));
    server.position = static_cast<std::uint32_t>(reader.integer("position", { 0, 1023 }));
    server.address = reader.text("address");
    server.port = static_cast<std::uint16_t>(reader.integer("port", portRange));
    server.slots = static_cast<std::uint32_t>(reader.integerOr("slots", { 1, 1024 }, 8));
    server.connections = static_cast<std::uint32_t>(reader.integerOr("connections", { 1, 4096 }, 64));
    server.accelerators
        = static_cast<std::uint32_t>(reader.integerOr("accelerators", { 0, maximumAcceleratorsPerServer }, 8));
    return server;
}

bool byRackAndPosition(const BackendServer& left, const BackendServer& right)
{
    return std::tie(left.rack, left.position, left.id) < std::tie(right.rack, right.position, right.id);
}

} // namespace

void readAccounts(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults)
{
    std::set<std::string> credentials;
    JsonObjectReader section(document, "/accounts", faults);
    section.forEachMember([&](const std::string& name, JsonObjectReader& reader) {
        ClientAccount account;
        account.id = ClientAccountId(name);
        account.weight = reader.numberOr("weight", 0.01, 1000, 1);
        account.credentialSha256 = readCredential(reader);
        account.queueLimit = static_cast<std::size_t>(reader.integerOr("queueLimit", { 1, 100'000 }, 256));
        account.acceleratorQuota = static_cast<std::uint32_t>(reader.integerOr("acceleratorQuota", { 0, 100'000 }, 0));
        account.hardRunLimit = reader.durationOr(
            "hardRunLimit", { std::chrono::seconds(1), std::chrono::hours(720) }, std::chrono::hours(72));
        if (!credentials.insert(account.credentialSha256).second)
            reader.fault("credentialSha256", "is already the credential of another client account");
        configuration.accounts.emplace(account.id, account);
    });
}

void readGuarantees(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults)
{
    JsonObjectReader section(document, "/guarantees", faults);
    section.forEachMember([&](const std::string& name, JsonObjectReader& reader) {
        Guarantee guarantee;
        guarantee.id = GuaranteeId(name);
        guarantee.account = ClientAccountId(reader.identifier("account"));
        guarantee.zone = AvailabilityZoneId(reader.identifier("zone"));
        guarantee.shape = readShape(reader);
        if (!configuration.accounts.contains(guarantee.account))
            reader.fault("account", "names no client account");
        if (!configuration.zones.contains(guarantee.zone))
            reader.fault("zone", "names no availability zone");
        configuration.guarantees.emplace(guarantee.id, guarantee);
    });
}

void readInventory(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults)
{
    std::set<BackendServerId> seen;
    JsonObjectReader section(document, "/inventory", faults);
    section.forEachMember([&](const std::string& name, JsonObjectReader& reader) {
        AvailabilityZone zone;
        zone.id = AvailabilityZoneId(name);
        zone.entryHosts = static_cast<std::uint32_t>(reader.integer("entryHosts", { 1, 64 }));
        zone.entryHostReserve = static_cast<std::uint32_t>(reader.integerOr("entryHostReserve", { 0, 16 }, 1));
        zone.spareServers = static_cast<std::uint32_t>(reader.integerOr("spareServers", { 0, 2 }, 0));
        reader.forEachObject("servers", [&](JsonObjectReader& item) {
            BackendServer server = readServer(item, zone.id);
            if (!seen.insert(server.id).second)
                item.fault("id", "names a backend server that is already listed: " + server.id.value());
            if (zone.connectionShare(server) == 0)
                item.fault("connections", "is less than entryHosts + entryHostReserve");
            zone.servers.push_back(std::move(server));
        });
        std::ranges::sort(zone.servers, byRackAndPosition);
        configuration.zones.emplace(zone.id, std::move(zone));
    });
}

void readPolicy(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults)
{
    using namespace std::chrono_literals;
    JsonObjectReader section(document, "/policy", faults);
    Policy& policy = configuration.policy;
    policy.completionWeight = section.numberOr("completionWeight", 0, 100, 1);
    policy.fragmentationWeight = section.numberOr("fragmentationWeight", 0, 100, 1);
    policy.leasePeriod = section.durationOr("leasePeriod", { 2s, 300s }, 30s);
    policy.reclaimGrace = section.durationOr("reclaimGrace", { 0s, 120s }, 4s);
    policy.urgentGrace = section.durationOr("urgentGrace", { 0s, 60s }, 1s);
    // The leases of a gang are not renewed once a member is evicted, so they must outlast the grace.
    if (policy.reclaimGrace > policy.leasePeriod * maximumReclaimGraceFifths / 5)
        section.fault("reclaimGrace", "must be at most two fifths of leasePeriod");
    policy.agingBound = section.durationOr("agingBound", { 1s, 24h }, 10min);
    section.finish();
}

void readServices(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults)
{
    using namespace std::chrono_literals;
    JsonObjectReader section(document, "/services", faults);
    section.forEachMember([&](const std::string& name, JsonObjectReader& reader) {
        Service service;
        service.id = ServiceId(name);
        service.idempotent = reader.booleanOr("idempotent", true);
        service.timeout = reader.durationOr("timeout", { 10ms, 600s }, 10s);
        service.maximumBody
            = static_cast<std::size_t>(reader.integerOr("maximumBodyBytes", { 1, maximumBodyBytes }, maximumBodyBytes));
        configuration.services.emplace(service.id, service);
    });
}

void readTeams(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults)
{
    JsonObjectReader section(document, "/teams", faults);
    std::map<std::string, std::string> owners;
    section.forEachMember([&](const std::string& name, JsonObjectReader& reader) {
        Team team {
            .id = TeamId(name), .credentialSha256 = readCredential(reader), .sections = reader.textArray("sections")
        };
        for (const std::string& owned : team.sections) {
            if (std::ranges::find(sectionNames, owned) == sectionNames.end())
                reader.fault("sections", "names no section: " + owned);
            const auto [owner, first] = owners.emplace(owned, name);
            if (!first)
                reader.fault("sections", owned + " is owned by team " + owner->second);
        }
        configuration.teams.emplace(team.id, team);
    });
}

} // namespace WisteriaHill::Model::Internal
