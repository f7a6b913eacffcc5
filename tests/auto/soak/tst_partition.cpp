#include "soak/partition.h"
#include "soak/proxy.h"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

using namespace WisteriaHill;
using namespace Soak;
namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using namespace std::chrono_literals;

namespace {

const asio::ip::address_v4 loopback = asio::ip::address_v4::loopback();

/// A port that was free a moment ago.
std::uint16_t freePort(asio::io_context& context)
{
    return tcp::acceptor(context, tcp::endpoint(loopback, 0)).local_endpoint().port();
}

/// Two clients of a target, through a proxy that knows them as "daemon-0" and "daemon-1".
struct ProxyFixture {
    ProxyFixture()
    {
        for (tcp::socket& client : this->clients) {
            client.connect(tcp::endpoint(loopback, this->port));
            this->context.run_for(50ms);
            this->accepted.push_back(this->target.accept());
        }
    }

    ProxyOptions options()
    {
        return { .port = this->port,
            .targetPort = this->target.local_endpoint().port(),
            .identify = [this](std::uint16_t client) { return client == this->firstPort() ? "daemon-0" : "daemon-1"; },
            .isCut = [this](const std::string& client) { return this->partition.separates(client, "server-0"); },
            .isAnyCut = [this]() { return !this->partition.isEmpty(); } };
    }

    std::uint16_t firstPort() const { return this->clients[0].local_endpoint().port(); }

    /// Bytes that have arrived at the target.
    std::size_t arrived(std::size_t client)
    {
        this->context.run_for(100ms);
        return this->accepted[client].available();
    }

    asio::io_context context;
    Partition partition;
    std::uint16_t port = freePort(this->context);
    tcp::acceptor target { this->context, tcp::endpoint(loopback, 0) };
    std::array<tcp::socket, 2> clients { tcp::socket(this->context), tcp::socket(this->context) };
    Proxy proxy { this->context, this->options() };
    std::vector<tcp::socket> accepted;
};

} // namespace

TEST_CASE("a cut separates what is inside from what is outside, in both directions")
{
    Partition partition;
    const auto cut = partition.add({ .inside = { "daemon-0", "server-0" } });
    CHECK(partition.separates("daemon-0", "server-1"));
    CHECK(partition.separates("server-1", "daemon-0"));
    CHECK(partition.separates("daemon-0", "store"));
    CHECK_FALSE(partition.separates("daemon-0", "server-0"));
    CHECK_FALSE(partition.separates("daemon-1", "server-1"));
    CHECK(partition.separates("", "server-0"));
    CHECK(partition.separates("", "server-1"));
    partition.remove(cut);
    CHECK_FALSE(partition.separates("daemon-0", "server-1"));
    CHECK_FALSE(partition.separates("", "server-0"));
}

TEST_CASE("a cut between two groups leaves all others in touch with both")
{
    Partition partition;
    partition.add({ .inside = { "daemon-0" }, .outside = { "server-0" } });
    CHECK(partition.separates("server-0", "daemon-0"));
    CHECK_FALSE(partition.separates("daemon-0", "server-1"));
    CHECK_FALSE(partition.separates("daemon-1", "server-0"));
    CHECK_FALSE(partition.separates("daemon-0", "store"));
}

TEST_CASE("a proxy holds back the bytes of clients that are cut off only, until the cut ends")
{
    ProxyFixture fixture;
    const auto cut = fixture.partition.add({ .inside = { "daemon-0" } });
    for (tcp::socket& client : fixture.clients)
        asio::write(client, asio::buffer("order", 5));
    CHECK(fixture.arrived(0) == 0);
    CHECK(fixture.arrived(1) == 5);
    fixture.partition.remove(cut);
    CHECK(fixture.arrived(0) == 5);
}

TEST_CASE("bytes that a cut has held back are dropped with their connection")
{
    ProxyFixture fixture;
    const auto cut = fixture.partition.add({ .inside = { "daemon-0" } });
    asio::write(fixture.clients[0], asio::buffer("order", 5));
    CHECK(fixture.arrived(0) == 0);
    fixture.proxy.resetCutConnections();
    fixture.partition.remove(cut);
    CHECK(fixture.arrived(0) == 0);
    asio::write(fixture.clients[1], asio::buffer("order", 5));
    CHECK(fixture.arrived(1) == 5);
    boost::system::error_code error;
    std::array<char, 1> byte {};
    asio::read(fixture.clients[0], asio::buffer(byte), error);
    CHECK(error == asio::error::connection_reset);
}

TEST_CASE("the process that has a connection is found by its descriptors")
{
    ProxyFixture fixture;
    const std::string link = socketLink(fixture.firstPort(), fixture.port);
    CHECK_FALSE(link.empty());
    CHECK(hasDescriptor(getpid(), link));
    CHECK_FALSE(hasDescriptor(getppid(), link));
    CHECK_FALSE(hasDescriptor(0, link));
    CHECK_FALSE(hasDescriptor(getpid(), ""));
    CHECK(socketLink(fixture.firstPort(), 1).empty());
}

TEST_CASE("datagrams are forwarded unless their sender is cut off")
{
    asio::io_context context;
    udp::socket target(context, udp::endpoint(loopback, 0));
    udp::socket sender(context, udp::endpoint(loopback, 0));
    const std::uint16_t port = target.local_endpoint().port();
    bool blocked = true;
    std::uint16_t seenPort = 0;
    const DatagramProxy proxy(context, "127.0.0.2", port, [&](std::uint16_t senderPort) {
        seenPort = senderPort;
        return blocked;
    });
    const udp::endpoint translated(asio::ip::make_address("127.0.0.2"), port);
    sender.send_to(asio::buffer("beat", 4), translated);
    context.run_for(100ms);
    CHECK(seenPort == sender.local_endpoint().port());
    CHECK(target.available() == 0);
    blocked = false;
    sender.send_to(asio::buffer("beat", 4), translated);
    context.run_for(100ms);
    CHECK(target.available() > 0);
}
