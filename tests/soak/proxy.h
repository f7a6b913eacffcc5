/// A TCP proxy on loopback whose connections can be delayed, reset, silenced or refused.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>

namespace WisteriaHill::Soak {

/// Faults of a link.
struct LinkFault {
    bool refuse = false; ///< new connections are reset
    bool silentToTarget = false; ///< bytes to the target are held back while this is set
    bool silentToClient = false;
    std::chrono::milliseconds delay { 0 }; ///< of each forwarded chunk
};

/// Thread safety: none; all on the context's thread, and the context must outlive the proxy.
class Proxy {
public:
    /// Starts to listen; throws boost::system::system_error when the port is taken.
    Proxy(boost::asio::io_context& context, std::uint16_t port, std::uint16_t targetPort);

    void setFault(const LinkFault& fault) { this->fault = fault; }
    bool isFaulty() const;

    /// Ends each open connection with a reset.
    void resetConnections();

    /// Open connections forward nothing any more; new ones work.
    void silenceOpenConnections();

private:
    struct Session;

    void accept(const boost::asio::yield_context& yield);
    void connect(const std::shared_ptr<Session>& session, const boost::asio::yield_context& yield);
    void forward(const std::shared_ptr<Session>& session, bool toTarget, const boost::asio::yield_context& yield);

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::endpoint target;
    LinkFault fault;
    std::list<std::weak_ptr<Session>> sessions;
};

} // namespace WisteriaHill::Soak
