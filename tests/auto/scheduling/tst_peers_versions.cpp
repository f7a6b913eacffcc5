// Daemons of two versions of the peers' protocol beside each other, as in a rolling upgrade.

#include "model/versionedcodec.h"
#include "scheduling/peers.h"

#include <catch2/catch.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <memory>

using namespace WisteriaHill::Scheduling;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t previousVersion = 4;
constexpr std::size_t largest = 60'000;

/// A heartbeat as the previous release defines it.
struct FormerHeartbeat {
    std::string node, zone, address;
    std::uint16_t heartbeatPort = 0, relayPort = 0;
    std::uint64_t incarnation = 0;
    std::int64_t configurationVersion = 0;
    FencingToken term = 0;
    bool leading = false, scheduling = false, leaving = false, storeReachable = false;
    std::int64_t wallOffset = 0;
    std::map<std::string, std::int64_t> pending;
    std::vector<ReportedSuccess> successes;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->node, this->zone, this->address, this->heartbeatPort, this->relayPort, this->incarnation,
            this->configurationVersion, this->term, this->leading, this->scheduling, this->leaving,
            this->storeReachable, this->wallOffset, this->pending, this->successes);
    }
};

std::string encodeFormer(const FormerHeartbeat& heartbeat)
{
    return WisteriaHill::Model::encodeVersioned(heartbeat, previousVersion);
}

std::optional<FormerHeartbeat> decodeFormer(const std::string& bytes)
{
    return WisteriaHill::Model::decodeVersioned<FormerHeartbeat>(bytes, largest, previousVersion);
}

const FormerHeartbeat former { .node = "a",
    .zone = "z",
    .address = "10.0.0.1",
    .heartbeatPort = 7,
    .relayPort = 8,
    .incarnation = 9,
    .configurationVersion = 10,
    .term = 11,
    .leading = true,
    .scheduling = true,
    .storeReachable = true,
    .wallOffset = -12,
    .pending = { { "h /p/", 3 } },
    .successes = { { "job.0.0.0", 1, "server" } } };

/// A daemon of either version, with what it sends on the wire.
struct Host {
    Host(const std::string& node, bool isFormer, std::uint64_t incarnation, const SteadyTime& now)
        : node(node)
        , isFormer(isFormer)
        , incarnation(incarnation)
        , now(now)
        , peers(this->effects, { .node = node, .incarnation = incarnation }, [&now]() { return now; })
    {
    }

    std::vector<std::string> messagesFor(const std::string& peer) const
    {
        if (this->isFormer)
            return { encodeFormer({ .node = this->node, .incarnation = this->incarnation }) };
        const PeerHeartbeat own { .node = this->node, .incarnation = this->incarnation, .processorShare = 0.5 };
        std::vector<std::string> messages { encodePeerHeartbeat(own) };
        if (this->peers.needsPreviousVersion(peer))
            messages.push_back(encodePreviousPeerHeartbeat(own));
        return messages;
    }

    void receive(const std::string& bytes)
    {
        if (this->isFormer) {
            if (const auto heartbeat = decodeFormer(bytes))
                this->heard[heartbeat->node] = heartbeat->incarnation;
        } else if (const auto heartbeat = decodePeerHeartbeat(bytes)) {
            if (this->peers.handleHeartbeat(*heartbeat, this->now))
                this->heard[heartbeat->node] = heartbeat->incarnation;
        }
    }

    std::string node;
    bool isFormer;
    std::uint64_t incarnation;
    const SteadyTime& now;
    Effects effects;
    PeerDirectory peers;
    std::map<std::string, std::uint64_t> heard; ///< incarnations by node, in the present round
};

using Hosts = std::vector<std::unique_ptr<Host>>;

/// Each daemon sends one heartbeat to each other one; returns the number of messages. `lose` drops the nth message.
int exchange(Hosts& hosts, int lose = -1)
{
    int messages = 0;
    for (const auto& host : hosts)
        host->heard.clear();
    for (const auto& sender : hosts) {
        for (const auto& receiver : hosts) {
            if (sender == receiver)
                continue;
            for (const std::string& bytes : sender->messagesFor(receiver->node)) {
                if (messages++ != lose)
                    receiver->receive(bytes);
            }
        }
    }
    return messages;
}

void checkAllHeard(const Hosts& hosts)
{
    for (const auto& receiver : hosts) {
        for (const auto& sender : hosts) {
            if (sender == receiver)
                continue;
            INFO(sender->node << " to " << receiver->node);
            REQUIRE(receiver->heard.contains(sender->node));
            CHECK(receiver->heard.at(sender->node) == sender->incarnation);
        }
    }
}

} // namespace

TEST_CASE("a heartbeat of the previous version of the protocol is understood")
{
    const auto read = decodePeerHeartbeat(encodeFormer(former));
    REQUIRE(read);
    CHECK(read->isPreviousVersion);
    CHECK(read->node == "a");
    CHECK(read->relayPort == 8);
    CHECK(read->term == 11);
    CHECK(read->leading);
    CHECK(read->wallOffset == -12);
    CHECK(read->pending == former.pending);
    REQUIRE(read->successes.size() == 1);
    CHECK(read->successes.front().server == "server");
    CHECK(read->processorShare == 0);
    const std::string bytes = encodeFormer(former);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodePeerHeartbeat(bytes.substr(0, length)));
    CHECK_FALSE(decodePeerHeartbeat(bytes + "x"));
    CHECK_FALSE(decodePeerHeartbeat(WisteriaHill::Model::encodeVersioned(former, previousVersion - 1)));
}

TEST_CASE("a daemon of the previous version of the protocol understands what is sent to it")
{
    const auto read = decodeFormer(encodePreviousPeerHeartbeat(
        { .node = "b", .incarnation = 5, .term = 6, .leading = true, .processorShare = 0.5 }));
    REQUIRE(read);
    CHECK(read->node == "b");
    CHECK(read->incarnation == 5);
    CHECK(read->term == 6);
    CHECK(read->leading);
}

TEST_CASE("all daemons hear each other while one after the other is replaced by one of the next version, and back")
{
    const bool isDowngrade = GENERATE(false, true);
    SteadyTime now { 1000s };
    std::uint64_t incarnation = 0;
    Hosts hosts;
    for (const char* node : { "a", "b", "c", "d" })
        hosts.push_back(std::make_unique<Host>(node, !isDowngrade, ++incarnation, now));
    for (std::size_t replaced = 0; replaced <= hosts.size(); ++replaced) {
        for (int round = 0; round < 3; ++round) {
            now += 200ms;
            exchange(hosts);
            checkAllHeard(hosts);
        }
        if (replaced < hosts.size())
            hosts[replaced] = std::make_unique<Host>(hosts[replaced]->node, isDowngrade, ++incarnation, now);
    }
    CHECK(exchange(hosts) == 12); // a message to each other daemon, and no more
}

TEST_CASE("daemons of one version soon send one message each, whichever of the first messages is lost")
{
    const int lost = GENERATE(range(0, 4));
    SteadyTime now { 1000s };
    Hosts hosts;
    hosts.push_back(std::make_unique<Host>("a", false, 1, now));
    hosts.push_back(std::make_unique<Host>("b", false, 2, now));
    exchange(hosts, lost);
    exchange(hosts);
    checkAllHeard(hosts);
    CHECK(exchange(hosts) == 2);
    checkAllHeard(hosts);
}

TEST_CASE("a heartbeat in the previous version does not take away what one in this version has told")
{
    SteadyTime now { 1000s };
    Effects effects;
    PeerDirectory peers(effects, { .node = "self" }, [&now]() { return now; });
    const PeerHeartbeat heartbeat { .node = "a", .incarnation = 1, .processorShare = 0.5 };
    const PeerHeartbeat previous { .node = "a", .incarnation = 1, .isPreviousVersion = true };
    CHECK(peers.needsPreviousVersion("a"));
    CHECK(peers.handleHeartbeat(previous, now));
    CHECK(peers.needsPreviousVersion("a"));
    CHECK(peers.handleHeartbeat(heartbeat, now));
    CHECK_FALSE(peers.needsPreviousVersion("a"));
    CHECK_FALSE(peers.handleHeartbeat(previous, now));
    CHECK(peers.activeWithin(1s, now).front()->heartbeat.processorShare == 0.5);
    // The daemon is replaced by one of the previous release.
    CHECK(peers.handleHeartbeat({ .node = "a", .incarnation = 2, .isPreviousVersion = true }, now));
    CHECK(peers.needsPreviousVersion("a"));
}
