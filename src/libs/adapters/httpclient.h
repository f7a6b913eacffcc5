/// An HTTP/1.1 client on the event loop. By default each call has a connection of its own; a client that keeps
/// connections uses one after the other call has ended, and ends a connection whose call timed out.
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

/// A request to send.
struct HttpCall {
    std::string address; ///< an IP number
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string path;
    HttpHeaders headers;
    std::string body;
    Duration timeout { 0 };
    std::size_t maximumAnswer = 8'388'608; ///< bytes
};

struct HttpClientOptions {
    /// Keep connections for further calls to the same address. At most one call may be open per address and client, so
    /// that no call waits behind another.
    bool keepConnections = false;
};

enum class HttpClientError {
    NotSent, ///< no byte of the request left
    Truncated, ///< the connection ended before the whole answer
    TimedOut,
    Oversized,
};

using HttpCallResult = Utils::Result<HttpResponse, HttpClientError>;

/// Thread safety: none; all calls and callbacks on the loop's thread.
class HttpClient {
public:
    using CompletionHandler = std::function<void(HttpCallResult)>;

    /// The loop must outlive the client.
    explicit HttpClient(EventLoop& loop, HttpClientOptions options = {});
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a call; `done` is called exactly once, from the loop, at the latest when the timeout ends.
    void send(HttpCall call, CompletionHandler done);

    /// Bytes of bodies and request lines sent and received since the start.
    std::uint64_t bytesSent() const { return this->sentBytes; }
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
