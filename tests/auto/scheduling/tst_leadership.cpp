#include "scheduling/leadership.h"

#include <catch2/catch.hpp>
#include <variant>

using namespace WisteriaHill::Scheduling;
using namespace std::chrono_literals;

namespace {

constexpr Duration tick = 10ms;
constexpr Duration electionBound = 3s;

/// A daemon that claims the leadership row of a store that answers at once.
struct LeadershipBench {
    explicit LeadershipBench(LeadershipRow stored)
        : row(std::move(stored))
    {
        this->leadership.setClock([this]() { return this->now; });
        this->leadership.onElected([](SteadyTime) {});
    }

    /// Runs until the daemon leads; returns how long it took.
    Duration elect()
    {
        const SteadyTime begin = this->now;
        while (!this->leadership.isLeader() && this->now < begin + electionBound)
            this->step();
        REQUIRE(this->leadership.isLeader());
        return std::chrono::duration_cast<Duration>(this->now - begin);
    }

    void step()
    {
        this->now += tick;
        this->storeNow += tick;
        this->leadership.tick(this->now);
        while (!this->effects.empty())
            this->execute(this->effects.pop());
    }

    void execute(const Effect& effect)
    {
        if (const auto* read = std::get_if<ReadCall>(&effect)) {
            this->storeClock.addSample(this->storeNow, this->now);
            read->done(RowPage { .rows = { { .key = Leadership::rowKey(),
                                     .value = encodeLeadership(this->row),
                                     .version = this->version } } });
        } else if (const auto* commit = std::get_if<CommitCall>(&effect)) {
            this->row = *decodeLeadership(commit->transaction.writes.front().value);
            ++this->version;
            if (this->claimsWithoutAnswer-- > 0)
                commit->done(StoreError::Unknown);
            else
                commit->done(Committed { .version = this->version });
        }
    }

    Duration formerLeadersRenewFor() const
    {
        return std::chrono::duration_cast<Duration>(this->leadership.formerLeadersUntil() - this->now);
    }

    Effects effects;
    StoreClock storeClock;
    SteadyTime now { 1000s };
    StoreTime storeNow { 1'000'000 };
    LeadershipRow row;
    RowVersion version = 1;
    int claimsWithoutAnswer = 0;
    Leadership leadership { this->effects, { .node = "own", .incarnation = 7 }, this->storeClock };
};

LeadershipRow rowOfFormerLeader() { return { .holder = "former", .incarnation = 1, .term = 1, .serial = 1 }; }

} // namespace

TEST_CASE("a leadership row from an earlier clock of the store does not delay lost work without bound")
{
    LeadershipRow row = rowOfFormerLeader();
    row.formerLeadersUntil = StoreTime(90'000'000);
    LeadershipBench bench(row);
    bench.elect();
    CHECK(bench.formerLeadersRenewFor() <= LeadershipOptions().unconfirmedRenewal);
}

TEST_CASE("a late sample of the store's clock does not shorten the wait for former leaders in the row")
{
    LeadershipBench bench(rowOfFormerLeader());
    bench.elect();
    const StoreTime claimed = bench.leadership.nextRow().formerLeadersUntil;
    bench.storeClock.addSample(bench.storeNow - StoreTime(3000), bench.now);
    CHECK(bench.leadership.nextRow().formerLeadersUntil == claimed);
}

TEST_CASE("a claim of the leadership whose answer was lost costs no second term")
{
    LeadershipBench bench(rowOfFormerLeader());
    bench.claimsWithoutAnswer = 1;
    const Duration untilElection = bench.elect();
    CHECK(untilElection < 1500ms);
    CHECK(bench.leadership.term() == 2);
    bench.leadership.handlePeerHeartbeat("former", false, 2, bench.now);
    CHECK(bench.formerLeadersRenewFor() <= 0ms);
}

TEST_CASE("a former leader does not take its own row for an answered claim")
{
    LeadershipBench bench(rowOfFormerLeader());
    bench.elect();
    bench.leadership.stepDown(bench.now, "test");
    bench.elect();
    CHECK(bench.leadership.term() == 3);
}

TEST_CASE("a leader that stops does not report that the store has not confirmed it")
{
    LeadershipBench bench(rowOfFormerLeader());
    bench.elect();
    const SteadyTime expired = bench.now + LeadershipOptions().unconfirmedRenewal;
    CHECK_FALSE(bench.leadership.renewalsHaveExpired(bench.now));
    CHECK(bench.leadership.renewalsHaveExpired(expired));
    CHECK_FALSE(bench.leadership.mayRenewLeases(expired));
    bench.leadership.withdraw();
    CHECK_FALSE(bench.leadership.mayRenewLeases(bench.now));
    CHECK_FALSE(bench.leadership.renewalsHaveExpired(bench.now));
    CHECK_FALSE(bench.leadership.renewalsHaveExpired(expired));
}
