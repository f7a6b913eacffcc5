#include "adapters/httpclient.h"

#include "utils/steadytime.h"

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <utility>

namespace WisteriaHill::Adapters {

namespace {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;

constexpr std::chrono::seconds keepAliveTime { 60 }; ///< an idle connection is closed after this time
/// Ends a response whose bytes keep arriving, but too few to matter.
constexpr std::chrono::seconds maximumTransferTime { 20 };
constexpr std::size_t writeChunkBytes = 16'384;
constexpr unsigned int httpVersion = 11;
constexpr const char* protocolName = "http-client";

std::string endpointOf(const HttpCall& call) { return call.address + ':' + std::to_string(call.port); }

/// Encodes the request, preceded by the LWS_PRE bytes that libwebsockets reserves.
std::string encodeRequest(const HttpCall& call)
{
    Http::request<Http::string_body> request;
    request.version(httpVersion);
    request.method_string(call.method);
    request.target(call.path);
    request.set(Http::field::host, call.address);
    for (const auto& [name, value] : call.headers)
        request.set(name, value);
    if (call.method == "POST" || call.method == "PUT")
        request.content_length(call.body.size());
    request.body() = call.body;
    std::string bytes(LWS_PRE, '\0');
    Http::request_serializer<Http::string_body> serializer(request);
    Beast::error_code error;
    while (!serializer.is_done()) {
        serializer.next(error, [&](Beast::error_code&, const auto& buffers) {
            for (const auto buffer : Beast::buffers_range_ref(buffers))
                bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
            serializer.consume(Beast::buffer_bytes(buffers));
        });
    }
    return bytes;
}

HttpResponse toResponse(Http::response<Http::string_body> message)
{
    HttpResponse response { .status = static_cast<int>(message.result_int()), .contentType = {} };
    for (const auto& field : message) {
        std::string name(field.name_string());
        std::ranges::transform(name, name.begin(), [](unsigned char letter) { return std::tolower(letter); });
        response.headers[name] = std::string(field.value());
    }
    response.contentType = response.header(HeaderName::contentType);
    response.body = std::move(message.body());
    return response;
}

} // namespace

struct HttpClient::Transaction {
    HttpCall call;
    CompletionHandler done;
    EventLoop::TimerId timer;
    Utils::SteadyTime latestSending {}; ///< the request is not sent later
    Connection* connection = nullptr; ///< null while the call waits for a connection
    bool sent = false; ///< at least one byte of the request may have been sent
    std::optional<Utils::SteadyTime> beganAt {}; ///< when the first byte of the response arrived
    Utils::SteadyTime lastReceivedAt {};
};

struct HttpClient::Connection {
    HttpClient* client = nullptr;
    std::uint64_t serial = 0; ///< unique within the client
    lws* wsi = nullptr;
    std::string endpoint;
    Transaction* transaction = nullptr; ///< null while the connection is idle
    bool idle = false;
    Utils::SteadyTime idleSince {};
    std::list<Connection*>::iterator age; ///< position in idleByAge while idle
    std::string unwritten; ///< request being written, after LWS_PRE reserved bytes; empty when all is written
    std::size_t writePosition = 0; ///< in `unwritten`, of the next byte to write
    std::optional<Http::response_parser<Http::string_body>> parser;
    std::string unparsed; ///< received bytes that the parser has not consumed
};

HttpClient::HttpClient(EventLoop& loop, HttpClientOptions options)
    : loop(loop)
    , options(options)
{
    this->protocols[0].name = protocolName;
    this->protocols[0].callback = callback;
    this->protocols[0].user = this;
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = this->protocols;
    info.vhost_name = protocolName;
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    this->vhost = lws_create_vhost(loop.context(), &info);
    if (!this->vhost)
        throw std::runtime_error("cannot create the libwebsockets virtual host of the HTTP client");
}

HttpClient::~HttpClient()
{
    for (const auto& [transaction, owned] : this->transactions)
        this->loop.cancel(transaction->timer);
    for (const auto& [connection, owned] : this->connections) {
        if (connection->wsi)
            lws_set_opaque_user_data(connection->wsi, nullptr);
    }
}

void HttpClient::send(HttpCall call, CompletionHandler done)
{
    auto owned = std::make_unique<Transaction>();
    Transaction& transaction = *owned;
    this->transactions.emplace(&transaction, std::move(owned));
    transaction.call = std::move(call);
    transaction.done = std::move(done);
    transaction.latestSending = Utils::steadyNow() + transaction.call.timeout;
    this->armTimer(transaction, transaction.call.timeout);
    if (!this->waiting.empty() || !this->start(transaction))
        this->waiting.push_back(&transaction);
}

bool HttpClient::isWanted(const Transaction& transaction)
{
    return Utils::steadyNow() <= transaction.latestSending
        && (!transaction.call.mayBeSent || transaction.call.mayBeSent());
}

bool HttpClient::start(Transaction& transaction)
{
    if (!isWanted(transaction)) {
        this->finish(transaction, HttpClientError::NotSent);
        return true;
    }
    if (Connection* connection = this->takeIdle(transaction.call)) {
        connection->transaction = &transaction;
        transaction.connection = connection;
        this->sendRequest(*connection);
        return true;
    }
    if (this->connections.size() >= this->options.maximumConnections) {
        if (this->idleByAge.empty())
            return false;
        this->close(*this->idleByAge.front());
    }
    this->connect(transaction);
    return true;
}

void HttpClient::startWaiting()
{
    while (!this->waiting.empty()) {
        Transaction* next = this->waiting.front();
        this->waiting.pop_front(); // first, because start() can end calls, which calls this again
        if (!this->start(*next)) {
            this->waiting.push_front(next);
            return;
        }
    }
}

void HttpClient::connect(Transaction& transaction)
{
    auto owned = std::make_unique<Connection>();
    Connection& connection = *owned;
    this->connections.emplace(&connection, std::move(owned));
    const std::uint64_t serial = ++this->lastConnection;
    connection.serial = serial;
    connection.client = this;
    connection.endpoint = endpointOf(transaction.call);
    connection.transaction = &transaction;
    transaction.connection = &connection;

    lws_client_connect_info info {};
    info.context = this->loop.context();
    info.vhost = this->vhost;
    info.address = transaction.call.address.c_str();
    info.host = info.address;
    info.origin = info.address;
    info.port = transaction.call.port;
    info.path = "/";
    info.method = "RAW";
    info.local_protocol_name = protocolName;
    info.opaque_user_data = &connection;
    lws* wsi = lws_client_connect_via_info(&info);
    // A connection that failed at once may have been reported to the callback and removed. Then another connection,
    // made for a waiting call, can have its address.
    const auto found = this->connections.find(&connection);
    if (found == this->connections.end() || found->second->serial != serial)
        return;
    connection.wsi = wsi;
    if (!wsi)
        this->handleClosed(connection);
}

HttpClient::Connection* HttpClient::takeIdle(const HttpCall& call)
{
    const std::string endpoint = endpointOf(call);
    const Utils::SteadyTime now = Utils::steadyNow();
    for (auto found = this->idleByEndpoint.find(endpoint); found != this->idleByEndpoint.end();
         found = this->idleByEndpoint.find(endpoint)) {
        Connection* connection = found->second.back();
        if (call.maximumIdle.count() == 0 || now - connection->idleSince <= call.maximumIdle) {
            this->removeIdle(*connection);
            return connection;
        }
        this->close(*connection);
    }
    return nullptr;
}

void HttpClient::addIdle(Connection& connection)
{
    connection.idle = true;
    connection.idleSince = Utils::steadyNow();
    connection.age = this->idleByAge.insert(this->idleByAge.end(), &connection);
    this->idleByEndpoint[connection.endpoint].push_back(&connection);
    while (connection.idleSince - this->idleByAge.front()->idleSince > keepAliveTime)
        this->close(*this->idleByAge.front());
}

void HttpClient::removeIdle(Connection& connection)
{
    connection.idle = false;
    this->idleByAge.erase(connection.age);
    const auto found = this->idleByEndpoint.find(connection.endpoint);
    std::erase(found->second, &connection);
    if (found->second.empty())
        this->idleByEndpoint.erase(found);
}

void HttpClient::handleConnected(Connection& connection)
{
    // Time passes while a connection opens, much of it if the process was suspended.
    Transaction& transaction = *connection.transaction;
    if (isWanted(transaction)) {
        this->sendRequest(connection);
        return;
    }
    this->close(connection);
    this->finish(transaction, HttpClientError::NotSent);
    this->startWaiting();
}

void HttpClient::sendRequest(Connection& connection)
{
    Transaction& transaction = *connection.transaction;
    connection.unwritten = encodeRequest(transaction.call);
    connection.writePosition = LWS_PRE;
    connection.parser.emplace();
    connection.parser->body_limit(transaction.call.maximumAnswer);
    transaction.sent = true;
    this->sentBytes += connection.unwritten.size() - LWS_PRE;
    this->writeMore(connection);
}

void HttpClient::writeMore(Connection& connection)
{
    while (connection.writePosition < connection.unwritten.size() && lws_partial_buffered(connection.wsi) == 0) {
        const std::size_t chunk = std::min(writeChunkBytes, connection.unwritten.size() - connection.writePosition);
        auto* begin = reinterpret_cast<unsigned char*>(connection.unwritten.data()) + connection.writePosition;
        if (lws_write(connection.wsi, begin, chunk, LWS_WRITE_RAW) < 0) {
            Transaction& transaction = *connection.transaction;
            this->close(connection);
            this->finish(transaction, HttpClientError::Truncated);
            this->startWaiting();
            return;
        }
        connection.writePosition += chunk; // libwebsockets keeps what the socket does not take of a chunk
    }
    // What libwebsockets keeps of a chunk is sent only when the connection waits to become writable.
    if (lws_partial_buffered(connection.wsi) != 0)
        lws_callback_on_writable(connection.wsi);
    else
        connection.unwritten.clear();
}

void HttpClient::receive(Connection& connection, const char* data, std::size_t length)
{
    this->receivedBytes += length;
    if (!connection.transaction) { // an idle connection must not receive anything
        this->close(connection);
        this->startWaiting();
        return;
    }
    this->noteReceived(*connection.transaction, length);
    connection.unparsed.append(data, length);
    Beast::error_code error;
    while (!connection.unparsed.empty() && !connection.parser->is_done() && !error) {
        const std::size_t consumed = connection.parser->put(
            boost::asio::buffer(connection.unparsed.data(), connection.unparsed.size()), error);
        connection.unparsed.erase(0, consumed);
        if (consumed == 0)
            break;
    }
    if (connection.parser->is_done()) {
        this->complete(connection);
        return;
    }
    if (!error || error == Http::error::need_more)
        return;
    Transaction& transaction = *connection.transaction;
    this->close(connection);
    this->finish(
        transaction, error == Http::error::body_limit ? HttpClientError::Oversized : HttpClientError::Truncated);
    this->startWaiting();
}

void HttpClient::noteReceived(Transaction& transaction, std::size_t length)
{
    transaction.lastReceivedAt = Utils::steadyNow();
    if (!transaction.beganAt) {
        transaction.beganAt = transaction.lastReceivedAt;
        if (transaction.call.stallTimeout.count() > 0)
            this->armTimer(transaction, transaction.call.stallTimeout);
    }
    if (transaction.call.received)
        transaction.call.received(length);
}

void HttpClient::armTimer(Transaction& transaction, Duration delay)
{
    this->loop.cancel(transaction.timer);
    transaction.timer = this->loop.after(delay, [this, &transaction]() { this->handleTimeout(transaction); });
}

void HttpClient::complete(Connection& connection)
{
    Transaction& transaction = *std::exchange(connection.transaction, nullptr);
    transaction.connection = nullptr;
    const bool keep = this->options.keepConnections && connection.parser->keep_alive() && connection.unparsed.empty()
        && connection.unwritten.empty() && lws_partial_buffered(connection.wsi) == 0;
    HttpResponse response = toResponse(connection.parser->release());
    if (keep) {
        connection.parser.reset();
        this->addIdle(connection);
    } else {
        this->close(connection);
    }
    this->finish(transaction, std::move(response));
    this->startWaiting();
}

void HttpClient::handleClosed(Connection& connection)
{
    Transaction* transaction = std::exchange(connection.transaction, nullptr);
    connection.wsi = nullptr; // libwebsockets destroys it
    if (!transaction) {
        this->close(connection);
        this->startWaiting();
        return;
    }
    transaction->connection = nullptr;
    HttpCallResult result = transaction->sent ? HttpClientError::Truncated : HttpClientError::NotSent;
    if (connection.parser && connection.parser->got_some()) {
        // A response without a length ends with its connection.
        Beast::error_code error;
        connection.parser->put_eof(error);
        if (!error && connection.parser->is_done())
            result = toResponse(connection.parser->release());
    }
    this->connections.erase(&connection);
    this->finish(*transaction, std::move(result));
    this->startWaiting();
}

void HttpClient::handleTimeout(Transaction& transaction)
{
    if (transaction.beganAt && transaction.call.stallTimeout.count() > 0) {
        const Utils::SteadyTime now = Utils::steadyNow();
        const auto pause = std::chrono::duration_cast<Duration>(now - transaction.lastReceivedAt);
        if (pause < transaction.call.stallTimeout && now - *transaction.beganAt < maximumTransferTime) {
            this->armTimer(transaction, transaction.call.stallTimeout - pause);
            return;
        }
    }
    if (transaction.connection)
        this->close(*transaction.connection);
    else
        std::erase(this->waiting, &transaction);
    this->finish(transaction, transaction.sent ? HttpClientError::TimedOut : HttpClientError::NotSent);
    this->startWaiting();
}

void HttpClient::close(Connection& connection)
{
    if (connection.idle)
        this->removeIdle(connection);
    if (connection.transaction)
        connection.transaction->connection = nullptr;
    if (connection.wsi) {
        lws_set_opaque_user_data(connection.wsi, nullptr);
        lws_set_timeout(connection.wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
    this->connections.erase(&connection);
}

void HttpClient::finish(Transaction& transaction, HttpCallResult result)
{
    this->loop.cancel(transaction.timer);
    this->loop.post(
        [done = std::move(transaction.done), result = std::move(result)]() mutable { done(std::move(result)); });
    this->transactions.erase(&transaction);
}

int HttpClient::callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length)
{
    auto* connection = static_cast<Connection*>(lws_get_opaque_user_data(wsi));
    if (!connection)
        return reason == LWS_CALLBACK_RAW_RX ? -1 : lws_callback_http_dummy(wsi, reason, user, in, length);
    HttpClient& client = *connection->client;

    switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
        connection->wsi = wsi;
        client.handleConnected(*connection);
        return 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
        client.writeMore(*connection);
        return 0;
    case LWS_CALLBACK_RAW_RX:
        client.receive(*connection, static_cast<const char*>(in), length);
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_WSI_DESTROY:
        lws_set_opaque_user_data(wsi, nullptr);
        client.handleClosed(*connection);
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
}

} // namespace WisteriaHill::Adapters
