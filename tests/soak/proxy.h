/// A TCP proxy on loopback whose connections can be delayed, reset, silenced or refused.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace WisteriaHill::Soak {

/// Faults of a link.
struct LinkFault {
    bool refuse = false; ///< new connections are reset
    bool silentToTarget = false; ///< bytes to the target are held back while this is set
    bool silentToClient = false;
    std::chrono::milliseconds delay { 0 }; ///< of each forwarded chunk
};

struct ProxyOptions {
    std::string address = "127.0.0.1"; ///< where clients connect
    std::uint16_t port = 0;
    std::uint16_t targetPort = 0; ///< on 127.0.0.1
    /// Names the client that has this port, asked once per connection while there is a cut; empty when clients are not
    /// told apart.
    std::function<std::string(std::uint16_t clientPort)> identify;
    /// True while bytes from and to the client are held back; precondition of a call: `identify` is set.
    std::function<bool(const std::string& client)> isCut;
    std::function<bool()> isAnyCut; ///< set together with `identify`; false while there is no cut at all
};

/// Thread safety: none; all on the context's thread, and the context must outlive the proxy.
class Proxy {
public:
    /// Starts to listen; throws boost::system::system_error when the port is taken.
    Proxy(boost::asio::io_context& context, ProxyOptions options);

    void setFault(const LinkFault& fault) { this->fault = fault; }
    bool isFaulty() const;

    /// Ends each open connection with a reset.
    void resetConnections();

    /// Ends the connections of clients that are cut off now, with the bytes that are held back.
    void resetCutConnections();

    /// Open connections forward nothing any more; new ones work.
    void silenceOpenConnections();

private:
    struct Session;

    bool isHeld(Session& session, bool toTarget) const;
    bool isCutOff(Session& session) const;
    void accept(const boost::asio::yield_context& yield);
    void connect(const std::shared_ptr<Session>& session, const boost::asio::yield_context& yield);
    void forward(const std::shared_ptr<Session>& session, bool toTarget, const boost::asio::yield_context& yield);

    boost::asio::io_context& context;
    ProxyOptions options;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::endpoint target;
    LinkFault fault;
    std::list<std::weak_ptr<Session>> sessions;
};

} // namespace WisteriaHill::Soak
