/// The HTTP interface for callers, operators and the load balancer (docs/API.md).
#pragma once

#include "adapters/httpserver.h"
#include "adapters/requestmetrics.h"
#include "controllers/daemoncore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace WisteriaHill::Adapters {

/// Translates HTTP requests into inputs of the core, and the core's answers into HTTP responses. Thread safety: none.
class HttpApi {
public:
    /// Calls the given function with the core and the current time, then performs the effects of the core.
    using CoreInput = std::function<void(const std::function<void(Controllers::DaemonCore&, Utils::SteadyTime)>&)>;

    /// Throws std::runtime_error when the server cannot listen on its address. Loop and core must outlive this object.
    HttpApi(EventLoop& loop, HttpServerOptions options, const Controllers::DaemonCore& core, CoreInput input);

    void answer(const Controllers::AnswerCaller& answer);
    void answer(const Controllers::AnswerDocument& answer);

    void closeConnectionsAfterResponses() { this->server.closeConnectionsAfterResponses(); }
    std::size_t openExchanges() const { return this->server.openExchanges(); }

private:
    using Segments = std::vector<std::string>;

    void onRequest(HttpExchangeId exchange, HttpRequest request);
    void routeGet(HttpExchangeId exchange, const HttpRequest& request, const Segments& path);
    void routePost(HttpExchangeId exchange, HttpRequest request, const Segments& path);
    void routePut(HttpExchangeId exchange, const HttpRequest& request, const Segments& path);

    void submitRequest(HttpExchangeId exchange, HttpRequest request, const std::string& service);
    void submitJob(HttpExchangeId exchange, const HttpRequest& request);
    void routeJob(HttpExchangeId exchange, const HttpRequest& request, const Segments& path);
    void editSection(HttpExchangeId exchange, const HttpRequest& request, const std::string& section);
    void drain(HttpExchangeId exchange, const HttpRequest& request, const std::string& server, bool drained);
    void showConfiguration(HttpExchangeId exchange, const HttpRequest& request);
    void showSection(HttpExchangeId exchange, const HttpRequest& request, const std::string& section);
    void showDump(HttpExchangeId exchange, const HttpRequest& request);

    std::optional<Model::ClientAccountId> authenticateAccount(HttpExchangeId exchange, const HttpRequest& request);
    std::optional<Model::TeamId> authenticateTeam(HttpExchangeId exchange, const HttpRequest& request);
    void respondJson(HttpExchangeId exchange, int status, const Utils::Json& document, HttpHeaders headers = {});
    void respondError(HttpExchangeId exchange, int status, const std::string& reason);

    const Controllers::DaemonCore& core;
    CoreInput input;
    RequestMetrics metrics;
    /// Arrival times of open service requests.
    std::map<HttpExchangeId, std::chrono::steady_clock::time_point> arrivals;
    HttpServer server;
};

} // namespace WisteriaHill::Adapters
