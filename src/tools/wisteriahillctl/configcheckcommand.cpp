#include "wisteriahillctl/configcheckcommand.h"

#include "platform/configurationcheck.h"
#include "scheduling/configcheck/configdiff.h"
#include "utils/checkedjson.h"
#include "utils/httpstatus.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace WisteriaHill::Ctl {

namespace {

namespace ConfigCheck = Scheduling::ConfigCheck;
using Utils::Json;

std::optional<std::string> readText(const std::string& file)
{
    std::ostringstream text;
    if (file == "-") {
        text << std::cin.rdbuf();
        return std::move(text).str();
    }
    std::ifstream input(file);
    if (!input) {
        std::cerr << file << ": cannot be opened\n";
        return std::nullopt;
    }
    text << input.rdbuf();
    return std::move(text).str();
}

/// The text of the version to compare with; nothing when it cannot be read.
std::optional<std::string> readComparison(CommandContext context, const CheckOptions& options)
{
    if (!options.live)
        return readText(options.against);
    const Adapters::HttpCallResult result = context.daemon.call({ .path = "/v1/configuration" });
    const auto* response = std::get_if<Adapters::HttpResponse>(&result);
    if (response && response->status == Utils::HttpStatus::ok)
        return response->body;
    std::cerr << (response ? "the daemon has no configuration to compare with\n" : "the daemon does not answer\n");
    return std::nullopt;
}

const char* severityName(ConfigCheck::Severity severity)
{
    return severity == ConfigCheck::Severity::Error ? "error" : "warning";
}

const char* kindName(ConfigCheck::ChangeKind kind)
{
    switch (kind) {
    case ConfigCheck::ChangeKind::Added:
        return "added";
    case ConfigCheck::ChangeKind::Removed:
        return "removed";
    case ConfigCheck::ChangeKind::Changed:
        break;
    }
    return "changed";
}

void print(CommandContext context, const std::string& file, const std::vector<Platform::DocumentFinding>& findings,
    const std::vector<ConfigCheck::Change>& changes)
{
    if (context.json) {
        Json document { { "findings", Json::array() }, { "differences", Json::array() } };
        for (const Platform::DocumentFinding& finding : findings)
            document["findings"].push_back({ { "severity", severityName(finding.severity) }, { "path", finding.path },
                { "line", finding.line }, { "reason", finding.reason } });
        for (const ConfigCheck::Change& change : changes)
            document["differences"].push_back(
                { { "change", kindName(change.kind) }, { "entry", change.entry }, { "members", change.members } });
        std::cout << Utils::toText(document) << '\n';
        return;
    }
    for (const Platform::DocumentFinding& finding : findings)
        std::cout << file << (finding.line > 0 ? ":" + std::to_string(finding.line) : "") << ": "
                  << severityName(finding.severity) << ": " << (finding.path.empty() ? "/" : finding.path) << ": "
                  << finding.reason << '\n';
    for (const ConfigCheck::Change& change : changes) {
        std::cout << kindName(change.kind) << ' ' << change.entry << '\n';
        for (const std::string& member : change.members)
            std::cout << "  " << member << '\n';
    }
}

bool hasError(const std::vector<Platform::DocumentFinding>& findings)
{
    return std::ranges::any_of(findings,
        [](const Platform::DocumentFinding& finding) { return finding.severity == ConfigCheck::Severity::Error; });
}

} // namespace

CheckStatus checkConfiguration(CommandContext context, const CheckOptions& options)
{
    const std::optional<std::string> text = readText(options.file);
    if (!text)
        return CheckStatus::Errors;
    const bool compared = options.live || !options.against.empty();
    const std::optional<std::string> comparison = compared ? readComparison(context, options) : std::nullopt;
    Platform::ConfigurationReport report = Platform::checkConfiguration(
        *text, comparison ? Platform::decodeAccelerators(*comparison) : ConfigCheck::KnownAccelerators {});
    std::optional<Scheduling::FleetConfiguration> inForce;
    if (comparison)
        inForce = Platform::checkConfiguration(*comparison).configuration;
    std::vector<ConfigCheck::Change> changes;
    if (report.configuration && inForce) {
        if (options.live)
            Platform::digestKeys(*report.configuration);
        changes = ConfigCheck::compare(*inForce, *report.configuration);
        if (!changes.empty() && report.configuration->version <= inForce->version)
            report.findings.push_back({ .path = "/Version",
                .reason = "must be higher than that in force, " + std::to_string(inForce->version) });
    }
    print(context, options.file, report.findings, changes);
    if (hasError(report.findings))
        return CheckStatus::Errors;
    if (compared && !inForce) {
        std::cerr << "the version in force cannot be read\n";
        return CheckStatus::NoComparison;
    }
    return report.findings.empty() && changes.empty() ? CheckStatus::Clean : CheckStatus::Notable;
}

} // namespace WisteriaHill::Ctl
