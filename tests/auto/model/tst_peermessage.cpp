#include "model/peermessage.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace WisteriaHill::Model;

namespace {

Heartbeat sampleHeartbeat()
{
    Heartbeat heartbeat { .host = EntryHostId("akl-1"),
        .zone = AvailabilityZoneId("akl"),
        .incarnation = 77,
        .sequence = 5,
        .phase = HostPhase::Ready,
        .address = { "127.0.0.1", 9000 },
        .revision = 12 };
    heartbeat.servers.push_back(
        { .server = BackendServerId("akl-w1"), .incarnation = 3, .leaving = true, .free = 0xf0 });
    heartbeat.drains.push_back({ .server = BackendServerId("akl-w2"), .drained = true, .counter = 4 });
    heartbeat.hint = PeerHint { EntryHostId("wlg-1"), { "127.0.0.2", 9001 } };
    return heartbeat;
}

} // namespace

TEST_CASE("a heartbeat keeps its fields when it is encoded and decoded")
{
    const auto decoded = decodeHeartbeat(encodeHeartbeat(sampleHeartbeat()));
    REQUIRE(decoded);
    CHECK(decoded->host.value() == "akl-1");
    CHECK(decoded->revision == 12);
    CHECK(decoded->servers.at(0).leaving);
    CHECK(decoded->servers.at(0).free == 0xf0);
    CHECK(decoded->drains.at(0).drained);
    CHECK(decoded->hint->address.port == 9001);
}

TEST_CASE("a heartbeat that is too large for a datagram is shortened")
{
    Heartbeat heartbeat = sampleHeartbeat();
    heartbeat.servers.resize(5000, heartbeat.servers.front());
    const std::string bytes = encodeHeartbeat(heartbeat);
    CHECK(bytes.size() <= maximumHeartbeatBytes);
    CHECK(decodeHeartbeat(bytes));
}

TEST_CASE("malformed datagrams are rejected and never crash the decoder")
{
    const std::string good = encodeHeartbeat(sampleHeartbeat());
    CHECK_FALSE(decodeHeartbeat(""));
    CHECK_FALSE(decodeHeartbeat(good + "x"));
    CHECK(rc::check("cut short", [&]() {
        const auto length = *rc::gen::inRange<std::size_t>(0, good.size());
        RC_ASSERT(!decodeHeartbeat(good.substr(0, length)));
    }));
    CHECK(rc::check("changed bytes never crash", [&]() {
        std::string bytes = good;
        const auto changes = *rc::gen::inRange(1, 6);
        for (int change = 0; change < changes; ++change)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        (void)decodeHeartbeat(bytes);
        (void)decodePeerRequest(bytes);
        (void)decodePeerReply(bytes);
    }));
    CHECK(rc::check("any bytes never crash", [](const std::string& bytes) {
        (void)decodeHeartbeat(bytes);
        (void)decodePeerRequest(bytes);
        (void)decodePeerReply(bytes);
    }));
}

TEST_CASE("a peer message with an excessive length field is rejected")
{
    std::string bytes = encodePeerRequest(CancelOwnedJob { JobId("j") });
    const std::size_t lengthOffset = bytes.size() - 1 - sizeof(std::uint64_t);
    for (std::size_t index = 0; index < sizeof(std::uint64_t); ++index)
        bytes[lengthOffset + index] = '\x7f';
    CHECK_FALSE(decodePeerRequest(bytes));
}
