#include "app/fleetsettings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace WisteriaHill::App {

namespace {

using Utils::JsonObjectReader;
using namespace std::chrono_literals;

constexpr const char* rootMember = "fleet";
constexpr Utils::Duration defaultJobRetention { 120'000 };
constexpr double maximumLimit = 1'000'000'000;
constexpr std::array<std::string_view, 3> logLevels { "information", "warning", "error" };

bool isIpv4Address(const std::string& text)
{
    in_addr address {};
    return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

void checkAddress(JsonObjectReader& reader, const std::string& name, const std::string& text)
{
    if (reader.has(name) && !isIpv4Address(text))
        reader.fault(name, "must be an IPv4 address, not '" + text + "'");
}

Endpoint readEndpoint(JsonObjectReader& reader, const std::string& name, bool optional = false)
{
    const std::string text = optional ? reader.textOr(name, "") : reader.text(name);
    if (text.empty() && (optional || !reader.has(name)))
        return {};
    Endpoint endpoint;
    const std::size_t colon = text.rfind(':');
    endpoint.address = text.substr(0, colon);
    if (colon != std::string::npos)
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), endpoint.port);
    if (endpoint.port == 0 || !isIpv4Address(endpoint.address))
        reader.fault(name, "must be an IPv4 address and a port, such as 10.0.0.1:8080");
    return endpoint;
}

FleetSettings readFleet(JsonObjectReader& reader)
{
    FleetSettings settings;
    settings.node = reader.identifier("node");
    settings.zone = reader.identifier("zone");
    settings.address = reader.text("address");
    checkAddress(reader, "address", settings.address);
    settings.callers = readEndpoint(reader, "callers");
    settings.readiness = readEndpoint(reader, "readiness");
    settings.relay = readEndpoint(reader, "relay");
    settings.metrics = readEndpoint(reader, "metrics");
    settings.heartbeatPort = static_cast<std::uint16_t>(reader.integer("heartbeatPort", { 1, 65535 }));
    settings.heartbeats = readEndpoint(reader, "heartbeats", true);
    if (settings.heartbeats.port == 0)
        settings.heartbeats = { .address = settings.address, .port = settings.heartbeatPort };
    settings.store = readEndpoint(reader, "store");
    settings.advisor = readEndpoint(reader, "advisor", true);
    settings.machines = readEndpoint(reader, "machines", true);
    reader.object("leases", [&](JsonObjectReader& member) {
        settings.maximumLease = member.duration("maximum", { 500ms, 3600s });
        settings.stopTime = member.duration("stopTime", { 0ms, 60s });
        settings.gangPatience = member.durationOr("gangPatience", { 100ms, 3600s }, 3s);
    });
    settings.jobRetention = reader.durationOr("jobRetention", { 0s, 86'400s }, 0s);
    if (settings.jobRetention.count() == 0)
        settings.jobRetention = defaultJobRetention;
    settings.evacuationBound = reader.durationOr("evacuationBound", { 0ms, 3600s }, 0s);
    settings.upkeepTime = reader.durationOr("upkeepTime", { 0ms, 3600s }, 2s);
    settings.processorShare = reader.numberOr("processorShare", 0.01, 1024, settings.processorShare);
    settings.stopBound = reader.durationOr("stopBound", { 1s, 3600s }, 6s);
    reader.optionalObject("limits", [&](JsonObjectReader& member) {
        settings.memoryMb = member.numberOr("memoryMb", 1, maximumLimit, settings.memoryMb);
        settings.descriptors = member.numberOr("descriptors", 1, maximumLimit, settings.descriptors);
        settings.connectionsPerAddress = static_cast<std::size_t>(
            member.integerOr("connectionsPerAddress", { 0, static_cast<std::int64_t>(maximumLimit) }, 0));
    });
    settings.logLevel = reader.textOr("logLevel", "information");
    if (std::ranges::find(logLevels, settings.logLevel) == logLevels.end())
        reader.fault("logLevel", "must be information, warning or error, not '" + settings.logLevel + "'");
    return settings;
}

} // namespace

bool isFleetSettings(std::string_view text)
{
    Utils::JsonFaults faults;
    const std::optional<Utils::Json> document = Utils::parseJsonText(text, faults);
    return document && document->is_object() && document->contains(rootMember);
}

Utils::Result<FleetSettings, Utils::JsonFaults> parseFleetSettings(std::string_view text)
{
    Utils::JsonFaults faults;
    const std::optional<Utils::Json> document = Utils::parseJsonText(text, faults);
    if (!document)
        return faults;
    FleetSettings settings;
    JsonObjectReader reader(*document, "", faults);
    reader.object(rootMember, [&](JsonObjectReader& member) { settings = readFleet(member); });
    reader.finish();
    if (!faults.empty())
        return faults;
    return settings;
}

} // namespace WisteriaHill::App
