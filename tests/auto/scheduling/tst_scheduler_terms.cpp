// Two terms of one daemon: what was asked for in the first is not taken for an answer in the second.

#include "scheduling/scheduler.h"
#include "support/fakestore.h"
#include "support/schedulerbench.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;
using WisteriaHill::Utils::Event;

namespace {

constexpr Duration step { 10 };
constexpr const char* jobId = "0123456789abcdef";

/// A scheduler whose orders to its only server are kept, so that a test answers them when it wants.
struct TermsBench {
    TermsBench()
    {
        FleetConfiguration configuration { .version = 1 };
        configuration.queues.push_back({ .name = "cut",
            .host = "mill.example",
            .pathPrefix = "/cut/",
            .service = "scoring",
            .maximumAttempts = 3 });
        configuration.services.push_back({ .name = "scoring" });
        configuration.accounts.push_back({ .name = "mill", .keys = { "key" } });
        this->storeClock.addSample(StoreTime(1'000'000), this->now);
        this->scheduler.setConfiguration(std::make_shared<const FleetConfiguration>(configuration));
        this->store.put({ "servers", "", "server" }, "ready");
        this->store.put({ StoreTable::jobs, StoreTable::intakePartition, jobId },
            encodeJob({ .id = jobId,
                .host = "mill.example",
                .pathPrefix = "/cut/",
                .account = "mill",
                .acceptedAt = this->storeClock.at(this->now),
                .specification = { .payload = "round", .steps = { makeStep(1, 1, 60s) } } }));
    }

    void perform(Effect effect)
    {
        if (const auto* commit = std::get_if<CommitCall>(&effect))
            commit->done(this->store.commit(commit->transaction));
        else if (const auto* read = std::get_if<ReadCall>(&effect))
            read->done(this->store.read(read->range));
        else if (auto* order = std::get_if<ServerCall>(&effect))
            this->orders.push_back(std::move(*order));
        else if (const auto* line = std::get_if<LogLine>(&effect))
            this->termsLost += line->event == Event::LeadershipLost ? 1 : 0;
    }

    void performAll()
    {
        while (!this->scheduler.pendingEffects().empty())
            this->perform(this->scheduler.pendingEffects().pop());
    }

    void run(Duration time)
    {
        for (const SteadyTime end = this->now + time; this->now < end; this->now += step) {
            this->scheduler.tick(this->now, this->storeClock.at(this->now));
            this->performAll();
        }
    }

    /// Takes the newest kept order of this kind out; fails when there is none.
    template <typename Order> ServerCall take()
    {
        for (auto call = this->orders.rbegin(); call != this->orders.rend(); ++call) {
            if (!std::holds_alternative<Order>(call->order))
                continue;
            ServerCall taken = std::move(*call);
            this->orders.erase(std::next(call).base());
            return taken;
        }
        FAIL("no such order was sent");
        return {};
    }

    template <typename Order> bool hasSent() const
    {
        return std::ranges::any_of(
            this->orders, [](const ServerCall& call) { return std::holds_alternative<Order>(call.order); });
    }

    void answer(const ServerCall& call, const OrderResult& result)
    {
        call.done(result);
        this->performAll();
    }

    /// Lets another daemon lead and release the leadership, so that this one begins its next term at once.
    void beginNextTerm()
    {
        const ReadResult read
            = this->store.read({ .table = StoreTable::leadership, .partition = StoreTable::schedulerPartition });
        const Row row = std::get<RowPage>(read).rows.at(0);
        const FencingToken term = this->scheduler.leadership().term() + 1;
        this->store.put(row.key, encodeLeadership({ .term = term, .serial = 1000, .leftoversRemoved = true }));
        this->scheduler.leadership().handleLeaderHeartbeat("other", term, this->now);
        REQUIRE_FALSE(this->scheduler.leadership().isLeader());
        this->scheduler.leadership().handleLeaderStepDown(term, this->now);
        this->run(200ms);
        REQUIRE(this->scheduler.leadership().isLeader());
        REQUIRE(this->scheduler.leadership().term() == term + 1);
    }

    PollAnswer idleServer() const { return { .clock = ServerTime(5000), .startedAt = 77 }; }

    SteadyTime now { 1000s };
    FakeStore store;
    StoreClock storeClock;
    std::vector<ServerCall> orders;
    int termsLost = 0;
    Scheduler scheduler { { .leadership = { .node = "daemon", .incarnation = 1 },
                              .servers = { .maximumLease = 6s, .stopTime = 200ms },
                              .serverTable = "servers" },
        [](const Row& row) -> std::optional<ServerEntry> {
            return ServerEntry { .id = row.key.key,
                .service = "scoring",
                .address = "10.0.0.1",
                .port = 80,
                .rack = "rack",
                .machine = "machine",
                .capacity = { .milliCores = 128'000, .memoryMb = 512'000, .accelerators = 8 } };
        },
        [this]() { return this->now; }, this->storeClock };
};

} // namespace

TEST_CASE("an answer to a poll of an earlier term of the same process is not taken for one of the present term")
{
    TermsBench bench;
    bench.run(500ms);
    const ServerCall earlier = bench.take<PollOrder>();
    bench.beginNextTerm();
    const ServerCall present = bench.take<PollOrder>();
    REQUIRE(std::get<PollOrder>(present.order).token > std::get<PollOrder>(earlier.order).token);

    bench.answer(earlier, bench.idleServer());
    bench.run(400ms);
    CHECK_FALSE(bench.hasSent<StartOrder>()); // the server has not seen the token of this term

    bench.answer(present, bench.idleServer());
    bench.run(400ms);
    CHECK(bench.hasSent<StartOrder>());
}

TEST_CASE("a start of an earlier term of the same process that its server refuses does not end the present term")
{
    TermsBench bench;
    bench.run(500ms);
    bench.answer(bench.take<PollOrder>(), bench.idleServer());
    bench.run(400ms);
    const ServerCall earlier = bench.take<StartOrder>();
    bench.beginNextTerm();
    REQUIRE(bench.termsLost == 1);
    bench.answer(bench.take<PollOrder>(), bench.idleServer()); // the server has seen the token of this term now
    bench.answer(earlier, OrderRefusal::Fenced);
    bench.run(100ms);
    CHECK(bench.termsLost == 1);
    CHECK(bench.scheduler.leadership().isLeader());
}
