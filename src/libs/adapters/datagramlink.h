/// UDP datagrams on the event loop.
#pragma once

#include "adapters/eventloop.h"

#include <cstdint>
#include <functional>
#include <string>

namespace WisteriaHill::Adapters {

/// The address of a UDP socket.
struct DatagramAddress {
    std::string address; ///< IPv4 address in dotted-decimal notation
    std::uint16_t port = 0;
};

/// Thread safety: none; all calls and callbacks on the loop's thread.
class DatagramLink {
public:
    using ReceivedHandler = std::function<void(const std::string& bytes)>;

    /// Binds to `localAddress`; throws std::runtime_error when that fails. The loop must outlive the link.
    DatagramLink(EventLoop& loop, const DatagramAddress& localAddress, ReceivedHandler receivedHandler);
    DatagramLink(const DatagramLink&) = delete;
    DatagramLink& operator=(const DatagramLink&) = delete;

    /// Sends one datagram. Neither an invalid address nor the loss of the datagram is reported.
    void send(const DatagramAddress& to, const std::string& bytes);

    std::uint64_t bytesSent() const { return this->sentBytes; }
    std::uint64_t bytesReceived() const { return this->receivedBytes; }

private:
    static int callback(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length);

    EventLoop& loop;
    ReceivedHandler receivedHandler;
    lws_protocols protocols[2] {};
    lws_vhost* vhost = nullptr;
    lws* socket = nullptr;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

} // namespace WisteriaHill::Adapters
