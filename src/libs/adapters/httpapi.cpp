#include "adapters/httpapi.h"

#include "controllers/statedump.h"
#include "utils/duration.h"
#include "utils/httpstatus.h"
#include "utils/steadytime.h"

#include <algorithm>
#include <charconv>

namespace WisteriaHill::Adapters {

namespace {

using Controllers::DaemonCore;
using Utils::Json;
using Utils::SteadyTime;

constexpr std::size_t maximumKeyLength = 128;

std::vector<std::string> splitPath(const std::string& path)
{
    std::vector<std::string> segments;
    std::size_t start = 1;
    while (start < path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        segments.push_back(path.substr(start, end - start));
        start = end + 1;
    }
    return segments;
}

HttpHeaders retryHeaders(const std::optional<Duration>& retryAfter)
{
    if (!retryAfter)
        return {};
    return { { HeaderName::retryAfter, retryAfterSeconds(*retryAfter) },
        { HeaderName::retryAfterMs, std::to_string(retryAfter->count()) } };
}

/// Parses the value of an If-Match header: a version number, with or without quotes.
std::optional<Model::RowVersion> versionFrom(std::string text)
{
    std::erase(text, '"');
    Model::RowVersion version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return version;
}

} // namespace

HttpApi::HttpApi(EventLoop& loop, HttpServerOptions options, const DaemonCore& core, CoreInput input)
    : core(core)
    , input(std::move(input))
    , server(
          loop, std::move(options),
          [this](HttpExchangeId exchange, HttpRequest request) { this->onRequest(exchange, std::move(request)); },
          [this](HttpExchangeId exchange) {
              this->arrivals.erase(exchange);
              this->input([&](DaemonCore& daemon, SteadyTime now) { daemon.callerDisconnected(exchange, now); });
          })
{
}

void HttpApi::respondJson(HttpExchangeId exchange, int status, const Json& document, HttpHeaders headers)
{
    this->server.respond(
        exchange, { .status = status, .headers = std::move(headers), .body = Utils::toText(document, 2) + "\n" });
}

void HttpApi::respondError(HttpExchangeId exchange, int status, const std::string& reason)
{
    this->respondJson(
        exchange, status, { { "error", reason }, { "outcome", "notRun" } }, { { HeaderName::outcome, "notRun" } });
}

void HttpApi::answer(const Controllers::AnswerCaller& effect)
{
    const Model::CallerAnswer& answer = effect.answer;
    const auto arrival = this->arrivals.find(effect.caller);
    if (arrival != this->arrivals.end()) {
        this->metrics.record(answer.outcome, Utils::steadyNow() - arrival->second);
        this->arrivals.erase(arrival);
    }
    HttpResponse response { .status = answer.status, .headers = retryHeaders(answer.retryAfter) };
    const std::string outcome(Model::outcomeName(answer.outcome));
    response.headers[HeaderName::outcome] = outcome;
    if (answer.replayed)
        response.headers[HeaderName::replayed] = "true";
    if (answer.outcome == Model::Outcome::Completed) {
        response.body = answer.body;
        response.contentType = answer.contentType.empty() ? "application/octet-stream" : answer.contentType;
    } else {
        Json document { { "outcome", outcome }, { "reason", answer.reason } };
        if (answer.retryAfter)
            document["retryAfterMs"] = answer.retryAfter->count();
        response.body = Utils::toText(document) + "\n";
    }
    this->server.respond(effect.caller, std::move(response));
}

void HttpApi::answer(const Controllers::AnswerDocument& effect)
{
    HttpHeaders headers = retryHeaders(effect.retryAfter);
    if (effect.document.contains("outcome"))
        headers[HeaderName::outcome] = effect.document.at("outcome").get<std::string>();
    if (!effect.entityTag.empty())
        headers[HeaderName::entityTag] = "\"" + effect.entityTag + "\"";
    this->respondJson(effect.caller, effect.status, effect.document, std::move(headers));
}

void HttpApi::onRequest(HttpExchangeId exchange, HttpRequest request)
{
    const Segments path = splitPath(request.path);
    const bool job = path.size() >= 2 && path[0] == "v1" && path[1] == "jobs";
    if (job && (request.method == "GET" || request.method == "DELETE"))
        this->routeJob(exchange, request, path);
    else if (request.method == "GET")
        this->routeGet(exchange, request, path);
    else if (request.method == "POST")
        this->routePost(exchange, std::move(request), path);
    else if (request.method == "PUT")
        this->routePut(exchange, request, path);
    else
        this->respondError(
            exchange, Utils::HttpStatus::methodNotAllowed, "method " + request.method + " is not supported");
}

void HttpApi::routeGet(HttpExchangeId exchange, const HttpRequest& request, const Segments& path)
{
    if (path == Segments { "healthz" })
        this->respondJson(exchange, Utils::HttpStatus::ok, { { "alive", true } });
    else if (path == Segments { "readyz" })
        this->respondJson(exchange, this->core.ready() ? Utils::HttpStatus::ok : Utils::HttpStatus::unavailable,
            { { "ready", this->core.ready() }, { "phase", Controllers::hostPhaseName(this->core.state().phase) } });
    else if (path == Segments { "metrics" })
        this->server.respond(exchange,
            { .contentType = "text/plain; version=0.0.4", .body = this->metrics.prometheusText(this->core.state()) });
    else if (path == Segments { "v1", "dump" })
        this->showDump(exchange, request);
    else if (path == Segments { "v1", "configuration" })
        this->showConfiguration(exchange, request);
    else if (path.size() == 3 && path[0] == "v1" && path[1] == "configuration")
        this->showSection(exchange, request, path[2]);
    else
        this->respondError(exchange, Utils::HttpStatus::notFound, "no such resource: " + request.path);
}

void HttpApi::routePost(HttpExchangeId exchange, HttpRequest request, const Segments& path)
{
    const bool fourSegments = path.size() == 4 && path[0] == "v1";
    if (path == Segments { "v1", "jobs" })
        this->submitJob(exchange, request);
    else if (fourSegments && path[1] == "services" && path[3] == "requests")
        this->submitRequest(exchange, std::move(request), path[2]);
    else if (fourSegments && path[1] == "servers" && (path[3] == "drain" || path[3] == "undrain"))
        this->drain(exchange, request, path[2], path[3] == "drain");
    else
        this->respondError(exchange, Utils::HttpStatus::notFound, "no such resource: " + request.path);
}

void HttpApi::routePut(HttpExchangeId exchange, const HttpRequest& request, const Segments& path)
{
    if (path.size() == 3 && path[0] == "v1" && path[1] == "configuration")
        this->editSection(exchange, request, path[2]);
    else
        this->respondError(exchange, Utils::HttpStatus::notFound, "no such resource: " + request.path);
}

std::optional<Model::ClientAccountId> HttpApi::authenticateAccount(HttpExchangeId exchange, const HttpRequest& request)
{
    if (!this->core.state().configuration) {
        this->respondJson(exchange, Utils::HttpStatus::unavailable,
            { { "outcome", "notRun" }, { "reason", "this entry host has no configuration yet" } },
            { { HeaderName::outcome, "notRun" }, { HeaderName::retryAfter, "1" } });
        return std::nullopt;
    }
    std::optional<Model::ClientAccountId> account = this->core.accountOf(bearerCredential(request));
    if (!account)
        this->respondError(exchange, Utils::HttpStatus::unauthorised, "the credential belongs to no client account");
    return account;
}

std::optional<Model::TeamId> HttpApi::authenticateTeam(HttpExchangeId exchange, const HttpRequest& request)
{
    std::optional<Model::TeamId> team = this->core.teamOf(bearerCredential(request));
    if (!team)
        this->respondError(exchange, Utils::HttpStatus::unauthorised, "the credential belongs to no team");
    return team;
}

void HttpApi::submitRequest(HttpExchangeId exchange, HttpRequest request, const std::string& service)
{
    const std::optional<Model::ClientAccountId> account = this->authenticateAccount(exchange, request);
    if (!account)
        return;
    const std::string key = request.header(HeaderName::idempotencyKey);
    if (key.size() > maximumKeyLength || (!key.empty() && !Utils::isIdentifier(key))) {
        this->respondError(exchange, Utils::HttpStatus::badRequest,
            "Idempotency-Key must be 1 to 128 letters, digits, '.', '_' or '-'");
        return;
    }
    const std::string deadline = request.header(HeaderName::deadline);
    const std::optional<Duration> timeout = Utils::parseDuration(deadline);
    if (!deadline.empty() && (!timeout || timeout->count() == 0)) {
        this->respondError(
            exchange, Utils::HttpStatus::badRequest, "Wisteriahill-Deadline must be a duration such as 250ms or 2s");
        return;
    }
    this->arrivals[exchange] = Utils::steadyNow();
    Model::CallerRequest callerRequest { .account = *account,
        .service = Model::ServiceId(service),
        .body = std::move(request.body),
        .idempotencyKey = key,
        .timeout = timeout };
    this->input(
        [&](DaemonCore& daemon, SteadyTime now) { daemon.submitRequest(exchange, std::move(callerRequest), now); });
}

void HttpApi::submitJob(HttpExchangeId exchange, const HttpRequest& request)
{
    const std::optional<Model::ClientAccountId> account = this->authenticateAccount(exchange, request);
    if (!account)
        return;
    Utils::JsonFaults faults;
    const std::optional<Json> document = Utils::parseJsonText(request.body, faults);
    Model::JobSpecification specification;
    if (document)
        specification = Model::jobSpecificationFromJson(*document, faults);
    if (!faults.empty()) {
        this->respondError(exchange, Utils::HttpStatus::badRequest, Utils::formatFaults(faults));
        return;
    }
    specification.account = *account;
    this->input([&](DaemonCore& daemon, SteadyTime now) { daemon.submitJob(exchange, std::move(specification), now); });
}

void HttpApi::routeJob(HttpExchangeId exchange, const HttpRequest& request, const Segments& path)
{
    const std::optional<Model::ClientAccountId> account = this->authenticateAccount(exchange, request);
    if (!account)
        return;
    constexpr std::size_t jobPathSegments = 3;
    constexpr std::size_t explainPathSegments = 4;
    const bool explain = path.size() == explainPathSegments && path[3] == "explain";
    const bool known = path.size() <= jobPathSegments || explain;
    if (!known || (request.method == "DELETE" && path.size() != jobPathSegments)) {
        this->respondError(exchange, Utils::HttpStatus::notFound, "no such resource: " + request.path);
        return;
    }
    this->input([&](DaemonCore& daemon, SteadyTime now) {
        if (path.size() < jobPathSegments)
            daemon.listJobs(exchange, *account);
        else if (request.method == "DELETE")
            daemon.cancelJob(exchange, *account, Model::JobId(path[2]), now);
        else
            daemon.describeJob(exchange, *account, Model::JobId(path[2]), explain, now);
    });
}

void HttpApi::editSection(HttpExchangeId exchange, const HttpRequest& request, const std::string& section)
{
    const std::optional<Model::TeamId> team = this->authenticateTeam(exchange, request);
    if (!team)
        return;
    if (std::ranges::find(Model::sectionNames, section) == Model::sectionNames.end()) {
        this->respondError(exchange, Utils::HttpStatus::notFound, "no such section: " + section);
        return;
    }
    if (!this->core.mayEdit(*team, section)) {
        this->respondError(
            exchange, Utils::HttpStatus::forbidden, "section " + section + " is not owned by team " + team->value());
        return;
    }
    const std::optional<Model::RowVersion> expected = versionFrom(request.header(HeaderName::ifMatch));
    if (!expected) {
        this->respondError(exchange, Utils::HttpStatus::preconditionRequired,
            "If-Match must hold the version that the edit is based on, or 0");
        return;
    }
    const std::string changeId = request.header(HeaderName::changeId);
    if (!Utils::isIdentifier(changeId)) {
        this->respondError(exchange, Utils::HttpStatus::badRequest,
            "Wisteriahill-Change-Id must be 1 to 128 letters, digits, '.', '_' or '-', new for each change");
        return;
    }
    Utils::JsonFaults faults;
    std::optional<Json> document = Utils::parseJsonText(request.body, faults);
    if (!document) {
        this->respondError(exchange, Utils::HttpStatus::badRequest, "the body is not JSON: " + faults.front().reason);
        return;
    }
    Controllers::SectionEdit edit { .caller = exchange,
        .team = *team,
        .section = section,
        .document = *std::move(document),
        .expectedVersion = *expected,
        .changeId = changeId };
    this->input([&](DaemonCore& daemon, SteadyTime now) { daemon.editSection(std::move(edit), now); });
}

void HttpApi::drain(HttpExchangeId exchange, const HttpRequest& request, const std::string& server, bool drained)
{
    if (!this->authenticateTeam(exchange, request))
        return;
    this->input([&](DaemonCore& daemon, SteadyTime now) {
        daemon.setDrained(exchange, Model::BackendServerId(server), drained, now);
    });
}

void HttpApi::showConfiguration(HttpExchangeId exchange, const HttpRequest& request)
{
    if (!this->authenticateTeam(exchange, request))
        return;
    const Model::Blackboard& state = this->core.state();
    const Model::SharedConfiguration& configuration = state.configuration;
    Json hosts = Json::object();
    hosts[state.self.host.value()] = { { "revision", configuration ? configuration->revision : 0 }, { "live", true } };
    for (const auto& [host, member] : state.members)
        hosts[host.value()] = { { "revision", member.revision }, { "live", member.live },
            { "phase", Controllers::hostPhaseName(member.phase) } };
    Json sections = Json::object();
    if (configuration) {
        for (const auto& [name, document] : configuration->documents)
            sections[name] = { { "version", configuration->versions.at(name) }, { "document", document } };
    }
    this->respondJson(exchange, Utils::HttpStatus::ok,
        { { "revision", configuration ? configuration->revision : 0 }, { "hosts", hosts }, { "sections", sections } });
}

void HttpApi::showSection(HttpExchangeId exchange, const HttpRequest& request, const std::string& section)
{
    if (!this->authenticateTeam(exchange, request))
        return;
    const Model::SharedConfiguration& configuration = this->core.state().configuration;
    const bool present = configuration && configuration->documents.contains(section);
    if (!present) {
        this->respondError(exchange, Utils::HttpStatus::notFound,
            "section " + section + " does not exist yet; create it with If-Match: 0");
        return;
    }
    const Model::RowVersion version = configuration->versions.at(section);
    this->respondJson(exchange, Utils::HttpStatus::ok, configuration->documents.at(section),
        { { HeaderName::entityTag, "\"" + std::to_string(version) + "\"" } });
}

void HttpApi::showDump(HttpExchangeId exchange, const HttpRequest& request)
{
    if (!this->authenticateTeam(exchange, request))
        return;
    Json dump = this->core.dump(Utils::steadyNow());
    dump["openExchanges"] = this->server.openExchanges();
    this->respondJson(exchange, Utils::HttpStatus::ok, dump);
}

} // namespace WisteriaHill::Adapters
