/// An HTTP/1.1 server on the event loop.
#pragma once

#include "adapters/budget/ledger.h"
#include "adapters/eventloop.h"
#include "adapters/httpmessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace WisteriaHill::Adapters {

/// Identifies a request and its response; unique within one server.
using HttpExchangeId = std::uint64_t;

struct HttpServerOptions {
    std::string address; ///< IPv4 address in dotted-decimal notation
    std::uint16_t port = 0;
    std::size_t maximumBody = 1'048'576; ///< largest accepted request body, in bytes
    std::vector<std::string> headers; ///< names of additional request headers to read, in lower case
    std::shared_ptr<Budget::Ledger> ledger {}; ///< limits what clients hold; null for no limits
    /// The client account of a request, for the ledger; without it all requests have the same one.
    std::function<std::string(const HttpRequest&)> accountOf {};
    /// True for the addresses of the system's own processes, for the ledger; without it there are none.
    std::function<bool(const std::string& address)> isOwn {};
};

/// Thread safety: none; all calls and callbacks on the loop's thread.
class HttpServer {
public:
    using RequestHandler = std::function<void(HttpExchangeId, HttpRequest)>;
    using DisconnectHandler = std::function<void(HttpExchangeId)>;

    /// `handler` is called with each complete request, which gets status 500 when the handler throws;
    /// `disconnectHandler` is called when the connection ends before respond() was called for that request. Without it
    /// a client may close its sending half and still gets the response. Throws std::runtime_error when the server
    /// cannot listen on the address. The loop must outlive the server.
    HttpServer(
        EventLoop& loop, HttpServerOptions options, RequestHandler handler, DisconnectHandler disconnectHandler = {});
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Sends the response. Does nothing when the connection has ended or the exchange already has a response.
    void respond(HttpExchangeId exchange, HttpResponse response);

    /// Sends `response` to every complete request that has none yet.
    void respondToAll(const HttpResponse& response);

    /// Closes the connection without a response.
    void abort(HttpExchangeId exchange);

    /// Counts `bytes` that are held for a request in work until it is answered. Returns false when the ledger does not
    /// admit them; the request is then to be refused.
    bool hold(HttpExchangeId exchange, std::size_t bytes);

    /// Closes each connection after its next response. Called when the process is about to stop.
    void closeConnectionsAfterResponses() { this->closing = true; }

    /// The number of exchanges whose response is outstanding or not completely written.
    std::size_t openExchanges() const { return this->exchanges.size(); }

private:
    struct Exchange;
    struct Session;

    struct Connection {
        Budget::ConnectionId id = 0;
        Exchange* exchange = nullptr; ///< null unless a request is open
    };

    static int callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length);
    int onRequest(lws* wsi, Session& session);
    int onBody(lws* wsi, Session& session, const char* data, std::size_t length);
    int onBodyComplete(lws* wsi, Session& session);
    void writeResponse(HttpExchangeId id);
    static bool writeBody(lws* wsi, const std::string& body);
    int writeHeaders(lws* wsi, Exchange& exchange);
    void onClosed(Session& session);
    void onConnected(lws* wsi);
    void onDestroyed(lws* wsi);
    /// Holds the bytes of a body that grows; returns false when they were refused, with the answer under way.
    bool growBody(Exchange& exchange, std::size_t size);
    /// Answers that the request was not accepted, and reads no more of it.
    void refuse(Exchange& exchange, Budget::Refusal refusal);
    /// Closes connections that the ledger no longer counts.
    void closeUncounted(const std::vector<Budget::ConnectionId>& connections);
    /// Tells the ledger which answers have been taken.
    void refreshAnswers();
    void sweep();

    EventLoop& loop;
    HttpServerOptions options;
    RequestHandler handler;
    DisconnectHandler disconnectHandler;
    std::shared_ptr<Budget::Ledger> ledger;
    std::unordered_map<lws*, Connection> connections;
    std::unordered_map<Budget::ConnectionId, lws*> socketOf;
    lws_protocols protocols[2] {};
    lws_vhost* vhost = nullptr;
    std::map<HttpExchangeId, std::unique_ptr<Exchange>> exchanges;
    HttpExchangeId lastExchange = 0;
    bool closing = false;
    std::shared_ptr<const bool> alive = std::make_shared<const bool>(true); ///< for actions posted to the loop
};

} // namespace WisteriaHill::Adapters
