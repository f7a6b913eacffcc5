#include "scheduling/peers.h"
#include "scheduling/storeroute.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace WisteriaHill::Scheduling;
using namespace std::chrono_literals;

namespace {

PeerHeartbeat makeHeartbeat(const std::string& node, bool storeReachable)
{
    return { .node = node,
        .address = "10.0.0.2",
        .heartbeatPort = 7000,
        .relayPort = 8000,
        .incarnation = 1,
        .storeReachable = storeReachable,
        .pending = { { "h /p/", 3 } } };
}

struct RouteBench {
    Effects effects;
    SteadyTime now { 1000s };
    PeerDirectory peers { this->effects, { .node = "self" }, [this]() { return this->now; } };
    StoreRoute route { this->effects, { .address = "10.0.0.1", .port = 80 }, "self" };
};

} // namespace

TEST_CASE("heartbeats survive encoding and decoding, and truncated bytes are rejected")
{
    const PeerHeartbeat heartbeat = makeHeartbeat("a", true);
    const auto read = decodePeerHeartbeat(encodePeerHeartbeat(heartbeat));
    REQUIRE(read);
    CHECK(read->node == "a");
    CHECK(read->pending == heartbeat.pending);
    const std::string bytes = encodePeerHeartbeat(heartbeat);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodePeerHeartbeat(bytes.substr(0, length)));
    CHECK(rc::check([](const std::string& other) { decodePeerHeartbeat(other); }));
}

TEST_CASE("store calls are relayed while the direct route fails, and are direct again afterwards")
{
    RouteBench bench;
    bench.peers.handleHeartbeat(makeHeartbeat("helper", true), bench.now);
    const StoreEndpoint direct = bench.route.choose(bench.peers, bench.now);
    CHECK(direct.relay.empty());
    bench.route.report(direct, false, bench.now);
    CHECK(bench.route.choose(bench.peers, bench.now).relay.empty()); // one lost answer is not an outage
    bench.route.report(direct, false, bench.now);
    CHECK(bench.route.choose(bench.peers, bench.now).relay == "helper");
    bench.now += 600ms;
    bench.peers.handleHeartbeat(makeHeartbeat("helper", true), bench.now);
    CHECK(bench.route.probeIsDue(bench.now));
    CHECK_FALSE(bench.route.probeIsDue(bench.now));
    for (int call = 0; call < 20; ++call) // client calls do not test whether the direct route works again
        CHECK(bench.route.choose(bench.peers, bench.now + Duration(100 * call)).relay == "helper");
    bench.route.report(direct, true, bench.now);
    CHECK(bench.route.choose(bench.peers, bench.now).relay.empty());
}

TEST_CASE("the store counts as failing when all routes have failed for a while, and not before")
{
    RouteBench bench;
    const StoreEndpoint direct = bench.route.choose(bench.peers, bench.now);
    bench.route.report(direct, true, bench.now);
    for (int failure = 0; failure < 3; ++failure)
        bench.route.report(direct, false, bench.now);
    CHECK_FALSE(bench.route.isFailing(bench.now + 100ms));
    CHECK(bench.route.isFailing(bench.now + 1s));
    bench.route.report(direct, true, bench.now + 1s);
    CHECK_FALSE(bench.route.isFailing(bench.now + 1s));
}

TEST_CASE("daemons that cannot reach the store either are not used as relays")
{
    RouteBench bench;
    bench.peers.handleHeartbeat(makeHeartbeat("helpless", false), bench.now);
    const StoreEndpoint direct = bench.route.choose(bench.peers, bench.now);
    bench.route.report(direct, false, bench.now);
    bench.route.report(direct, false, bench.now);
    CHECK(bench.route.choose(bench.peers, bench.now).relay.empty());
}

TEST_CASE("daemons that lose the store together spread over the daemons that reach it")
{
    std::set<std::string> relays;
    for (const char* node : { "a", "b", "c", "d", "e", "f", "g", "h" }) {
        RouteBench bench;
        StoreRoute route(bench.effects, { .address = "10.0.0.1", .port = 80 }, node);
        for (const char* helper : { "w", "x", "y", "z" })
            bench.peers.handleHeartbeat(makeHeartbeat(helper, true), bench.now);
        route.report({ .address = "10.0.0.1", .port = 80 }, false, bench.now);
        route.report({ .address = "10.0.0.1", .port = 80 }, false, bench.now);
        relays.insert(route.choose(bench.peers, bench.now).relay);
    }
    CHECK(relays.size() >= 3);
}

TEST_CASE("calls are relayed through small hosts only when no large one reaches the store")
{
    RouteBench bench;
    for (const char* node : { "a", "b", "c", "d", "e", "f", "g", "h" }) {
        PeerHeartbeat heartbeat = makeHeartbeat(node, true);
        heartbeat.processorShare = *node == 'd' || *node == 'f' ? 0.5 : 0.12;
        bench.peers.handleHeartbeat(heartbeat, bench.now);
    }
    const StoreEndpoint direct = bench.route.choose(bench.peers, bench.now);
    bench.route.report(direct, false, bench.now);
    bench.route.report(direct, false, bench.now);
    const StoreEndpoint first = bench.route.choose(bench.peers, bench.now);
    CHECK((first.relay == "d" || first.relay == "f"));
    bench.route.report(first, false, bench.now);
    const StoreEndpoint second = bench.route.choose(bench.peers, bench.now);
    CHECK((second.relay == "d" || second.relay == "f"));
    CHECK(second.relay != first.relay);
    for (const char* node : { "d", "f" }) {
        PeerHeartbeat heartbeat = makeHeartbeat(node, false);
        heartbeat.processorShare = 0.5;
        bench.peers.handleHeartbeat(heartbeat, bench.now);
    }
    CHECK_FALSE(bench.route.choose(bench.peers, bench.now).relay.empty());
}

TEST_CASE("a relay that fails is replaced by another one")
{
    RouteBench bench;
    bench.peers.handleHeartbeat(makeHeartbeat("first", true), bench.now);
    bench.peers.handleHeartbeat(makeHeartbeat("second", true), bench.now);
    const StoreEndpoint direct = bench.route.choose(bench.peers, bench.now);
    bench.route.report(direct, false, bench.now);
    bench.route.report(direct, false, bench.now);
    const StoreEndpoint relay = bench.route.choose(bench.peers, bench.now);
    bench.route.report(relay, false, bench.now);
    const StoreEndpoint other = bench.route.choose(bench.peers, bench.now);
    CHECK_FALSE(other.relay.empty());
    CHECK(other.relay != relay.relay);
}

TEST_CASE("a daemon whose wall clock jumped does not move the agreed time")
{
    const Peer right { .heartbeat = { .wallOffset = 1000 } };
    const Peer close { .heartbeat = { .wallOffset = 1010 } };
    CHECK(agreedWallOffset(Duration(3400), { &right, &close }) == 1010ms);
    CHECK(agreedWallOffset(Duration(1005), {}) == 1005ms);
}

// A member that was silent for long got no more heartbeats, and its unchanged row did not count as a sign of life.
TEST_CASE("daemons that were cut off from each other for long hear each other again")
{
    struct Host {
        explicit Host(MemberRow self, const SteadyTime& now)
            : peers(this->effects, std::move(self), [&now]() { return now; })
        {
        }
        Effects effects;
        PeerDirectory peers;
    };
    SteadyTime now { 1000s };
    Host first({ .node = "a", .address = "10.0.0.1", .heartbeatPort = 1, .incarnation = 1 }, now);
    Host second({ .node = "b", .address = "10.0.0.2", .heartbeatPort = 1, .incarnation = 2 }, now);
    const auto answerStoreCalls = [&](Host& host) {
        host.peers.tick(now);
        while (!host.effects.empty()) {
            const Effect effect = host.effects.pop();
            RowPage page;
            for (const Host* member : { &first, &second })
                page.rows.push_back({ .key = { StoreTable::members, "", member->peers.own().node },
                    .value = encodeMember(member->peers.own()) });
            if (const auto* read = std::get_if<ReadCall>(&effect))
                read->done(page);
            else if (const auto* commit = std::get_if<CommitCall>(&effect))
                commit->done(Committed { .version = 1 });
        }
    };
    int heard = 0;
    const auto run = [&](Duration time, bool cut) {
        const SteadyTime end = now + time;
        while (now < end) {
            now += 1s;
            answerStoreCalls(first);
            answerStoreCalls(second);
            for (const auto& [sender, receiver] : { std::pair(&first, &second), std::pair(&second, &first) }) {
                if (sender->peers.takeDestinations(now).empty() || cut)
                    continue;
                receiver->peers.handleHeartbeat({ .node = sender->peers.own().node,
                                                    .address = sender->peers.own().address,
                                                    .heartbeatPort = 1,
                                                    .incarnation = sender->peers.own().incarnation },
                    now);
                ++heard;
            }
        }
    };
    run(20s, false);
    run(Duration(GENERATE(25'000, 32'000, 600'000)), true);
    run(15s, false);
    heard = 0;
    run(10s, false);
    CHECK(heard == 20);
}

// Only the first page of the table was read.
TEST_CASE("members on all pages of the table are found")
{
    RouteBench bench;
    constexpr int pages = 3;
    const auto rowOf = [](int number) {
        const std::string node = "node-" + std::to_string(number);
        return Row { .key = { StoreTable::members, "", node },
            .value = encodeMember({ .node = node, .zone = "z", .address = "10.0.0.2", .heartbeatPort = 7000 }) };
    };
    std::vector<std::string> begins;
    for (int step = 0; step < 100 && begins.size() < pages; ++step) {
        bench.now += 100ms;
        bench.peers.tick(bench.now);
        while (!bench.effects.empty()) {
            const Effect effect = bench.effects.pop();
            if (const auto* commit = std::get_if<CommitCall>(&effect))
                commit->done(Committed { 1 });
            const auto* read = std::get_if<ReadCall>(&effect);
            if (!read)
                continue;
            const int page = static_cast<int>(begins.size());
            begins.push_back(read->range.from);
            read->done(RowPage { .rows = { rowOf(page) }, .more = page + 1 < pages });
        }
    }
    CHECK(begins == std::vector<std::string> { "", keyAfter("node-0"), keyAfter("node-1") });
    CHECK(bench.peers.takeDestinations(bench.now).size() == pages);
}
