/// Questions between daemons over TCP: cereal messages, framed by HTTP.
#pragma once

#include "adapters/httpclient.h"
#include "adapters/httpserver.h"
#include "controllers/effects.h"

#include <functional>

namespace WisteriaHill::Adapters {

/// Thread safety: none.
class PeerLink {
public:
    using RequestHandler = std::function<Model::PeerReply(const Model::PeerRequest&)>;
    using RejectedHandler = std::function<void(std::size_t bytes)>;

    /// Listens on `localAddress`; throws std::runtime_error when that fails. Loop and client must outlive the link.
    PeerLink(EventLoop& loop, HttpClient& client, const Model::PeerAddress& localAddress, RequestHandler requestHandler,
        RejectedHandler rejectedHandler);

    void call(const Model::PeerAddress& to, const Model::PeerRequest& request, Duration timeout,
        std::function<void(Controllers::PeerResult)> done);

private:
    void onRequest(HttpExchangeId exchange, const HttpRequest& request);

    HttpClient& client;
    RequestHandler requestHandler;
    RejectedHandler rejectedHandler;
    HttpServer server;
};

} // namespace WisteriaHill::Adapters
