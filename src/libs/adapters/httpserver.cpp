#include "adapters/httpserver.h"

#include "adapters/httprequestreader.h"
#include "utils/httpstatus.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

namespace WisteriaHill::Adapters {

namespace {

constexpr std::size_t headerBufferBytes = 4096;
constexpr std::size_t bodyChunkBytes = 16'384;
constexpr int headerTimeoutSeconds = 20;
constexpr int keepAliveSeconds = 60;
constexpr Duration sweepInterval { 1000 };
constexpr Duration retryAfterRefusal { 1000 };
constexpr std::size_t firstPart = 65'536; ///< of a body; the rest is held once more has come
constexpr std::size_t largestPaidAnswer = Budget::bytesOfRequest / 4;
constexpr int receivingOff = 0;
constexpr int receivingOn = 1;

} // namespace

struct HttpServer::Exchange {
    HttpExchangeId id = 0;
    lws* wsi = nullptr;
    Budget::ConnectionId connection = 0;
    HttpRequest request;
    HttpResponse response;
    std::size_t announced = 0; ///< bytes of the body
    std::size_t heldBody = 0; ///< bytes that the ledger counts for the body
    bool changesNothing = false; ///< of the request
    bool handedOver = false; ///< the handler got the request, or the server answered it itself
    bool responded = false;
    bool receivingOff = false; ///< nothing is received until the response is written
    bool closeAfter = false; ///< close the connection after the response, because the request's body is not read
};

struct HttpServer::Session {
    Exchange* exchange;
    bool closing; ///< the last response was written; the connection ends when it is sent
};

HttpServer::HttpServer(
    EventLoop& loop, HttpServerOptions givenOptions, RequestHandler handler, DisconnectHandler disconnectHandler)
    : loop(loop)
    , options(std::move(givenOptions))
    , handler(std::move(handler))
    , disconnectHandler(std::move(disconnectHandler))
    , ledger(this->options.ledger ? this->options.ledger : std::make_shared<Budget::Ledger>(Budget::ShareLimits()))
{
    this->protocols[0].name = "http";
    this->protocols[0].callback = callback;
    this->protocols[0].per_session_data_size = sizeof(Session);
    this->protocols[0].user = this;

    lws_context_creation_info info {};
    info.port = this->options.port;
    info.iface = this->options.address.c_str();
    info.protocols = this->protocols;
    info.vhost_name = "http-server";
    info.user = this;
    info.timeout_secs = headerTimeoutSeconds;
    info.keepalive_timeout = keepAliveSeconds;
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6 | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    this->vhost = lws_create_vhost(loop.context(), &info);
    if (!this->vhost || lws_get_vhost_listen_port(this->vhost) <= 0)
        throw std::runtime_error(
            "cannot listen on " + this->options.address + ":" + std::to_string(this->options.port));
    if (this->options.ledger)
        this->sweep();
}

HttpServer::~HttpServer()
{
    this->handler = {};
    this->disconnectHandler = {};
    lws_vhost_destroy(this->vhost);
}

int HttpServer::callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length)
{
    if (reason == LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED || reason == LWS_CALLBACK_WSI_DESTROY) {
        lws_vhost* host = lws_get_vhost(wsi);
        auto* owner = host ? static_cast<HttpServer*>(lws_vhost_user(host)) : nullptr;
        if (owner && reason == LWS_CALLBACK_WSI_DESTROY)
            owner->onDestroyed(wsi);
        else if (owner)
            owner->onConnected(wsi);
        return 0;
    }
    const lws_protocols* protocol = lws_get_protocol(wsi);
    auto* server = protocol ? static_cast<HttpServer*>(protocol->user) : nullptr;
    auto* session = static_cast<Session*>(user);
    if (!server)
        return lws_callback_http_dummy(wsi, reason, user, in, length);

    switch (reason) {
    case LWS_CALLBACK_HTTP:
        return server->onRequest(wsi, *session);
    case LWS_CALLBACK_HTTP_BODY:
        return server->onBody(wsi, *session, static_cast<const char*>(in), length);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return server->onBodyComplete(wsi, *session);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return session->closing ? -1 : 0;
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
        if (session)
            server->onClosed(*session);
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
}

void HttpServer::onConnected(lws* wsi)
{
    Budget::Verdict verdict;
    const std::string address = peerAddress(wsi);
    const bool own = this->options.isOwn && this->options.isOwn(address);
    const Budget::ConnectionId id = this->ledger->connect(address, Utils::steadyNow(), verdict, own);
    if (this->ledger->limits().socketBuffer > 0 && !own)
        limitSocketBuffers(wsi, this->ledger->limits().socketBuffer);
    this->connections[wsi] = { .id = id };
    this->socketOf[id] = wsi;
    if (!verdict.admitted())
        verdict.evicted.push_back(id);
    this->closeUncounted(verdict.evicted);
}

void HttpServer::onDestroyed(lws* wsi)
{
    const auto found = this->connections.find(wsi);
    if (found == this->connections.end())
        return;
    this->ledger->disconnect(found->second.id);
    this->socketOf.erase(found->second.id);
    this->connections.erase(found);
}

void HttpServer::closeUncounted(const std::vector<Budget::ConnectionId>& ids)
{
    for (const Budget::ConnectionId id : ids) {
        const auto socket = this->socketOf.find(id);
        if (socket == this->socketOf.end())
            continue;
        if (Exchange* open = this->connections.at(socket->second).exchange) {
            std::string().swap(open->request.body);
            open->handedOver = true; // the rest of its body is not read
            open->responded = true;
        }
        // Not here, where libwebsockets may be in a callback of this connection.
        this->loop.post([this, id, alive = std::weak_ptr(this->alive)]() {
            if (alive.expired())
                return;
            const auto found = this->socketOf.find(id);
            if (found != this->socketOf.end())
                lws_set_timeout(found->second, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        });
    }
}

void HttpServer::refreshAnswers()
{
    for (const Budget::ConnectionId id : this->ledger->answering()) {
        const auto socket = this->socketOf.find(id);
        if (socket != this->socketOf.end() && lws_partial_buffered(socket->second) == 0)
            this->ledger->finish(id, Utils::steadyNow());
    }
}

void HttpServer::sweep()
{
    this->refreshAnswers();
    this->closeUncounted(this->ledger->takeOverdue(Utils::steadyNow()));
    this->loop.after(sweepInterval, [this, alive = std::weak_ptr(this->alive)]() {
        if (!alive.expired())
            this->sweep();
    });
}

void HttpServer::refuse(Exchange& exchange, Budget::Refusal refusal)
{
    std::string().swap(exchange.request.body);
    exchange.closeAfter = true;
    exchange.handedOver = true;
    this->respond(exchange.id,
        { .status = Utils::HttpStatus::unavailable,
            .headers = { { HeaderName::retryAfter, retryAfterSeconds(retryAfterRefusal) } },
            .body = std::string(R"({"error":"this entry host has no room for the request: )")
                + Budget::refusalName(refusal) + R"("})" });
}

bool HttpServer::hold(HttpExchangeId id, std::size_t bytes)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end() || !this->ledger->isCounted(found->second->connection))
        return false;
    if (this->ledger->isFullForOthers(bytes))
        this->refreshAnswers();
    const Budget::Verdict verdict = this->ledger->hold(found->second->connection, bytes);
    this->closeUncounted(verdict.evicted);
    return verdict.admitted();
}

bool HttpServer::growBody(Exchange& exchange, std::size_t size)
{
    std::string& body = exchange.request.body;
    if (size <= exchange.heldBody)
        return true;
    // Few sizes, so that the memory of one body serves the next.
    const std::size_t wanted
        = std::max(size, size > firstPart ? exchange.announced : std::min(exchange.announced, firstPart));
    if (this->ledger->isFullForOthers(wanted))
        this->refreshAnswers();
    const Budget::Verdict verdict = this->ledger->hold(exchange.connection, wanted);
    this->closeUncounted(verdict.evicted);
    if (!verdict.admitted()) {
        this->refuse(exchange, verdict.refusal);
        return false;
    }
    body.reserve(wanted);
    this->ledger->release(exchange.connection, std::exchange(exchange.heldBody, wanted));
    return true;
}

int HttpServer::onRequest(lws* wsi, Session& session)
{
    const auto connection = this->connections.find(wsi);
    if (connection == this->connections.end() || !this->ledger->isCounted(connection->second.id))
        return -1;
    auto exchange = std::make_unique<Exchange>();
    exchange->id = ++this->lastExchange;
    exchange->wsi = wsi;
    exchange->connection = connection->second.id;
    exchange->request = readRequest(wsi, this->options.headers);
    session.exchange = exchange.get();
    connection->second.exchange = exchange.get();
    Exchange& open = *exchange;
    open.changesNothing = open.request.method == "GET" || open.request.method == "HEAD";
    this->exchanges.emplace(open.id, std::move(exchange));
    const Budget::Verdict verdict = this->ledger->receive(open.connection, Utils::steadyNow());
    this->closeUncounted(verdict.evicted);
    if (!verdict.admitted()) {
        this->refuse(open, verdict.refusal);
        return 0;
    }

    const bool hasBody = open.request.method == "POST" || open.request.method == "PUT";
    const std::string lengthText = readHeader(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    const std::size_t bodyLength = std::strtoull(lengthText.c_str(), nullptr, 10);
    open.announced = bodyLength;
    if (hasBody && lengthText.empty()) {
        open.closeAfter = true;
        open.handedOver = true;
        this->respond(open.id,
            { .status = Utils::HttpStatus::lengthRequired,
                .body = R"({"error":"the Content-Length header is missing"})" });
    } else if (bodyLength > this->options.maximumBody) {
        open.closeAfter = true;
        open.handedOver = true;
        this->respond(open.id,
            { .status = Utils::HttpStatus::payloadTooLarge,
                .body = R"({"error":"the body has )" + std::to_string(bodyLength) + " bytes; the limit is "
                    + std::to_string(this->options.maximumBody) + R"( bytes"})" });
    } else if (!hasBody || bodyLength == 0) {
        return this->onBodyComplete(wsi, session);
    }
    return 0;
}

int HttpServer::onBody(lws*, Session& session, const char* data, std::size_t length)
{
    if (!session.exchange || session.exchange->handedOver)
        return 0;
    Exchange& exchange = *session.exchange;
    const std::size_t size = exchange.request.body.size() + length;
    if (size > this->options.maximumBody)
        return -1;
    if (this->growBody(exchange, size))
        exchange.request.body.append(data, length);
    return 0;
}

int HttpServer::onBodyComplete(lws* wsi, Session& session)
{
    if (session.closing)
        return -1;
    if (!session.exchange || !this->handler)
        return 0;
    // While a request is handled, libwebsockets closes the connection at the end of the input, and calls this over and
    // over when it has received more than the body. Only servers that report disconnections go on receiving until then.
    if (session.exchange->receivingOff)
        return -1;
    if (!session.exchange->handedOver) {
        const Budget::Verdict verdict = this->ledger->work(session.exchange->connection,
            this->options.accountOf ? this->options.accountOf(session.exchange->request) : std::string());
        if (!verdict.admitted())
            this->refuse(*session.exchange, verdict.refusal);
    }
    if (session.exchange->handedOver || !this->disconnectHandler) {
        session.exchange->receivingOff = true;
        lws_rx_flow_control(wsi, receivingOff);
    }
    if (session.exchange->handedOver)
        return 0;
    session.exchange->handedOver = true;
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    const HttpExchangeId id = session.exchange->id;
    bool handled = false;
    this->loop.guarded([&]() {
        this->handler(id, std::move(session.exchange->request));
        handled = true;
    });
    if (!handled)
        this->respond(id, { .status = Utils::HttpStatus::internalServerError });
    return 0;
}

void HttpServer::respond(HttpExchangeId id, HttpResponse response)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end() || found->second->responded)
        return;
    Exchange& exchange = *found->second;
    // A small answer is paid for with its request. A large one that there is no room for is not kept.
    if (response.body.size() > largestPaidAnswer && !this->hold(id, response.body.size())) {
        if (!exchange.changesNothing) {
            this->abort(id);
            return;
        }
        response = { .status = Utils::HttpStatus::unavailable,
            .headers = { { HeaderName::retryAfter, retryAfterSeconds(retryAfterRefusal) } },
            .body = R"({"error":"this entry host has no room for the answer"})" };
    }
    exchange.response = std::move(response);
    exchange.responded = true;
    // Not in the writeable callback, which does not come while nothing is received, and not here, where libwebsockets
    // may be in a callback of this connection.
    this->loop.post([this, id, alive = std::weak_ptr(this->alive)]() {
        if (!alive.expired())
            this->writeResponse(id);
    });
}

void HttpServer::respondToAll(const HttpResponse& response)
{
    for (const auto& [id, exchange] : this->exchanges) {
        if (exchange->handedOver)
            this->respond(id, response);
    }
}

void HttpServer::abort(HttpExchangeId id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end())
        return;
    found->second->responded = true;
    lws_set_timeout(found->second->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

int HttpServer::writeHeaders(lws* wsi, Exchange& exchange)
{
    std::array<unsigned char, LWS_PRE + headerBufferBytes> buffer {};
    unsigned char* start = buffer.data() + LWS_PRE;
    unsigned char* position = start;
    unsigned char* end = buffer.data() + buffer.size() - 1;
    const HttpResponse& response = exchange.response;

    if (lws_add_http_common_headers(wsi, static_cast<unsigned int>(response.status), response.contentType.c_str(),
            response.body.size(), &position, end))
        return -1;
    constexpr std::string_view close = "close";
    if (this->closing
        && lws_add_http_header_by_token(wsi, WSI_TOKEN_CONNECTION, reinterpret_cast<const unsigned char*>(close.data()),
            static_cast<int>(close.size()), &position, end))
        return -1;
    for (const auto& [name, value] : response.headers) {
        const std::string withColon = name + ":";
        if (lws_add_http_header_by_name(wsi, reinterpret_cast<const unsigned char*>(withColon.c_str()),
                reinterpret_cast<const unsigned char*>(value.c_str()), static_cast<int>(value.size()), &position, end))
            return -1;
    }
    return lws_finalize_write_http_header(wsi, start, &position, end);
}

bool HttpServer::writeBody(lws* wsi, const std::string& body)
{
    std::vector<unsigned char> buffer(LWS_PRE + std::min(bodyChunkBytes, body.size()));
    for (std::size_t written = 0; written < body.size();) {
        const std::size_t chunk = std::min(bodyChunkBytes, body.size() - written);
        const bool last = written + chunk == body.size();
        std::copy_n(body.data() + written, chunk, buffer.data() + LWS_PRE);
        if (lws_write(wsi, buffer.data() + LWS_PRE, chunk, last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
            return false;
        written += chunk;
    }
    return true;
}

void HttpServer::writeResponse(HttpExchangeId id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end())
        return;
    const std::unique_ptr<Exchange> exchange = std::move(found->second);
    this->exchanges.erase(found);
    lws* wsi = exchange->wsi;
    const auto session = [wsi]() { return static_cast<Session*>(lws_wsi_user(wsi)); };
    session()->exchange = nullptr;
    this->connections.at(wsi).exchange = nullptr;
    const bool written = !this->writeHeaders(wsi, *exchange) && this->writeBody(wsi, exchange->response.body);
    // The completion of a transaction allocates the session anew.
    if (lws_partial_buffered(wsi) != 0)
        this->ledger->answer(exchange->connection, exchange->response.body.size(), Utils::steadyNow());
    else
        this->ledger->finish(exchange->connection, Utils::steadyNow());
    const bool keep = written && !exchange->closeAfter && !this->closing && lws_http_transaction_completed(wsi) == 0;
    lws_rx_flow_control(wsi, receivingOn);
    if (keep)
        return;
    session()->closing = true;
    lws_callback_on_writable(wsi);
}

void HttpServer::onClosed(Session& session)
{
    if (!session.exchange)
        return;
    const HttpExchangeId id = session.exchange->id;
    const bool unanswered = session.exchange->handedOver && !session.exchange->responded;
    const auto connection = this->connections.find(session.exchange->wsi);
    if (connection != this->connections.end())
        connection->second.exchange = nullptr;
    session.exchange = nullptr;
    this->exchanges.erase(id);
    if (unanswered && this->disconnectHandler)
        this->loop.guarded([&]() { this->disconnectHandler(id); });
}

} // namespace WisteriaHill::Adapters
