/// Sends and receives heartbeats as UDP datagrams.
#pragma once

#include "adapters/datagramlink.h"
#include "model/peermessage.h"

#include <functional>

namespace WisteriaHill::Adapters {

/// Thread safety: none; all calls and callbacks on the loop's thread.
class HeartbeatLink {
public:
    using ReceivedHandler = std::function<void(const Model::Heartbeat&)>;
    /// Called with the size of a datagram that is not a valid heartbeat.
    using RejectedHandler = std::function<void(std::size_t bytes)>;

    /// Binds to `localAddress`; throws std::runtime_error when that fails. The loop must outlive the link.
    HeartbeatLink(EventLoop& loop, const Model::PeerAddress& localAddress, ReceivedHandler receivedHandler,
        RejectedHandler rejectedHandler);
    HeartbeatLink(const HeartbeatLink&) = delete;
    HeartbeatLink& operator=(const HeartbeatLink&) = delete;

    /// Sends one datagram. Neither an invalid address nor the loss of the datagram is reported.
    void send(const Model::PeerAddress& to, const Model::Heartbeat& heartbeat);

    std::uint64_t bytesSent() const { return this->link.bytesSent(); }
    std::uint64_t bytesReceived() const { return this->link.bytesReceived(); }

private:
    ReceivedHandler receivedHandler;
    RejectedHandler rejectedHandler;
    DatagramLink link;
};

} // namespace WisteriaHill::Adapters
