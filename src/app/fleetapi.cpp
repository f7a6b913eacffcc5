#include "app/fleetapi.h"

#include "platform/configurationcheck.h"
#include "scheduling/boarddump.h"
#include "scheduling/gangjobs.h"
#include "utils/httpstatus.h"
#include "utils/jsonbounds.h"
#include "utils/randomsource.h"
#include "utils/steadytime.h"

#include <chrono>

namespace WisteriaHill::App {

using Adapters::HttpExchangeId;
using Adapters::HttpRequest;
using Scheduling::CallerAnswer;
using Scheduling::CallerContext;
using Scheduling::CallerOutcome;
using Utils::Json;
namespace HeaderName = Adapters::HeaderName;
namespace HttpStatus = Utils::HttpStatus;

namespace {

constexpr const char* jobsPath = "/v1/jobs";
constexpr std::string_view explainSuffix = "/explain";
constexpr int indent = 2;
constexpr Utils::Duration retryAfterWithoutConfiguration { 1000 };

/// Builds the context of a call to a queue; the path is the queue's prefix followed by the job's id.
CallerContext contextFor(const Scheduling::Queue& queue, const std::string& id, const HttpRequest& request)
{
    return { .host = queue.host, .path = queue.pathPrefix + id, .key = Adapters::bearerCredential(request) };
}

int statusOf(CallerOutcome outcome)
{
    switch (outcome) {
    case CallerOutcome::Accepted:
        return HttpStatus::accepted;
    case CallerOutcome::State:
    case CallerOutcome::Pending:
        return HttpStatus::ok;
    case CallerOutcome::NotAccepted:
    case CallerOutcome::NotReady:
        return HttpStatus::unavailable;
    case CallerOutcome::Uncertain:
        return HttpStatus::gatewayTimeout;
    case CallerOutcome::UnknownQueue:
    case CallerOutcome::UnknownJob:
        return HttpStatus::notFound;
    case CallerOutcome::UnknownKey:
        return HttpStatus::unauthorised;
    case CallerOutcome::Malformed:
        return HttpStatus::badRequest;
    }
    return HttpStatus::internalServerError;
}

} // namespace

FleetApi::FleetApi(Adapters::EventLoop& loop, const std::string& address, std::uint16_t port,
    const Scheduling::Scheduler& scheduler, Handlers handlers, std::shared_ptr<Adapters::Budget::Ledger> ledger)
    : scheduler(scheduler)
    , handlers(std::move(handlers))
    , server(loop, { .address = address, .port = port, .ledger = std::move(ledger) },
          [this](HttpExchangeId exchange, const HttpRequest& request) { this->handle(exchange, request); })
{
}

void FleetApi::respond(HttpExchangeId exchange, int status, const Json& body, Adapters::HttpHeaders headers)
{
    this->server.respond(
        exchange, { .status = status, .headers = std::move(headers), .body = Utils::toText(body, indent) + '\n' });
}

void FleetApi::handle(HttpExchangeId exchange, const HttpRequest& request)
{
    const std::string jobPrefix = std::string(jobsPath) + '/';
    if (request.path == "/metrics" && request.method == "GET") {
        this->server.respond(
            exchange, { .contentType = "text/plain; version=0.0.4", .body = this->handlers.metrics() });
    } else if (request.path == "/v1/dump" && request.method == "GET") {
        this->respond(exchange, HttpStatus::ok, Scheduling::dumpScheduler(this->scheduler, Utils::steadyNow()));
    } else if (request.path == "/v1/configuration" && request.method == "GET") {
        this->showConfiguration(exchange);
    } else if (request.path == jobsPath && request.method == "POST") {
        this->submitJob(exchange, request);
    } else if (request.path.starts_with(jobPrefix) && request.path.ends_with(explainSuffix)
        && request.path.size() > jobPrefix.size() + explainSuffix.size() && request.method == "GET") {
        this->explainJob(exchange,
            request.path.substr(jobPrefix.size(), request.path.size() - jobPrefix.size() - explainSuffix.size()));
    } else if (request.path.starts_with(jobPrefix) && (request.method == "GET" || request.method == "DELETE")) {
        this->routeJob(exchange, request, request.path.substr(jobPrefix.size()));
    } else {
        this->respond(exchange, HttpStatus::notFound, { { "reason", "no such resource" } });
    }
}

const Scheduling::ClientAccount* FleetApi::authenticate(HttpExchangeId exchange, const HttpRequest& request)
{
    const Scheduling::FleetConfiguration* configuration = this->handlers.configuration();
    if (!configuration) {
        this->sendAnswer(exchange, "",
            { .outcome = CallerOutcome::NotReady,
                .retryAfter = retryAfterWithoutConfiguration,
                .reason = "this entry host has no configuration yet" });
        return nullptr;
    }
    const Scheduling::ClientAccount* account = configuration->accountOfKey(Adapters::bearerCredential(request));
    if (!account)
        this->sendAnswer(exchange, "",
            { .outcome = CallerOutcome::UnknownKey, .reason = "the credential belongs to no client account" });
    return account;
}

void FleetApi::sendAnswer(HttpExchangeId exchange, const std::string& id, const CallerAnswer& answer)
{
    Json body = Json::object();
    Adapters::HttpHeaders headers;
    if (!id.empty())
        body["id"] = id;
    if (answer.outcome == CallerOutcome::State)
        body["state"] = Model::jobStateName(Scheduling::toModelJobState(answer.state));
    if (!answer.reason.empty())
        body["reason"] = answer.reason;
    if (answer.outcome == CallerOutcome::Uncertain)
        headers[HeaderName::outcome] = "unknown";
    else if (statusOf(answer.outcome) >= HttpStatus::badRequest)
        headers[HeaderName::outcome] = "notRun";
    if (answer.retryAfter.count() > 0)
        headers[HeaderName::retryAfter] = Adapters::retryAfterSeconds(answer.retryAfter);
    this->respond(exchange, statusOf(answer.outcome), body, std::move(headers));
}

void FleetApi::submitJob(HttpExchangeId exchange, const HttpRequest& request)
{
    const Scheduling::ClientAccount* account = this->authenticate(exchange, request);
    if (!account)
        return;
    Utils::JsonFaults faults;
    const Utils::JsonBounds bounds { .comments = true };
    if (const std::optional<std::string> exceeded = Utils::exceededBound(request.body, bounds)) {
        this->sendAnswer(exchange, "", { .outcome = CallerOutcome::Malformed, .reason = *exceeded });
        return;
    }
    const std::optional<Json> document = Utils::parseJsonText(request.body, faults);
    Model::JobSpecification wanted;
    if (document)
        wanted = Model::jobSpecificationFromJson(*document, faults);
    if (!faults.empty()) {
        this->sendAnswer(exchange, "", { .outcome = CallerOutcome::Malformed, .reason = Utils::formatFaults(faults) });
        return;
    }
    auto made = Scheduling::makeGangJob(wanted, *account, *this->handlers.configuration(), Utils::systemRandom());
    if (const auto* fault = std::get_if<Scheduling::GangJobError>(&made)) {
        this->respond(exchange, HttpStatus::unprocessable, { { "reason", fault->reason } },
            { { HeaderName::outcome, "notRun" } });
        return;
    }
    auto& job = std::get<Scheduling::GangJob>(made);
    this->handlers.jobs.submit(contextFor(*job.queue, job.id, request), job.id, std::move(job.specification),
        [this, exchange, id = job.id](const CallerAnswer& answer) { this->sendAnswer(exchange, id, answer); });
}

void FleetApi::routeJob(HttpExchangeId exchange, const HttpRequest& request, const std::string& id)
{
    if (!this->authenticate(exchange, request))
        return;
    const std::vector<Scheduling::Queue>& queues = this->handlers.configuration()->queues;
    if (queues.empty() || !Scheduling::jobIdInPath(queues.front().pathPrefix + id, queues.front())) {
        this->sendAnswer(exchange, id, { .outcome = CallerOutcome::UnknownJob, .reason = "no such job" });
        return;
    }
    // Jobs are named by id alone, so any queue can admit the call.
    CallerContext context = contextFor(queues.front(), id, request);
    context.anyQueue = true;
    const auto answer = [this, exchange, id](const CallerAnswer& given) { this->sendAnswer(exchange, id, given); };
    if (request.method == "DELETE")
        this->handlers.jobs.cancel(context, id, answer);
    else
        this->handlers.jobs.state(context, id, answer);
}

void FleetApi::showConfiguration(HttpExchangeId exchange)
{
    const Scheduling::FleetConfiguration* configuration = this->handlers.configuration();
    if (!configuration) {
        this->respond(exchange, HttpStatus::unavailable, { { "reason", "this entry host has no configuration yet" } });
        return;
    }
    Scheduling::ConfigCheck::KnownAccelerators accelerators; // empty unless this daemon leads
    for (const auto& [id, server] : this->scheduler.state().servers) {
        if (server.present && !server.replaced)
            accelerators[server.service] += server.capacity.accelerators;
    }
    this->server.respond(exchange, { .body = Platform::encodeConfiguration(*configuration, accelerators) });
}

void FleetApi::explainJob(HttpExchangeId exchange, const std::string& id)
{
    const Json explained = Scheduling::explainJob(this->scheduler, id, Utils::steadyNow());
    if (!explained.is_null()) {
        this->respond(exchange, HttpStatus::ok, explained);
        return;
    }
    this->respond(exchange, HttpStatus::notFound,
        { { "error", "this daemon does not know the job; ask the leader" },
            { "leader", this->scheduler.leadership().leaderNode() } });
}

} // namespace WisteriaHill::App
