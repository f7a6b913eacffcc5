/// Stands in for the platform in tests and demonstrations: a table service, an object store and a lagging host list
/// over HTTP.
#include "adapters/eventloop.h"
#include "adapters/httpserver.h"
#include "adapters/tablecodec.h"
#include "support/tablestate.h"
#include "utils/httpstatus.h"

#include <docopt/docopt.h>
#include <iostream>

namespace {

using namespace WisteriaHill;
using Utils::Duration;
using Utils::Json;

constexpr const char* usage = R"(platformstandin - stands in for the platform

Usage:
  platformstandin --port PORT [--address IP] [--lag-ms MS]

Options:
  --port PORT   Port to listen on.
  --address IP  Address to listen on [default: 127.0.0.1].
  --lag-ms MS   How late the host list follows changes [default: 500].

POST /v1/faults sets {"down": bool, "slowMs": n, "loseAnswers": n}; the last is how many answers of transactions are
lost after the write took effect. POST /v1/hosts adds or changes a listed host.
)";

/// The platform of one process.
class PlatformStandIn {
public:
    PlatformStandIn(const std::string& address, std::uint16_t port, Duration lag)
        : lag(lag)
        , server(this->loop, { .address = address, .port = port },
              [this](Adapters::HttpExchangeId exchange, const Adapters::HttpRequest& request) {
                  this->onRequest(exchange, request);
              })
    {
        this->loop.onTerminationSignal([this]() { this->loop.stop(); });
    }

    void run() { this->loop.run(); }

private:
    void onRequest(Adapters::HttpExchangeId exchange, const Adapters::HttpRequest& request)
    {
        try {
            this->route(exchange, request);
        } catch (const Json::exception& error) {
            this->respond(exchange, Utils::HttpStatus::badRequest, { { "error", error.what() } });
        }
    }

    void route(Adapters::HttpExchangeId exchange, const Adapters::HttpRequest& request)
    {
        if (request.path == "/v1/faults" && request.method == "POST") {
            const Json faults = Json::parse(request.body);
            this->down = faults.value("down", this->down);
            this->tableDelay = Duration(faults.value("slowMs", this->tableDelay.count()));
            this->answersToLose = faults.value("loseAnswers", this->answersToLose);
            this->respond(exchange, 200, { { "down", this->down } });
        } else if (this->down) {
            this->server.abort(exchange);
        } else if (request.path == "/v1/table") {
            this->loop.after(this->tableDelay, [this, exchange, request]() { this->onTable(exchange, request.body); });
        } else if (request.path == "/v1/hosts" && request.method == "POST") {
            this->loop.after(this->lag, [this, host = Json::parse(request.body)]() { this->addListedHost(host); });
            this->respond(exchange, 200, Json::object());
        } else if (request.path == "/v1/hosts") {
            this->sendHostList(exchange, request);
        } else if (request.path.starts_with("/v1/objects/")) {
            this->onObject(exchange, request);
        } else {
            this->respond(exchange, Utils::HttpStatus::notFound, { { "error", "no such resource" } });
        }
    }

    void onTable(Adapters::HttpExchangeId exchange, const std::string& body)
    {
        const Json json = Json::parse(body, nullptr, false);
        if (json.is_discarded()) {
            this->respond(exchange, Utils::HttpStatus::badRequest, { { "error", "not JSON" } });
            return;
        }
        const Model::TableAnswer answer = this->table.apply(Adapters::tableOperationFromJson(json));
        if (std::holds_alternative<Model::TableCommitted>(answer) && this->answersToLose > 0) {
            --this->answersToLose;
            this->server.abort(exchange);
            return;
        }
        const bool conflict = std::holds_alternative<Model::TableConflict>(answer);
        this->respond(exchange, conflict ? Utils::HttpStatus::conflict : 200, Adapters::tableAnswerToJson(answer));
    }

    void addListedHost(const Json& host)
    {
        ++this->hostsVersion;
        this->hosts[host.at("kind").get<std::string>() + "/" + host.at("id").get<std::string>()] = host;
    }

    void sendHostList(Adapters::HttpExchangeId exchange, const Adapters::HttpRequest& request)
    {
        const auto since = request.query.find("since");
        if (since != request.query.end() && since->second == std::to_string(this->hostsVersion)) {
            this->respond(exchange, 200, { { "version", this->hostsVersion }, { "unchanged", true } });
            return;
        }
        Json list = Json::array();
        for (const auto& [key, host] : this->hosts)
            list.push_back(host);
        this->respond(exchange, 200, { { "version", this->hostsVersion }, { "hosts", list } });
    }

    void onObject(Adapters::HttpExchangeId exchange, const Adapters::HttpRequest& request)
    {
        if (request.method == "PUT") {
            this->objects[request.path] = request.body;
            this->respond(exchange, 200, Json::object());
            return;
        }
        const auto found = this->objects.find(request.path);
        if (found == this->objects.end()) {
            this->respond(exchange, Utils::HttpStatus::notFound, { { "error", "no such object" } });
            return;
        }
        this->server.respond(exchange, { .contentType = "application/octet-stream", .body = found->second });
    }

    void respond(Adapters::HttpExchangeId exchange, int status, const Json& document)
    {
        if (this->down)
            this->server.abort(exchange);
        else
            this->server.respond(exchange, { .status = status, .body = Utils::toText(document) });
    }

    Duration lag;
    bool down = false;
    Duration tableDelay { 0 };
    int answersToLose = 0;
    Tests::TableState table;
    std::map<std::string, Json> hosts;
    std::uint64_t hostsVersion = 1;
    std::map<std::string, std::string> objects;
    Adapters::EventLoop loop;
    Adapters::HttpServer server;
};

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const auto arguments = docopt::docopt(usage, words, true);
    const auto port = static_cast<std::uint16_t>(arguments.at("--port").asLong());
    PlatformStandIn standIn(arguments.at("--address").asString(), port, Duration(arguments.at("--lag-ms").asLong()));
    standIn.run();
    return 0;
}
