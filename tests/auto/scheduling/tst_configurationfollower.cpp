#include "scheduling/configurationfollower.h"
#include "support/fakestore.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

const RowKey document { "op", "", "config" };

struct FollowerBench {
    Effects effects;
    SteadyTime now { 1000s };
    FakeStore store;
    std::vector<std::int64_t> applied;
    std::vector<WatchCall> watches;
    ConfigurationFollower follower { this->effects, document,
        [](const std::string& text) -> std::variant<FleetConfiguration, ConfigurationError> {
            if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos)
                return ConfigurationError { "no number" };
            return FleetConfiguration { .version = std::stoll(text) };
        },
        [this]() { return this->now; } };

    FollowerBench()
    {
        this->follower.onApplied(
            [this](const auto& configuration) { this->applied.push_back(configuration->version); });
    }

    /// Returns the number of reads.
    int settle()
    {
        int reads = 0;
        this->follower.tick(this->now);
        while (!this->effects.empty()) {
            Effect effect = this->effects.pop();
            if (const auto* read = std::get_if<ReadCall>(&effect)) {
                ++reads;
                read->done(this->store.read(read->range));
            } else if (auto* watch = std::get_if<WatchCall>(&effect))
                this->watches.push_back(std::move(*watch));
        }
        this->now += 200ms;
        return reads;
    }

    void answerWatches()
    {
        for (const WatchCall& watch : std::exchange(this->watches, {}))
            watch.done(this->store.changes(watch.table, watch.after));
    }
};

} // namespace

TEST_CASE("newer versions of the configuration are applied and an older one is not")
{
    FollowerBench bench;
    bench.settle();
    CHECK(bench.applied.empty());
    bench.store.put(document, "4");
    bench.settle();
    bench.store.put(document, "7");
    bench.settle();
    bench.answerWatches();
    bench.store.put(document, "5");
    bench.settle();
    bench.answerWatches();
    CHECK(bench.applied == std::vector<std::int64_t> { 4, 7 });
}

TEST_CASE("a newer version on another daemon is read within 200 ms while the watch has no answer")
{
    FollowerBench bench;
    bench.store.put(document, "4");
    bench.settle();
    bench.store.put(document, "9");
    bench.follower.handlePeerVersion(9, bench.now);
    bench.now += 200ms;
    bench.settle(); // the watch has not answered
    CHECK(bench.follower.inForce()->version == 9);
}

TEST_CASE("an unreadable document leaves the previous version in force")
{
    FollowerBench bench;
    bench.store.put(document, "4");
    bench.settle();
    bench.store.put(document, "garbage");
    bench.settle();
    bench.answerWatches();
    bench.settle();
    CHECK(bench.follower.inForce()->version == 4);
}

TEST_CASE("the document is read again when the store has compacted its history")
{
    FollowerBench bench;
    bench.store.put(document, "4");
    bench.settle();
    bench.settle();
    bench.store.put(document, "6");
    bench.store.compactedUpTo = bench.store.version();
    bench.answerWatches();
    bench.settle();
    CHECK(bench.follower.inForce()->version == 6);
}

TEST_CASE("a document that only other daemons can read is not requested again and again")
{
    FollowerBench bench;
    bench.store.put(document, "4");
    bench.settle();
    bench.store.put(document, "a newer format");
    int reads = 0;
    for (int heartbeat = 0; heartbeat < 40; ++heartbeat) {
        bench.follower.handlePeerVersion(9, bench.now);
        reads += bench.settle();
    }
    CHECK(reads <= 2);
    bench.store.put(document, "10");
    bench.follower.handlePeerVersion(10, bench.now);
    bench.now += 200ms;
    bench.settle();
    CHECK(bench.follower.inForce()->version == 10);
}
