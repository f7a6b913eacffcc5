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
    using Answerer = std::function<Model::PeerReply(const Model::PeerQuestion&)>;
    using Rejected = std::function<void(std::size_t bytes)>;

    /// Listens on `own`; throws std::runtime_error when that fails. Loop and client must outlive the link.
    PeerLink(EventLoop& loop, HttpClient& client, const Model::PeerAddress& own, Answerer answerer, Rejected rejected);

    void ask(const Model::PeerAddress& to, const Model::PeerQuestion& question, Duration timeout,
        std::function<void(Controllers::PeerResult)> done);

private:
    void onRequest(HttpExchangeId exchange, const HttpRequest& request);

    HttpClient& client;
    Answerer answerer;
    Rejected rejected;
    HttpServer server;
};

} // namespace WisteriaHill::Adapters
