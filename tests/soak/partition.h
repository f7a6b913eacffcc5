/// Cuts of the network between the processes of a soak.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <set>
#include <string>
#include <sys/types.h>

namespace WisteriaHill::Soak {

/// Separates two groups of processes, which are named like "daemon-0", "server-3" and "store".
struct Cut {
    std::set<std::string> inside;
    std::set<std::string> outside; ///< empty for all that are not inside
};

/// The cuts in force. Thread safety: none.
class Partition {
public:
    using Handle = std::list<Cut>::iterator;

    Handle add(Cut cut) { return this->cuts.insert(this->cuts.end(), std::move(cut)); }
    void remove(Handle cut) { this->cuts.erase(cut); }

    bool isEmpty() const { return this->cuts.empty(); }

    /// True when nothing passes between the two. An empty name stands for a process that could not be identified; it
    /// is separated from every process at which a cut is in force.
    bool separates(const std::string& first, const std::string& second) const;

private:
    std::list<Cut> cuts;
};

/// What the descriptors of a socket link to in /proc: of the socket at this end of a TCP connection over IPv4, with its
/// own port and that of its peer. Empty when there is no such connection.
std::string socketLink(std::uint16_t port, std::uint16_t remotePort);

/// True when a descriptor of the process links to this; false for an empty link.
bool hasDescriptor(pid_t process, const std::string& link);

/// Forwards datagrams to the same port of 127.0.0.1. Thread safety: none; all on the context's thread, and the context
/// must outlive the proxy.
class DatagramProxy {
public:
    /// True when nothing passes from the sender that is bound to the port.
    using Filter = std::function<bool(std::uint16_t port)>;

    /// Starts to receive at a loopback address other than 127.0.0.1; throws boost::system::system_error when the port
    /// is taken.
    DatagramProxy(boost::asio::io_context& context, const std::string& address, std::uint16_t port, Filter isBlocked);

private:
    void forward(const boost::asio::yield_context& yield);

    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint target;
    Filter isBlocked;
};

} // namespace WisteriaHill::Soak
