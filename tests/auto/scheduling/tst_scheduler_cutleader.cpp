// A leader that is cut off from the store, alone or together with some of the servers: work must neither run twice nor
// end for lack of a renewal.

#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

constexpr Duration longWork = 5min;
constexpr std::size_t daemons = 3;

/// Cuts a leader off from the store, the other daemons and all servers but `kept`, and the other daemons from `kept`.
void cutOffWith(SchedulerBench& bench, std::size_t leader, const FakeServer& kept)
{
    bench.isolate(leader);
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        const std::string& id = bench.server(index).entry.id;
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            if ((daemon == leader) != (id == kept.entry.id))
                bench.cut(daemon, id);
        }
    }
}

void cutOffFromAllServers(SchedulerBench& bench, std::size_t daemon)
{
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.cut(daemon, bench.server(index).entry.id);
}

/// Starts a job of two long tasks on one server and returns the server.
FakeServer& startPair(SchedulerBench& bench)
{
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(2, 1, longWork) });
    REQUIRE(bench.runUntilActive("job", 2, 1s));
    bench.run(2s);
    FakeServer& server = bench.serverRunning("job");
    REQUIRE(server.active.size() == 2);
    return server;
}

void endOneTask(FakeServer& server)
{
    const TaskName task = server.active.begin()->first;
    server.end(task, RunEnd::Done);
}

} // namespace

TEST_CASE("an end that a cut-off leader cannot store does not let its successor start a running task again")
{
    for (Duration untilEnd = 200ms; untilEnd <= 9s; untilEnd += 400ms) {
        SchedulerBench bench({ .daemons = static_cast<int>(daemons) });
        FakeServer& server = startPair(bench);
        cutOffWith(bench, bench.leader(), server);
        bench.run(untilEnd);
        endOneTask(server);
        bench.run(30s - untilEnd);
        bench.heal();
        bench.run(5s);
        INFO("the end comes " << untilEnd.count() << " ms after the cut");
        CHECK(bench.violations().empty());
        CHECK(bench.activeTasks("job") == 1);
    }
}

// The server was not polled until the end was stored, so its lease was not renewed either.
TEST_CASE("an end that cannot be stored does not cost the other runs of its server their lease")
{
    SchedulerBench bench({});
    FakeServer& server = startPair(bench);
    bench.store.down = true;
    bench.run(200ms);
    endOneTask(server);
    bench.run(7300ms);
    bench.store.down = false;
    bench.run(2s);
    CHECK(bench.activeTasks("job") == 1);
    CHECK(bench.startsOf("job") == 2);
}

TEST_CASE("a former leader starts nothing on a server that has forgotten its successor's token")
{
    for (Duration untilRestart = 1200ms; untilRestart <= 7s; untilRestart += 400ms) {
        SchedulerBench bench({ .daemons = static_cast<int>(daemons) });
        bench.run(2s);
        const std::size_t former = bench.leader();
        for (std::size_t index = 0; index < bench.serverCount(); ++index)
            bench.server(index).startsToDelay = 1;
        bench.submit("job", "ordinary", { makeStep(1, 1, longWork) });
        bench.run(100ms); // the start is ordered and has no answer
        bench.isolate(former);
        cutOffFromAllServers(bench, former);
        for (std::size_t index = 0; index < bench.serverCount(); ++index)
            bench.server(index).startsToDelay = 0;
        bench.run(untilRestart);
        std::size_t ordered = 0;
        while (ordered < bench.serverCount() && bench.server(ordered).active.empty())
            ++ordered;
        if (ordered == bench.serverCount())
            continue; // the successor has not started the task yet
        FakeServer& server = bench.server(ordered);
        server.restart();
        bench.heal();
        cutOffWith(bench, former, server);
        bench.run(25s);
        INFO("the server restarts " << untilRestart.count() << " ms after the cut");
        CHECK(bench.violations().empty());
    }
}

// A restarted server has forgotten the attempt, and takes a lease end by its former clock for a full lease.
TEST_CASE("a late start on the next life of its server does not run beside its successor")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 2 });
    bench.run(2s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).startsToDelay = 1;
    bench.submit("job", "ordinary", { makeStep(1, 1, longWork) });
    REQUIRE(bench.runUntilActive("job", 1, 3s)); // by the second order
    FakeServer& server = bench.serverRunning("job");
    const auto [task, run] = *server.active.begin();
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).startsToDelay = 0;
    bench.run(500ms);
    server.restart();
    for (int ticks = 0; ticks < 400 && bench.startsOf("job") < 2; ++ticks)
        bench.run(10ms);
    server.handle(
        StartOrder { .task = task, .attempt = run.attempt, .leaseEnd = ServerTime(500'000), .token = 1 }, {}, longWork);
    bench.run(2s);
    CHECK(bench.violations().empty());
    CHECK(bench.activeTasks("job") == 1);
}
