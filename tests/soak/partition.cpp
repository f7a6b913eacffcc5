#include "soak/partition.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace WisteriaHill::Soak {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t maximumDatagram = 65'536;

/// An address on 127.0.0.1, and any other, as in /proc/net/tcp, end with the port.
std::string portText(std::uint16_t port)
{
    std::ostringstream text;
    text << ':' << std::hex << std::uppercase << std::setw(4) << std::setfill('0') << port;
    return text.str();
}

} // namespace

bool Partition::separates(const std::string& first, const std::string& second) const
{
    return std::ranges::any_of(this->cuts, [&](const Cut& cut) {
        const auto isOutside = [&cut](const std::string& name) {
            return cut.outside.empty() ? !cut.inside.contains(name) : cut.outside.contains(name);
        };
        const auto crosses = [&](const std::string& inner, const std::string& outer) {
            return (inner.empty() || cut.inside.contains(inner)) && (outer.empty() || isOutside(outer));
        };
        return crosses(first, second) || crosses(second, first);
    });
}

std::string socketLink(std::uint16_t port, std::uint16_t remotePort)
{
    constexpr std::size_t addressLength = 8;
    const std::string local = portText(port) + ' ';
    const std::string remote = portText(remotePort) + ' ';
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
        // Most lines are of other connections; only the right one is split into its fields.
        const std::size_t found = line.find(local);
        if (found == std::string::npos
            || line.compare(found + local.size() + addressLength, remote.size(), remote) != 0)
            continue;
        constexpr int fieldsBeforeInode = 9;
        std::istringstream fields(line);
        std::string inode;
        for (int field = 0; field <= fieldsBeforeInode; ++field)
            fields >> inode;
        return "socket:[" + inode + "]";
    }
    return {};
}

bool hasDescriptor(pid_t process, const std::string& link)
{
    if (link.empty())
        return false;
    namespace fs = std::filesystem;
    std::error_code error; // the process may end, and descriptors may be closed, at any time
    fs::directory_iterator entry("/proc/" + std::to_string(process) + "/fd", error);
    while (!error && entry != fs::directory_iterator()) {
        std::error_code unreadable;
        if (fs::read_symlink(entry->path(), unreadable) == link)
            return true;
        entry.increment(error);
    }
    return false;
}

DatagramProxy::DatagramProxy(
    asio::io_context& context, const std::string& address, std::uint16_t port, Filter givenFilter)
    : socket(context, udp::endpoint(asio::ip::make_address(address), port))
    , target(asio::ip::address_v4::loopback(), port)
    , isBlocked(std::move(givenFilter))
{
    asio::spawn(context, [this](const asio::yield_context& yield) { this->forward(yield); });
}

void DatagramProxy::forward(const asio::yield_context& yield)
{
    std::array<char, maximumDatagram> datagram {};
    for (;;) {
        udp::endpoint sender;
        boost::system::error_code error; // a target that does not listen makes the next call fail
        const std::size_t size = this->socket.async_receive_from(asio::buffer(datagram), sender, yield[error]);
        if (!error && !this->isBlocked(sender.port()))
            this->socket.send_to(asio::buffer(datagram.data(), size), this->target, 0, error);
    }
}

} // namespace WisteriaHill::Soak
