/// The product's own HTTP interface on a FleetDaemon: jobs by shape, explanations, the state dump and metrics
/// (docs/API.md).
#pragma once

#include "adapters/httpserver.h"
#include "scheduling/intake.h"
#include "scheduling/scheduler.h"
#include "utils/checkedjson.h"

#include <functional>
#include <string>

namespace WisteriaHill::App {

/// Thread safety: none; all on the loop's thread.
class FleetApi {
public:
    /// Functions of the daemon that this interface calls.
    struct Handlers {
        Scheduling::CallerHandlers jobs;
        std::function<const Scheduling::FleetConfiguration*()> configuration; ///< null before the first configuration
        std::function<std::string()> metrics;
    };

    /// Starts to listen; throws std::runtime_error when that fails. `loop` and `scheduler` must outlive this object.
    FleetApi(Adapters::EventLoop& loop, const std::string& address, std::uint16_t port,
        const Scheduling::Scheduler& scheduler, Handlers handlers, std::shared_ptr<Adapters::Budget::Ledger> ledger);

private:
    void handle(Adapters::HttpExchangeId exchange, const Adapters::HttpRequest& request);
    void submitJob(Adapters::HttpExchangeId exchange, const Adapters::HttpRequest& request);
    /// Reads the state of a job, or cancels it.
    void routeJob(Adapters::HttpExchangeId exchange, const Adapters::HttpRequest& request, const std::string& id);
    /// Shows the configuration in force without the keys.
    void showConfiguration(Adapters::HttpExchangeId exchange);
    void explainJob(Adapters::HttpExchangeId exchange, const std::string& id);
    /// Returns the client account whose key the request carries. If there is none, responds and returns null.
    const Scheduling::ClientAccount* authenticate(
        Adapters::HttpExchangeId exchange, const Adapters::HttpRequest& request);
    void respond(
        Adapters::HttpExchangeId exchange, int status, const Utils::Json& body, Adapters::HttpHeaders headers = {});
    void sendAnswer(Adapters::HttpExchangeId exchange, const std::string& id, const Scheduling::CallerAnswer& answer);

    const Scheduling::Scheduler& scheduler;
    Handlers handlers;
    Adapters::HttpServer server;
};

} // namespace WisteriaHill::App
