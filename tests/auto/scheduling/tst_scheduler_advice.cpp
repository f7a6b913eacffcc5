// Tickets of the placement advice: how many servers a call names, from when tickets count, and when they end.

#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

/// A job with work and room must not have nothing running for longer.
constexpr Duration standstillLimit = 3s;

using ValidityStart = FakeAdvisor::ValidityStart;

/// A bench with 40 servers of 8 accelerators.
SchedulerBench::Options fortyServers() { return { .serversPerRack = 20 }; }

} // namespace

TEST_CASE("a calm advised queue takes one call of 30 servers for a job")
{
    SchedulerBench bench(fortyServers());
    FakeAdvisor& advisor = bench.useAdvisor({ .decisionTime = 200ms, .timePerServer = 20ms, .ticketValidity = 3000ms });
    bench.run(2s);
    for (int number = 0; number < 5; ++number) {
        const std::string id = "job-" + std::to_string(number);
        bench.submit(id, "advised", { makeStep(4, 4, 2s) });
        CHECK(bench.runUntil(id, JobState::Completed, 5s));
        CHECK(advisor.calls[id] == 1);
    }
    CHECK(advisor.serversNamed == 5 * 30);
}

// Guards against LOST: a task was started on and on with the ticket of its server's former life.
TEST_CASE("a ticket ends with the life of its server")
{
    SchedulerBench bench({});
    FakeAdvisor& advisor
        = bench.useAdvisor({ .decisionTime = 100ms, .timePerServer = 10ms, .ticketValidity = 40'000ms });
    for (std::size_t index = 1; index < bench.serverCount(); ++index)
        advisor.denied.insert(bench.server(index).entry.id);
    bench.run(2s);
    bench.submit("job", "advised", { makeStep(1, 4, 5s) });
    REQUIRE(bench.runUntilActive("job", 1, standstillLimit));
    bench.server(0).alive = false;
    bench.run(1500ms);
    bench.server(0).restart();
    bench.server(0).alive = true;
    bench.putEntry(bench.server(0));
    CHECK(bench.runUntil("job", JobState::Completed, 15s));
    CHECK(advisor.rejectedStarts <= 2);
}

// Guards against a start that is repeated without a new reason.
TEST_CASE("a rejected ticket is not used again, and servers that go on rejecting are asked about less often")
{
    SchedulerBench bench({});
    FakeAdvisor& advisor = bench.useAdvisor({ .decisionTime = 100ms, .timePerServer = 10ms, .ticketValidity = 3000ms });
    advisor.rejectsTickets = true;
    bench.run(2s);
    bench.submit("job", "advised", { makeStep(1, 4, 5s) });
    bench.run(20s);
    CHECK(advisor.rejectedStarts <= 60);
    advisor.rejectsTickets = false;
    CHECK(bench.runUntil("job", JobState::Completed, 20s));
}
