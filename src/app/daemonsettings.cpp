#include "app/daemonsettings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fstream>
#include <sstream>
#include <system_error>

namespace WisteriaHill::App {

namespace {

using Utils::JsonObjectReader;

constexpr std::size_t sha256HexLength = 64;
constexpr std::array<std::string_view, 3> logLevels { "information", "warning", "error" };

bool isIpv4Address(const std::string& text)
{
    in_addr address {};
    return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

void readAddress(JsonObjectReader& reader, Model::PeerAddress& address)
{
    address.address = reader.text("address");
    address.port = static_cast<std::uint16_t>(reader.integer("port", { 1, 65535 }));
    if (reader.has("address") && !isIpv4Address(address.address))
        reader.fault("address", "must be an IPv4 address");
}

void readSeeds(JsonObjectReader& reader, std::vector<Model::PeerAddress>& seeds)
{
    if (!reader.has("seeds"))
        return;
    reader.forEachObject("seeds", [&](JsonObjectReader& item) { readAddress(item, seeds.emplace_back()); });
}

void readBootstrap(JsonObjectReader& reader, DaemonSettings& settings)
{
    settings.bootstrapTeam = reader.identifier("team");
    settings.bootstrapCredentialSha256 = reader.text("credentialSha256");
    const bool hexadecimal = settings.bootstrapCredentialSha256.size() == sha256HexLength
        && settings.bootstrapCredentialSha256.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (reader.has("credentialSha256") && !hexadecimal)
        reader.fault("credentialSha256", "must be 64 lower-case hexadecimal digits");
}

} // namespace

Utils::Result<DaemonSettings, Utils::JsonFaults> parseDaemonSettings(std::string_view text)
{
    using namespace std::chrono_literals;
    Utils::JsonFaults faults;
    const std::optional<Utils::Json> document = Utils::parseJsonText(text, faults);
    if (!document)
        return faults;

    DaemonSettings settings;
    settings.stopNotice = 2s;
    settings.stopBound = 30s;
    JsonObjectReader reader(*document, "", faults);
    settings.host = Model::EntryHostId(reader.identifier("host"));
    settings.zone = Model::AvailabilityZoneId(reader.identifier("zone"));
    reader.object("callers", [&](JsonObjectReader& member) { readAddress(member, settings.callers); });
    reader.object("peers", [&](JsonObjectReader& member) { readAddress(member, settings.peers); });
    reader.object("platform", [&](JsonObjectReader& member) { readAddress(member, settings.platform); });
    reader.object("bootstrap", [&](JsonObjectReader& member) { readBootstrap(member, settings); });
    reader.optionalObject("stop", [&](JsonObjectReader& member) {
        settings.stopNotice = member.durationOr("notice", { 0s, 60s }, settings.stopNotice);
        settings.stopBound = member.durationOr("bound", { 1s, 3600s }, settings.stopBound);
    });
    readSeeds(reader, settings.seeds);
    settings.logLevel = reader.textOr("logLevel", "information");
    if (std::ranges::find(logLevels, settings.logLevel) == logLevels.end())
        reader.fault("logLevel", "must be information, warning or error, not '" + settings.logLevel + "'");
    reader.finish();
    if (!faults.empty())
        return faults;
    return settings;
}

Utils::Result<std::string, Utils::JsonFault> readTextFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return Utils::JsonFault { path, "cannot be opened: " + std::generic_category().message(errno) };
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

} // namespace WisteriaHill::App
