// Gangs of which some members start late or never.

#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

constexpr int members = 3;

/// A gang of three members, each of which takes a whole server.
StepSpecification makeGang()
{
    StepSpecification step = makeStep(members, 8, 20s);
    step.gang = true;
    return step;
}

} // namespace

TEST_CASE("gang members do not wait alone for a member whose start has no answer")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 3 });
    bench.run(2s);
    bench.server(1).startsToDelay = 1000;
    bench.submit("gang", "ordinary", { makeGang() });
    REQUIRE(bench.runUntilActive("gang", members - 1, 1s));
    bench.run(3s);
    CHECK(bench.membersAlone() == 0);
    bench.server(1).startsToDelay = 0;
    CHECK(bench.runUntilActive("gang", members, 3s));
    CHECK(bench.violations().empty());
}

TEST_CASE("servers of gang members are free soon after the server of another member has crashed under its start")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 3 });
    bench.run(2s);
    bench.submit("gang", "ordinary", { makeGang() });
    bench.server(1).alive = false;
    REQUIRE(bench.runUntilActive("gang", members - 1, 1s));
    bench.submit("small", "ordinary", { makeStep(16, 1, 500ms) });
    CHECK(bench.runUntil("small", JobState::Completed, 3s));
    CHECK(bench.membersAlone() == 0);
    bench.run(8s);
    bench.server(1).restart();
    bench.server(1).alive = true;
    CHECK(bench.runUntilActive("gang", members, 3s));
    CHECK(bench.violations().empty());
}

TEST_CASE("gang members do not wait alone while the leadership changes hands")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 3 });
    bench.run(2s);
    bench.server(1).startsToDelay = 1000;
    bench.submit("gang", "ordinary", { makeGang() });
    REQUIRE(bench.runUntilActive("gang", members - 1, 1s));
    bench.run(300ms);
    bench.killDaemon(bench.leader());
    bench.run(4s);
    CHECK(bench.membersAlone() == 0);
    CHECK(bench.violations().empty());
}

TEST_CASE("a new leader does not start a member of a gang whose other members have no runs")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 3 });
    bench.submit("gang", "ordinary", { makeGang() });
    // The former leader stored the end of members 1 and 2, and was about to stop member 0.
    bench.store.put({ StoreTable::progress, StoreTable::schedulerPartition, "gang.0" },
        R"([[[0,1,1,0,"","server-0-0",1,""],[1,0,1,0,""],[2,0,1,0,""]]])");
    REQUIRE(bench.runUntilActive("gang", 1, 3s));
    bench.run(100ms);
    CHECK(bench.activeTasks("gang") == members);
    CHECK(bench.startsOf("gang") == members);
    bench.run(4s);
    CHECK(bench.membersAlone() == 0);
}

TEST_CASE(
    "a gang member whose start was surely not sent to a silent server does not wait for that server's lease to end")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 4 });
    bench.run(2s);
    bench.server(1).reachable = false; // since its latest poll, so that it is still taken for usable
    bench.startsNotSent[bench.server(1).entry.id] = 1000;
    bench.submit("gang", "ordinary", { makeGang() });
    CHECK(bench.runUntilActive("gang", members, 5s));
    CHECK(bench.membersAlone() == 0);
    CHECK(bench.violations().empty());
}

TEST_CASE("a start that was not sent is sent again")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 3 });
    bench.run(2s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.startsNotSent[bench.server(index).entry.id] = 1;
    bench.submit("gang", "ordinary", { makeGang() });
    CHECK(bench.runUntilActive("gang", members, 1s));
    CHECK(bench.startsOf("gang") == members);
    CHECK(bench.membersAlone() == 0);
    CHECK(bench.violations().empty());
}
