#include "adapters/httpclient.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace WisteriaHill::Adapters {

namespace {

constexpr std::size_t bodyChunkBytes = 16'384;
constexpr std::size_t readBufferBytes = 16'384;
constexpr std::size_t requestOverheadBytes = 160;
constexpr lws_usec_t usecPerMs = 1000;
constexpr int maximumHeaderValueBytes = 2048;
constexpr int keepAliveSeconds = 60; ///< an idle connection is closed after this time

constexpr std::array answerHeaders { HeaderName::outcome, HeaderName::reason, HeaderName::retryAfterMs,
    HeaderName::replayed, HeaderName::notRun, HeaderName::busySlots, HeaderName::leaving };

std::string tokenValue(lws* wsi, lws_token_indexes token)
{
    std::array<char, maximumHeaderValueBytes> value {};
    const int length = lws_hdr_copy(wsi, value.data(), static_cast<int>(value.size()), token);
    return length > 0 ? std::string(value.data(), static_cast<std::size_t>(length)) : std::string();
}

} // namespace

struct HttpClient::Transaction {
    lws_sorted_usec_list_t timer {}; // must be the first member: onTimeout() casts its address to Transaction
    HttpClient* client = nullptr;
    lws* wsi = nullptr;
    HttpCall call;
    CompletionHandler done;
    HttpResponse response;
    std::size_t written = 0; ///< number of bytes of the request body that were written
    bool handshakeSent = false;
    bool oversized = false;
    bool finished = false;
};

HttpClient::HttpClient(EventLoop& loop, HttpClientOptions options)
    : loop(loop)
    , options(options)
{
    this->protocols[0].name = "http-client";
    this->protocols[0].callback = callback;
    this->protocols[0].user = this;
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = this->protocols;
    info.vhost_name = "http-client";
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    info.keepalive_timeout = keepAliveSeconds;
    this->vhost = lws_create_vhost(loop.context(), &info);
    if (!this->vhost)
        throw std::runtime_error("cannot create the libwebsockets virtual host of the HTTP client");
}

HttpClient::~HttpClient()
{
    for (Transaction* transaction : this->openTransactions) {
        lws_sul_schedule(this->loop.context(), 0, &transaction->timer, nullptr, LWS_SET_TIMER_USEC_CANCEL);
        if (transaction->wsi)
            lws_set_opaque_user_data(transaction->wsi, nullptr);
        delete transaction;
    }
}

void HttpClient::send(HttpCall call, CompletionHandler done)
{
    auto* transaction = new Transaction;
    transaction->client = this;
    transaction->call = std::move(call);
    transaction->done = std::move(done);
    this->openTransactions.insert(transaction);
    lws_sul_schedule(this->loop.context(), 0, &transaction->timer, onTimeout,
        std::max<lws_usec_t>(1, transaction->call.timeout.count() * usecPerMs));

    lws_client_connect_info info {};
    info.context = this->loop.context();
    info.vhost = this->vhost;
    info.address = transaction->call.address.c_str();
    info.host = transaction->call.address.c_str();
    info.origin = transaction->call.address.c_str();
    info.port = transaction->call.port;
    info.path = transaction->call.path.c_str();
    info.method = transaction->call.method.c_str();
    info.alpn = "http/1.1";
    info.local_protocol_name = "http-client";
    if (this->options.keepConnections)
        info.ssl_connection = LCCSCF_PIPELINE;
    info.opaque_user_data = transaction;
    info.pwsi = &transaction->wsi;
    if (!lws_client_connect_via_info(&info) && !transaction->finished) {
        transaction->wsi = nullptr;
        this->finish(*transaction, HttpClientError::NotSent);
    }
}

void HttpClient::finish(Transaction& transaction, HttpCallResult result)
{
    if (std::exchange(transaction.finished, true))
        return;
    lws_sul_schedule(this->loop.context(), 0, &transaction.timer, nullptr, LWS_SET_TIMER_USEC_CANCEL);
    if (transaction.wsi)
        lws_set_opaque_user_data(transaction.wsi, nullptr);
    this->openTransactions.erase(&transaction);
    Transaction* owned = &transaction;
    this->loop.post([owned, done = std::move(transaction.done), result = std::move(result)]() mutable {
        delete owned;
        done(std::move(result));
    });
}

void HttpClient::onTimeout(lws_sorted_usec_list_t* entry)
{
    auto* transaction = reinterpret_cast<Transaction*>(entry);
    lws* wsi = transaction->wsi;
    const HttpClientError error = transaction->handshakeSent ? HttpClientError::TimedOut : HttpClientError::NotSent;
    transaction->client->loop.wake();
    transaction->client->finish(*transaction, error);
    if (wsi)
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

int HttpClient::addHeaders(lws* wsi, Transaction& transaction, unsigned char** position, unsigned char* end)
{
    const HttpCall& call = transaction.call;
    for (const auto& [name, value] : call.headers) {
        const std::string withColon = name + ":";
        if (lws_add_http_header_by_name(wsi, reinterpret_cast<const unsigned char*>(withColon.c_str()),
                reinterpret_cast<const unsigned char*>(value.c_str()), static_cast<int>(value.size()), position, end))
            return -1;
    }
    transaction.handshakeSent = true;
    transaction.client->sentBytes += requestOverheadBytes + call.path.size() + call.body.size();
    if (call.method != "POST" && call.method != "PUT")
        return 0;
    const std::string length = std::to_string(call.body.size());
    if (lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
            reinterpret_cast<const unsigned char*>(length.c_str()), static_cast<int>(length.size()), position, end))
        return -1;
    if (!call.body.empty()) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    return 0;
}

int HttpClient::writeBody(lws* wsi, Transaction& transaction)
{
    const std::string& body = transaction.call.body;
    if (transaction.written >= body.size())
        return 0;
    const std::size_t chunk = std::min(bodyChunkBytes, body.size() - transaction.written);
    const bool last = transaction.written + chunk == body.size();
    std::vector<unsigned char> buffer(LWS_PRE + chunk);
    std::copy_n(body.data() + transaction.written, chunk, buffer.data() + LWS_PRE);
    if (lws_write(wsi, buffer.data() + LWS_PRE, chunk, last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
        return -1;
    transaction.written += chunk;
    if (last)
        lws_client_http_body_pending(wsi, 0);
    else
        lws_callback_on_writable(wsi);
    return 0;
}

void HttpClient::readResponseHead(lws* wsi, Transaction& transaction)
{
    HttpResponse& response = transaction.response;
    response.status = static_cast<int>(lws_http_client_http_response(wsi));
    response.contentType = tokenValue(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
    response.headers[HeaderName::retryAfter] = tokenValue(wsi, WSI_TOKEN_HTTP_RETRY_AFTER);
    response.headers[HeaderName::entityTag] = tokenValue(wsi, WSI_TOKEN_HTTP_ETAG);
    for (const char* name : answerHeaders) {
        const std::string withColon = std::string(name) + ":";
        std::array<char, maximumHeaderValueBytes> value {};
        const int length = lws_hdr_custom_copy(
            wsi, value.data(), static_cast<int>(value.size()), withColon.c_str(), static_cast<int>(withColon.size()));
        if (length > 0)
            response.headers[name] = std::string(value.data(), static_cast<std::size_t>(length));
    }
}

int HttpClient::callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length)
{
    auto* transaction = static_cast<Transaction*>(lws_get_opaque_user_data(wsi));
    if (!transaction)
        return reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ? -1 : lws_callback_http_dummy(wsi, reason, user, in, length);
    HttpClient& client = *transaction->client;

    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
        auto** position = static_cast<unsigned char**>(in);
        return addHeaders(wsi, *transaction, position, *position + length);
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return writeBody(wsi, *transaction);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        readResponseHead(wsi, *transaction);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
        std::array<char, LWS_PRE + readBufferBytes> buffer {};
        char* position = buffer.data() + LWS_PRE;
        int available = static_cast<int>(readBufferBytes);
        return lws_http_client_read(wsi, &position, &available) < 0 ? -1 : 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        client.receivedBytes += length;
        if (transaction->response.body.size() + length > transaction->call.maximumAnswer) {
            client.finish(*transaction, HttpClientError::Oversized);
            return -1;
        }
        transaction->response.body.append(static_cast<const char*>(in), length);
        return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        client.receivedBytes += requestOverheadBytes;
        client.finish(*transaction, std::move(transaction->response));
        return client.options.keepConnections ? 0 : -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        transaction->wsi = nullptr;
        client.finish(*transaction, transaction->handshakeSent ? HttpClientError::Truncated : HttpClientError::NotSent);
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
}

} // namespace WisteriaHill::Adapters
