/// An HTTP/1.1 client on the event loop. By default each call opens its own connection. A client that keeps connections
/// reuses a connection once its call has ended, and closes a connection whose call timed out.
#pragma once

#include "adapters/eventloop.h"
#include "adapters/httpmessage.h"
#include "utils/result.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
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
    Duration timeout { 0 };
    std::size_t maximumAnswer = 8'388'608; ///< largest accepted response body, in bytes
};

struct HttpClientOptions {
    /// Keeps connections for further calls to the same address. At most one call per address may be open at a time,
    /// because a call would otherwise wait for the response to the one before.
    bool keepConnections = false;
};

enum class HttpClientError {
    NotSent, ///< no byte of the request was sent
    Truncated, ///< the connection ended before the complete response arrived
    TimedOut, ///< the request was sent, but no complete response arrived in time
    Oversized, ///< the response body is larger than HttpCall::maximumAnswer
};

using HttpCallResult = Utils::Result<HttpResponse, HttpClientError>;

/// Thread safety: none; all calls and callbacks on the loop's thread.
class HttpClient {
public:
    using CompletionHandler = std::function<void(HttpCallResult)>;

    /// Throws std::runtime_error when libwebsockets refuses the client. The loop must outlive the client.
    explicit HttpClient(EventLoop& loop, HttpClientOptions options = {});
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends the call. `done` is called exactly once, from the loop, at the latest when the timeout ends.
    void send(HttpCall call, CompletionHandler done);

    /// Bytes sent since the start: the bodies and paths, plus an estimate for the headers of each request.
    std::uint64_t bytesSent() const { return this->sentBytes; }
    /// Bytes received since the start: the bodies, plus an estimate for the headers of each response.
    std::uint64_t bytesReceived() const { return this->receivedBytes; }

private:
    struct Transaction;

    static int callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length);
    static int addHeaders(lws* wsi, Transaction& transaction, unsigned char** position, unsigned char* end);
    static int writeBody(lws* wsi, Transaction& transaction);
    static void readResponseHead(lws* wsi, Transaction& transaction);
    static void onTimeout(lws_sorted_usec_list_t* entry);
    void finish(Transaction& transaction, HttpCallResult result);

    EventLoop& loop;
    HttpClientOptions options;
    lws_protocols protocols[2] {};
    lws_vhost* vhost = nullptr;
    std::unordered_set<Transaction*> openTransactions;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

} // namespace WisteriaHill::Adapters
