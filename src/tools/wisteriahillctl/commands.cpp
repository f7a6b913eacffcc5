#include "wisteriahillctl/commands.h"

#include "utils/checkedjson.h"
#include "utils/httpstatus.h"
#include "utils/steadytime.h"
#include "wisteriahillctl/tableprinter.h"

#include <cerrno>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <system_error>

namespace WisteriaHill::Ctl {

namespace {

using Adapters::HttpCall;
using Adapters::HttpCallResult;
using Adapters::HttpResponse;
using Utils::Duration;
using Utils::Json;

constexpr int firstErrorStatus = 400;
constexpr Duration pollInterval { 200 };
constexpr Duration progressInterval { 1000 };

/// Returns the response, or prints why there is none.
std::optional<HttpResponse> responseOrReport(const HttpCallResult& result)
{
    if (const auto* response = std::get_if<HttpResponse>(&result))
        return *response;
    const bool notSent = std::get<Adapters::HttpClientError>(result) == Adapters::HttpClientError::NotSent;
    std::cerr << (notSent ? "the daemon cannot be reached\n" : "the daemon sent no complete response\n");
    return std::nullopt;
}

ExitStatus failureOf(const HttpCallResult& result)
{
    const bool notSent = std::get<Adapters::HttpClientError>(result) == Adapters::HttpClientError::NotSent;
    return notSent ? ExitStatus::Unreachable : ExitStatus::Unknown;
}

ExitStatus statusOf(const HttpResponse& response)
{
    if (response.header(Adapters::HeaderName::outcome) == "unknown")
        return ExitStatus::Unknown;
    if (response.status == Utils::HttpStatus::conflict)
        return ExitStatus::Conflict;
    return response.status >= firstErrorStatus ? ExitStatus::Refused : ExitStatus::Ok;
}

/// Sends a call and prints the body of the response unchanged.
ExitStatus callAndPrint(CommandContext context, HttpCall call)
{
    const HttpCallResult result = context.daemon.call(std::move(call));
    const std::optional<HttpResponse> response = responseOrReport(result);
    if (!response)
        return failureOf(result);
    std::cout << response->body;
    if (!response->body.empty() && response->body.back() != '\n')
        std::cout << '\n';
    return statusOf(*response);
}

std::optional<std::string> readInput(const std::string& file)
{
    std::ostringstream text;
    if (file == "-") {
        text << std::cin.rdbuf();
        return std::move(text).str();
    }
    std::ifstream input(file);
    if (!input) {
        std::cerr << file << ": cannot be opened: " << std::generic_category().message(errno) << '\n';
        return std::nullopt;
    }
    text << input.rdbuf();
    return std::move(text).str();
}

std::string newChangeId()
{
    std::random_device device;
    std::ostringstream text;
    text << "ctl-" << std::hex << device() << device() << device();
    return std::move(text).str();
}

/// Fetches a JSON document and sets `status`; on failure prints the error and returns nothing.
std::optional<Json> fetchDocument(CommandContext context, const std::string& path, ExitStatus& status)
{
    const HttpCallResult result = context.daemon.call({ .path = path });
    const std::optional<HttpResponse> response = responseOrReport(result);
    if (!response) {
        status = failureOf(result);
        return std::nullopt;
    }
    status = statusOf(*response);
    Json document = Json::parse(response->body, nullptr, false);
    if (status == ExitStatus::Ok && !document.is_discarded())
        return document;
    std::cerr << response->body;
    return std::nullopt;
}

std::string textOf(const Json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

/// Returns a member as text, or "-" when the daemon leaves it out.
std::string memberText(const Json& object, const char* name)
{
    return object.contains(name) ? textOf(object.at(name)) : "-";
}

std::vector<TableRow> hostRows(const Json& hosts)
{
    std::vector<TableRow> rows { { "HOST", "REVISION", "LIVE" } };
    for (const auto& [host, state] : hosts.items())
        rows.push_back({ host, textOf(state.at("revision")), textOf(state.at("live")) });
    return rows;
}

bool everyLiveHostHasRevision(const Json& hosts, std::uint64_t revision)
{
    for (const auto& [host, state] : hosts.items()) {
        if (state.at("live").get<bool>() && state.at("revision").get<std::uint64_t>() < revision)
            return false;
    }
    return true;
}

std::uint64_t highestRevision(const Json& hosts)
{
    std::uint64_t highest = 0;
    for (const auto& [host, state] : hosts.items())
        highest = std::max(highest, state.at("revision").get<std::uint64_t>());
    return highest;
}

void printJob(CommandContext context, const Json& job)
{
    if (context.json) {
        std::cout << job.dump() << '\n';
        return;
    }
    printTable(std::cout,
        { { "JOB", "STATE", "ATTEMPT", "SERVERS", "REASON" },
            { textOf(job.at("id")), textOf(job.at("state")), memberText(job, "attempt"),
                job.contains("placement") ? std::to_string(job.at("placement").size()) : "-",
                memberText(job, "reason") } });
}

bool isFinalState(const std::string& state)
{
    return state == "finished" || state == "failed" || state == "cancelled" || state == "rejected";
}

} // namespace

ExitStatus sendRequest(CommandContext context, const RequestOptions& options)
{
    HttpCall call { .method = "POST", .path = "/v1/services/" + options.service + "/requests", .body = options.body };
    if (!options.key.empty())
        call.headers[Adapters::HeaderName::idempotencyKey] = options.key;
    if (!options.deadline.empty())
        call.headers[Adapters::HeaderName::deadline] = options.deadline;
    return callAndPrint(context, std::move(call));
}

ExitStatus submitJob(CommandContext context, const std::string& file)
{
    const std::optional<std::string> body = readInput(file);
    if (!body)
        return ExitStatus::Usage;
    return callAndPrint(context, { .method = "POST", .path = "/v1/jobs", .body = *body });
}

ExitStatus showJob(CommandContext context, const std::string& job)
{
    ExitStatus status = ExitStatus::Ok;
    if (const std::optional<Json> document = fetchDocument(context, "/v1/jobs/" + job, status))
        printJob(context, *document);
    return status;
}

ExitStatus watchJob(CommandContext context, const std::string& job, Duration bound)
{
    const auto start = Utils::steadyNow();
    std::string lastState;
    while (Utils::steadyNow() - start < bound) {
        ExitStatus status = ExitStatus::Ok;
        const std::optional<Json> document = fetchDocument(context, "/v1/jobs/" + job, status);
        if (!document)
            return status;
        const std::string state = document->at("state").get<std::string>();
        if (state != lastState)
            printJob(context, *document);
        lastState = state;
        if (isFinalState(state))
            return state == "finished" ? ExitStatus::Ok : ExitStatus::Refused;
        context.daemon.sleep(pollInterval);
    }
    std::cerr << "the job is still " << lastState << " after " << bound.count() << " ms\n";
    return ExitStatus::WaitTimedOut;
}

ExitStatus cancelJob(CommandContext context, const std::string& job)
{
    return callAndPrint(context, { .method = "DELETE", .path = "/v1/jobs/" + job });
}

ExitStatus explainJob(CommandContext context, const std::string& job)
{
    return callAndPrint(context, { .path = "/v1/jobs/" + job + "/explain" });
}

ExitStatus listJobs(CommandContext context)
{
    ExitStatus status = ExitStatus::Ok;
    const std::optional<Json> document = fetchDocument(context, "/v1/jobs", status);
    if (!document)
        return status;
    if (context.json) {
        std::cout << document->dump() << '\n';
        return status;
    }
    std::vector<TableRow> rows { { "JOB", "STATE", "ATTEMPT", "REASON" } };
    for (const Json& job : document->at("jobs"))
        rows.push_back(
            { textOf(job.at("id")), textOf(job.at("state")), textOf(job.at("attempt")), textOf(job.at("reason")) });
    printTable(std::cout, rows);
    return status;
}

ExitStatus showConfiguration(CommandContext context)
{
    ExitStatus status = ExitStatus::Ok;
    const std::optional<Json> document = fetchDocument(context, "/v1/configuration", status);
    if (!document)
        return status;
    if (context.json) {
        std::cout << document->dump() << '\n';
        return status;
    }
    std::vector<TableRow> rows { { "SECTION", "VERSION" } };
    for (const auto& [name, section] : document->at("sections").items())
        rows.push_back({ name, textOf(section.at("version")) });
    std::cout << "revision " << document->at("revision") << "\n\n";
    printTable(std::cout, rows);
    std::cout << '\n';
    printTable(std::cout, hostRows(document->at("hosts")));
    return status;
}

ExitStatus getSection(CommandContext context, const std::string& section)
{
    return callAndPrint(context, { .path = "/v1/configuration/" + section });
}

ExitStatus putSection(CommandContext context, const PutOptions& options)
{
    const std::optional<std::string> body = readInput(options.file);
    if (!body)
        return ExitStatus::Usage;
    const std::string path = "/v1/configuration/" + options.section;
    std::string version = std::to_string(options.version.value_or(0));
    if (!options.version) {
        const HttpCallResult result = context.daemon.call({ .path = path });
        const std::optional<HttpResponse> response = responseOrReport(result);
        if (!response)
            return failureOf(result);
        if (response->status != Utils::HttpStatus::notFound)
            version = response->header(Adapters::HeaderName::entityTag);
    }
    return callAndPrint(context,
        { .method = "PUT",
            .path = path,
            .headers
            = { { Adapters::HeaderName::ifMatch, version }, { Adapters::HeaderName::changeId, newChangeId() } },
            .body = *body });
}

ExitStatus waitForConfiguration(CommandContext context, const WaitOptions& options)
{
    const auto start = Utils::steadyNow();
    auto nextProgress = start + progressInterval;
    std::uint64_t revision = options.revision;
    while (true) {
        ExitStatus status = ExitStatus::Ok;
        const std::optional<Json> document = fetchDocument(context, "/v1/configuration", status);
        if (!document)
            return status;
        const Json& hosts = document->at("hosts");
        revision = revision == 0 ? highestRevision(hosts) : revision;
        const auto now = Utils::steadyNow();
        const bool inForce = everyLiveHostHasRevision(hosts, revision) && highestRevision(hosts) >= revision;
        if (inForce || now - start >= options.bound) {
            const auto waited = std::chrono::duration_cast<Duration>(now - start);
            std::cout << "revision " << revision
                      << (inForce ? " is in force on every live host, " : " is not in force everywhere, ")
                      << waited.count() << " ms\n";
            printTable(std::cout, hostRows(hosts));
            return inForce ? ExitStatus::Ok : ExitStatus::WaitTimedOut;
        }
        if (now >= nextProgress) {
            std::cerr << "waiting for revision " << revision << '\n';
            nextProgress = now + progressInterval;
        }
        context.daemon.sleep(pollInterval);
    }
}

ExitStatus setDrained(CommandContext context, const std::string& server, bool drained)
{
    const std::string action = drained ? "/drain" : "/undrain";
    return callAndPrint(context, { .method = "POST", .path = "/v1/servers/" + server + action });
}

/// Prints a summary of the state dump of a FleetDaemon.
void printFleetStatus(const Json& dump)
{
    std::cout << "leader " << textOf(dump.at("leader")) << (dump.at("leading").get<bool>() ? " (this daemon)" : "")
              << ", term " << dump.at("term") << ", configuration " << dump.at("configuration") << "\n\n";
    std::vector<TableRow> servers { { "SERVER", "RACK", "PRESENT", "DRAINING", "RUNS", "FREE ACCELERATORS" } };
    for (const Json& server : dump.at("servers"))
        servers.push_back({ textOf(server.at("id")), textOf(server.at("rack")), textOf(server.at("present")),
            textOf(server.at("draining")), textOf(server.at("runs")), textOf(server.at("free").at("accelerators")) });
    printTable(std::cout, servers);
    std::map<std::string, int> states;
    for (const Json& job : dump.at("jobs"))
        ++states[job.at("state").get<std::string>()];
    std::vector<TableRow> jobs { { "JOBS", "COUNT" } };
    for (const auto& [state, count] : states)
        jobs.push_back({ state, std::to_string(count) });
    std::cout << '\n';
    printTable(std::cout, jobs);
}

ExitStatus dumpState(CommandContext context) { return callAndPrint(context, { .path = "/v1/dump" }); }

ExitStatus showStatus(CommandContext context)
{
    ExitStatus status = ExitStatus::Ok;
    const std::optional<Json> dump = fetchDocument(context, "/v1/dump", status);
    if (!dump)
        return status;
    if (context.json) {
        std::cout << dump->dump() << '\n';
        return status;
    }
    if (dump->contains("leader")) {
        printFleetStatus(*dump);
        return status;
    }
    std::cout << "host " << textOf(dump->at("host")) << " in " << textOf(dump->at("zone")) << ", phase "
              << textOf(dump->at("phase")) << ", revision " << dump->at("revision") << ", table service "
              << (dump->at("tableAvailable").get<bool>() ? "available" : "away") << "\n\n";
    printTable(std::cout, hostRows(dump->at("members")));
    std::vector<TableRow> rows { { "SERVER", "WORK", "IN FLIGHT", "LIMIT", "FREE", "WHY NOT" } };
    for (const auto& [server, view] : dump->at("servers").items()) {
        std::string reasons;
        for (const char* reason : { "leaving", "listedLeaving", "drained", "silent", "ejected", "probation" }) {
            if (view.at(reason).get<bool>())
                reasons += std::string(reason) + " ";
        }
        rows.push_back({ server, textOf(view.at("acceptsWork")), textOf(view.at("inFlight")),
            textOf(view.at("concurrencyLimit")), textOf(view.at("free")), reasons });
    }
    std::cout << '\n';
    printTable(std::cout, rows);
    const Json& uncovered = dump->at("guarantees").at("uncovered");
    std::cout << "\nguarantees without a home: " << (uncovered.empty() ? "none" : uncovered.dump()) << '\n';
    return status;
}

} // namespace WisteriaHill::Ctl
