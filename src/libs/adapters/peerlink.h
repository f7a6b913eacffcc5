/// Requests between daemons over TCP: cereal messages in the bodies of HTTP requests and responses.
#pragma once

#include "adapters/httpclient.h"
#include "adapters/httpserver.h"
#include "controllers/effects.h"

#include <functional>

namespace WisteriaHill::Adapters {

/// Sends requests to peers and answers the requests of peers. Thread safety: none.
class PeerLink {
public:
    using RequestHandler = std::function<Model::PeerReply(const Model::PeerRequest&)>;
    /// Called with the body size of a request that is not a valid peer request.
    using RejectedHandler = std::function<void(std::size_t bytes)>;

    /// Listens on `localAddress`; throws std::runtime_error when that fails. Loop and client must outlive the link.
    PeerLink(EventLoop& loop, HttpClient& client, const Model::PeerAddress& localAddress, RequestHandler requestHandler,
        RejectedHandler rejectedHandler);

    /// `done` is called exactly once, from the event loop, at the latest when the timeout ends.
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
