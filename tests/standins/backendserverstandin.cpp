/// Stands in for a backend server in tests and demonstrations: runs requests in slots and tasks under leases, and
/// injects faults on request.
#include "adapters/eventloop.h"
#include "adapters/httpserver.h"
#include "model/lease.h"
#include "support/serverstate.h"
#include "utils/httpstatus.h"

#include <chrono>
#include <docopt/docopt.h>
#include <iostream>
#include <map>

namespace {

using namespace WisteriaHill;
using Adapters::HttpExchangeId;
using Adapters::HttpRequest;
using Utils::Duration;
using Utils::Json;

constexpr const char* usage = R"(backendserverstandin - stands in for a backend server

Usage:
  backendserverstandin --port PORT [--address IP] [--slots N] [--accelerators N] [--service-ms MS]

Options:
  --port PORT        Port to listen on.
  --address IP       Address to listen on [default: 127.0.0.1].
  --slots N          Requests that run at once [default: 8].
  --accelerators N   Accelerators [default: 8].
  --service-ms MS    How long a request runs [default: 5].

POST /v1/faults sets {"failEverything": bool, "silent": bool, "leaving": bool, "truncate": bool, "serviceMs": n}.
GET /v1/runs tells how often each request body was run.
)";

constexpr Duration leaseCheckInterval { 50 };

struct StandInOptions {
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t slots = 0;
    std::uint32_t accelerators = 0;
    Duration serviceTime { 0 };
};

/// The backend server of one process.
class BackendServerStandIn {
public:
    explicit BackendServerStandIn(const StandInOptions& options)
        : options(options)
        , state(options.accelerators, newIncarnation())
        , server(this->loop, { .address = options.address, .port = options.port },
              [this](HttpExchangeId exchange, const HttpRequest& request) { this->onRequest(exchange, request); })
    {
        this->loop.every(leaseCheckInterval, [this]() { this->state.advance(std::chrono::steady_clock::now()); });
        this->loop.onTerminationSignal([this]() { this->loop.stop(); });
    }

    void run() { this->loop.run(); }

private:
    static Model::Incarnation newIncarnation()
    {
        return static_cast<Model::Incarnation>(std::chrono::system_clock::now().time_since_epoch().count());
    }

    void onRequest(HttpExchangeId exchange, const HttpRequest& request)
    {
        constexpr std::string_view servicePath = "/v1/services/";
        try {
            if (request.path == "/v1/faults")
                this->setFaults(exchange, Json::parse(request.body));
            else if (request.path == "/v1/runs")
                this->respond(exchange, 200, this->runs);
            else if (this->silent)
                return;
            else if (request.path == "/v1/leases")
                this->onLeases(exchange, Json::parse(request.body));
            else if (request.path.starts_with(servicePath))
                this->onService(exchange, request, request.path.substr(servicePath.size()));
            else
                this->respond(exchange, Utils::HttpStatus::notFound, { { "error", "no such resource" } });
        } catch (const Json::exception& error) {
            this->respond(exchange, Utils::HttpStatus::badRequest, { { "error", error.what() } });
        }
    }

    void setFaults(HttpExchangeId exchange, const Json& faults)
    {
        this->failEverything = faults.value("failEverything", this->failEverything);
        this->silent = faults.value("silent", this->silent);
        this->truncate = faults.value("truncate", this->truncate);
        this->options.serviceTime = Duration(faults.value("serviceMs", this->options.serviceTime.count()));
        this->state.setLeaving(faults.value("leaving", this->state.isLeaving()));
        this->state.setFailsEverything(this->failEverything);
        this->respond(exchange, 200, Json::object());
    }

    void onLeases(HttpExchangeId exchange, const Json& body)
    {
        Model::LeaseBatchAnswer answer
            = this->state.apply(Model::leaseBatchFromJson(body), std::chrono::steady_clock::now());
        answer.report.busySlots = this->busySlots;
        this->respond(exchange, 200, Model::leaseBatchAnswerToJson(answer));
    }

    void onService(HttpExchangeId exchange, const HttpRequest& request, const std::string& service)
    {
        if (this->state.isLeaving()) {
            this->server.respond(exchange,
                { .status = Utils::HttpStatus::unavailable,
                    .headers = { { Adapters::HeaderName::notRun, "leaving" } } });
            return;
        }
        if (this->busySlots >= this->options.slots) {
            this->server.respond(exchange,
                { .status = Utils::HttpStatus::unavailable, .headers = { { Adapters::HeaderName::notRun, "busy" } } });
            return;
        }
        ++this->runs[request.body];
        if (this->failEverything) {
            this->respond(exchange, Utils::HttpStatus::internalServerError, { { "error", "fails everything" } });
            return;
        }
        ++this->busySlots;
        this->loop.after(this->options.serviceTime, [this, exchange, request, service]() {
            --this->busySlots;
            this->finishService(exchange, request, service);
        });
    }

    void finishService(HttpExchangeId exchange, const HttpRequest& request, const std::string& service)
    {
        if (this->silent)
            return;
        if (this->truncate) {
            this->server.abort(exchange);
            return;
        }
        const Json answer { { "service", service }, { "account", request.header(Adapters::HeaderName::account) },
            { "answerTo", request.body }, { "server", this->options.port } };
        Adapters::HttpHeaders headers { { Adapters::HeaderName::busySlots, std::to_string(this->busySlots) } };
        if (this->state.isLeaving())
            headers[Adapters::HeaderName::leaving] = "true";
        this->server.respond(exchange, { .headers = std::move(headers), .body = Utils::toText(answer) });
    }

    void respond(HttpExchangeId exchange, int status, const Json& document)
    {
        this->server.respond(exchange, { .status = status, .body = Utils::toText(document) });
    }

    StandInOptions options;
    bool failEverything = false;
    bool silent = false;
    bool truncate = false;
    std::uint32_t busySlots = 0;
    std::map<std::string, int> runs;
    Tests::ServerState state;
    Adapters::EventLoop loop;
    Adapters::HttpServer server;
};

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const auto arguments = docopt::docopt(usage, words, true);
    BackendServerStandIn standIn({ .address = arguments.at("--address").asString(),
        .port = static_cast<std::uint16_t>(arguments.at("--port").asLong()),
        .slots = static_cast<std::uint32_t>(arguments.at("--slots").asLong()),
        .accelerators = static_cast<std::uint32_t>(arguments.at("--accelerators").asLong()),
        .serviceTime = Duration(arguments.at("--service-ms").asLong()) });
    standIn.run();
    return 0;
}
