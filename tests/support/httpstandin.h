/// An HTTP server on loopback that misbehaves on request.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace WisteriaHill::TestSupport {

/// Listens on every loopback address (127.x.y.z) at one port and serves on a thread of its own. The path of a request
/// selects what happens:
/// - /answer: 200 with the request's body
/// - /late/N: the same after N ms
/// - /slow/N: the same, in ten parts with pauses of N ms
/// - /stalled: half of the response, then nothing
/// - /refuse: 503
/// - /reset: the connection is reset
/// - /truncated: the connection ends within the response's body
/// - /garbage: bytes that are not HTTP
/// - /twice: the answer, followed by another one that nobody asked for
/// - /unframed: 200 with the request's body and no length; the connection's end ends it
/// - /silent: no response
/// Thread safety: all public functions may be called from any thread.
class HttpStandIn {
public:
    HttpStandIn();
    ~HttpStandIn();
    HttpStandIn(const HttpStandIn&) = delete;
    HttpStandIn& operator=(const HttpStandIn&) = delete;

    /// Lets connections accepted from now on wait before they read, so that large requests fill the buffers.
    void readLate();

    std::uint16_t port() const;
    /// How often a complete request with this body arrived.
    int requestsWith(const std::string& body) const;
    /// Requests whose head or body could not be read although their connection was not closed by the client.
    int malformedRequests() const;
    int acceptedConnections() const;

private:
    struct Server;
    struct Session;

    std::shared_ptr<Server> server;
    std::thread thread;
};

} // namespace WisteriaHill::TestSupport
