/// An HTTP/1.1 client on the event loop. Sockets belong to libwebsockets, messages are encoded and parsed by
/// Boost.Beast.
#pragma once

#include "adapters/eventloop.h"
#include "adapters/httpmessage.h"
#include "utils/result.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace WisteriaHill::Adapters {

/// An HTTP request to send, and the limits of its response.
struct HttpCall {
    std::string address; ///< IPv4 address in dotted-decimal notation
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string path;
    HttpHeaders headers;
    std::string body;
    Duration timeout { 0 }; ///< until the response is complete; includes the wait for a connection
    /// When not zero, `timeout` ends with the first byte of the response, which may then take longer as long as no
    /// pause between its bytes exceeds this time.
    Duration stallTimeout { 0 };
    /// When not zero, an idle connection is used only if it ended a call so recently; a new one shows first that the
    /// endpoint can be reached.
    Duration maximumIdle { 0 };
    std::size_t maximumAnswer = 8'388'608; ///< largest accepted response body, in bytes
    std::function<void(std::size_t)> received {}; ///< optional; called with the number of bytes as they arrive
    /// Optional; called right before the request is sent, which may be long after send(). The call ends as NotSent
    /// when it returns false.
    std::function<bool()> mayBeSent {};
};

struct HttpClientOptions {
    /// Keeps a connection for further calls to the same address once its call has ended. Otherwise each call opens its
    /// own connection.
    bool keepConnections = false;
    /// Most connections that are open at once. A call beyond them closes the connection that has been idle longest, or
    /// waits until a call ends.
    std::size_t maximumConnections = 1024;
};

enum class HttpClientError {
    NotSent, ///< no byte of the request was sent
    Truncated, ///< the connection ended before the complete response arrived, or the response was malformed
    TimedOut, ///< the request was sent, but no complete response arrived in time
    Oversized, ///< the response body is larger than HttpCall::maximumAnswer
};

using HttpCallResult = Utils::Result<HttpResponse, HttpClientError>;

/// A connection carries one call at a time and is closed when a call does not end with a complete response, so an
/// answer never reaches another call. Thread safety: none; all calls and callbacks on the loop's thread.
class HttpClient {
public:
    using CompletionHandler = std::function<void(HttpCallResult)>;

    /// Throws std::runtime_error when libwebsockets refuses the client. The loop must outlive the client.
    explicit HttpClient(EventLoop& loop, HttpClientOptions options = {});
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends the call. `done` is called exactly once, from the loop, at the latest when a time-out of the call ends. A
    /// request whose time-out has passed is not sent, also when the process was suspended meanwhile.
    void send(HttpCall call, CompletionHandler done);

    /// Bytes of requests sent since the start.
    std::uint64_t bytesSent() const { return this->sentBytes; }
    /// Bytes of responses received since the start.
    std::uint64_t bytesReceived() const { return this->receivedBytes; }

    std::size_t openConnections() const { return this->connections.size(); }
    /// Calls that wait for a connection because the maximum number is open.
    std::size_t waitingCalls() const { return this->waiting.size(); }

private:
    struct Transaction;
    struct Connection;

    static int callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length);
    /// True while the transaction's request may still be sent.
    static bool isWanted(const Transaction& transaction);
    /// Gives the transaction a connection, or ends it. Returns false when it has to wait for a connection.
    bool start(Transaction& transaction);
    void startWaiting();
    void connect(Transaction& transaction);
    /// Takes an idle connection for the call out of the idle ones; null when there is none. Closes those that were
    /// idle for too long for the call.
    Connection* takeIdle(const HttpCall& call);
    void addIdle(Connection& connection);
    void removeIdle(Connection& connection);
    void handleConnected(Connection& connection);
    void sendRequest(Connection& connection);
    /// Writes what the socket takes of the request.
    void writeMore(Connection& connection);
    void receive(Connection& connection, const char* data, std::size_t length);
    /// Ends the connection's call with the parsed response and keeps or closes the connection.
    void complete(Connection& connection);
    void handleClosed(Connection& connection);
    void noteReceived(Transaction& transaction, std::size_t length);
    /// Replaces the timer that ends the call.
    void armTimer(Transaction& transaction, Duration delay);
    void handleTimeout(Transaction& transaction);
    /// Closes the connection after the current callback and forgets it.
    void close(Connection& connection);
    void finish(Transaction& transaction, HttpCallResult result);

    EventLoop& loop;
    HttpClientOptions options;
    lws_protocols protocols[2] {};
    lws_vhost* vhost = nullptr;
    std::unordered_map<Connection*, std::unique_ptr<Connection>> connections;
    std::uint64_t lastConnection = 0; ///< serial of the newest connection
    std::unordered_map<std::string, std::vector<Connection*>> idleByEndpoint;
    std::list<Connection*> idleByAge; ///< longest idle first
    std::unordered_map<Transaction*, std::unique_ptr<Transaction>> transactions;
    std::deque<Transaction*> waiting; ///< in order of arrival
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

} // namespace WisteriaHill::Adapters
