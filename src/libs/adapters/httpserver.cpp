#include "adapters/httpserver.h"

#include "utils/httpstatus.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string_view>
#include <vector>

namespace WisteriaHill::Adapters {

namespace {

constexpr std::size_t headerBufferBytes = 4096;
constexpr std::size_t bodyChunkBytes = 16'384;
constexpr int maximumHeaderValueBytes = 2048;
constexpr int headerTimeoutSeconds = 20;
constexpr int keepAliveSeconds = 60;
constexpr int receivingOff = 0;
constexpr int receivingOn = 1;

constexpr std::array customHeaders { HeaderName::idempotencyKey, HeaderName::changeId, HeaderName::deadline,
    HeaderName::account, HeaderName::requestId };

std::string knownHeader(lws* wsi, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0)
        return {};
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_copy(wsi, value.data(), length + 1, token);
    value.resize(static_cast<std::size_t>(std::max(copied, 0)));
    return value;
}

std::string customHeader(lws* wsi, const std::string& name)
{
    const std::string withColon = name + ":";
    const int nameLength = static_cast<int>(withColon.size());
    const int length = lws_hdr_custom_length(wsi, withColon.c_str(), nameLength);
    if (length <= 0 || length > maximumHeaderValueBytes)
        return {};
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_custom_copy(wsi, value.data(), length + 1, withColon.c_str(), nameLength);
    value.resize(static_cast<std::size_t>(std::max(copied, 0)));
    return value;
}

std::string methodName(int method)
{
    switch (method) {
    case LWSHUMETH_GET:
        return "GET";
    case LWSHUMETH_POST:
        return "POST";
    case LWSHUMETH_PUT:
        return "PUT";
    case LWSHUMETH_DELETE:
        return "DELETE";
    case LWSHUMETH_HEAD:
        return "HEAD";
    default:
        return "OTHER";
    }
}

HttpRequest readRequest(lws* wsi, const std::vector<std::string>& additionalHeaders)
{
    HttpRequest request;
    char* uri = nullptr;
    int uriLength = 0;
    request.method = methodName(lws_http_get_uri_and_method(wsi, &uri, &uriLength));
    if (uri)
        request.path.assign(uri, static_cast<std::size_t>(uriLength));

    std::array<char, headerBufferBytes> fragment {};
    for (int index = 0;
         lws_hdr_copy_fragment(wsi, fragment.data(), static_cast<int>(fragment.size()), WSI_TOKEN_HTTP_URI_ARGS, index)
         > 0;
         ++index) {
        const std::string argument = fragment.data();
        const std::size_t equals = argument.find('=');
        request.query[argument.substr(0, equals)] = equals == std::string::npos ? "" : argument.substr(equals + 1);
    }

    request.headers[HeaderName::authorization] = knownHeader(wsi, WSI_TOKEN_HTTP_AUTHORIZATION);
    request.headers[HeaderName::ifMatch] = knownHeader(wsi, WSI_TOKEN_HTTP_IF_MATCH);
    for (const char* name : customHeaders)
        request.headers[name] = customHeader(wsi, name);
    request.headers[HeaderName::host] = knownHeader(wsi, WSI_TOKEN_HOST);
    for (const std::string& name : additionalHeaders)
        request.headers[name] = customHeader(wsi, name);
    return request;
}

} // namespace

struct HttpServer::Exchange {
    HttpExchangeId id = 0;
    lws* wsi = nullptr;
    HttpRequest request;
    HttpResponse response;
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
    info.timeout_secs = headerTimeoutSeconds;
    info.keepalive_timeout = keepAliveSeconds;
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6 | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    this->vhost = lws_create_vhost(loop.context(), &info);
    if (!this->vhost || lws_get_vhost_listen_port(this->vhost) <= 0)
        throw std::runtime_error(
            "cannot listen on " + this->options.address + ":" + std::to_string(this->options.port));
}

HttpServer::~HttpServer()
{
    this->handler = {};
    this->disconnectHandler = {};
    lws_vhost_destroy(this->vhost);
}

int HttpServer::callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length)
{
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

int HttpServer::onRequest(lws* wsi, Session& session)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->id = ++this->lastExchange;
    exchange->wsi = wsi;
    exchange->request = readRequest(wsi, this->options.headers);
    session.exchange = exchange.get();
    Exchange& open = *exchange;
    this->exchanges.emplace(open.id, std::move(exchange));

    const bool hasBody = open.request.method == "POST" || open.request.method == "PUT";
    const std::string lengthText = knownHeader(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    const std::size_t bodyLength = std::strtoull(lengthText.c_str(), nullptr, 10);
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
    session.exchange->request.body.append(data, length);
    return session.exchange->request.body.size() > this->options.maximumBody ? -1 : 0;
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
    found->second->response = std::move(response);
    found->second->responded = true;
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
    const bool written = !this->writeHeaders(wsi, *exchange) && this->writeBody(wsi, exchange->response.body);
    // The completion of a transaction allocates the session anew.
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
    session.exchange = nullptr;
    this->exchanges.erase(id);
    if (unanswered && this->disconnectHandler)
        this->loop.guarded([&]() { this->disconnectHandler(id); });
}

} // namespace WisteriaHill::Adapters
