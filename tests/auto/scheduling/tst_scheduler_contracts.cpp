// Placement advice, upkeep waves, pacing, evacuation and long-running tasks.

#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

constexpr Duration longRunTime = 2h;

StepSpecification longRunningStep(int count, int maximumMissing)
{
    StepSpecification step = makeStep(count, 1, longRunTime);
    step.longRunning = true;
    step.maximumMissing = maximumMissing;
    return step;
}

} // namespace

TEST_CASE("an advised step runs only where the advice allows it")
{
    SchedulerBench bench({});
    bench.advisedServers = { "server-1-2", "server-0-1" };
    bench.run(2s);
    bench.submit("job", "advised", { makeStep(4, 4, 1000ms) });
    REQUIRE(bench.runUntilActive("job", 4, 2s));
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        if (!bench.server(index).active.empty())
            CHECK(bench.advisedServers.contains(bench.server(index).entry.id));
    }
    CHECK(bench.adviceCalls == 1); // one request about all servers; the answer holds for all tasks of the step
    CHECK(bench.runUntil("job", JobState::Completed, 3s));
}

TEST_CASE("a job that is cancelled while its advice call is open does no harm")
{
    SchedulerBench bench({});
    bench.advisedServers = { "server-0-1" };
    bench.adviceDelay = 1500ms;
    bench.run(1000ms);
    bench.submit("cancelled", "advised", { makeStep(1, 1, 500ms) });
    bench.run(300ms);
    REQUIRE(bench.adviceCalls == 1);
    bench.cancel("cancelled");
    bench.run(2000ms); // the job's occurrences are removed before the answer arrives
    bench.submit("next", "advised", { makeStep(1, 1, 500ms) });
    CHECK(bench.runUntil("next", JobState::Completed, 6000ms));
    CHECK(bench.startsOf("cancelled") == 0);
}

TEST_CASE("a step that the advice allows on no server waits without repeated requests")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "advised", { makeStep(1, 1, 1000ms) });
    bench.run(5s);
    CHECK(bench.startsOf("job") == 0);
    CHECK(bench.adviceCalls == 1);
}

TEST_CASE("an upkeep wave evacuates each machine first, keeps to its limit and reports its completion correctly")
{
    SchedulerBench bench({});
    bench.run(2s);
    StepSpecification saving = makeStep(16, 2, 6s);
    saving.savesProgress = true;
    bench.submit("job", "ordinary", { saving });
    REQUIRE(bench.runUntilActive("job", 16, 1s));
    bench.requestUpkeep(1, { 0, 1, 2, 3 }, 2, 20s);
    bench.run(3s);
    CHECK(bench.waveStatus(1) == "running");
    bench.run(15s);
    CHECK(bench.waveStatus(1) == "completed");
    CHECK(bench.maximumMachinesDown == 2);
    CHECK(bench.violations().empty());
    CHECK(bench.runUntil("job", JobState::Completed, 20s));
}

TEST_CASE("a new leader continues an upkeep wave and takes no machine down twice")
{
    SchedulerBench bench({ .daemons = 3 });
    bench.run(2s);
    bench.requestUpkeep(7, { 0, 1, 2, 3 }, 1, 30s);
    bench.run(5s);
    bench.killDaemon(bench.leader());
    bench.run(40s);
    CHECK(bench.waveStatus(7) == "completed");
    CHECK(bench.maximumMachinesDown == 1);
}

// The permission was asked when the order was queued for its connection, which opened after another daemon had taken
// over.
TEST_CASE("an upkeep order that waits for its connection is not sent once another daemon may lead")
{
    SchedulerBench bench({ .daemons = 2 });
    bench.run(2s);
    bench.requestUpkeep(1, { 0 }, 1, 30s);
    bench.holdsUpkeepCalls = true;
    for (int round = 0; round < 500 && bench.heldUpkeepCalls() == 0; ++round)
        bench.run(10ms);
    REQUIRE(bench.heldUpkeepCalls() == 1);
    const std::size_t former = bench.leader();
    bench.pauseDaemon(former);
    bench.holdsUpkeepCalls = false;
    bench.run(8s);
    REQUIRE(bench.leader() != former);
    REQUIRE(bench.maximumMachinesDown == 1);
    bench.resumeDaemon(former);
    bench.sendHeldUpkeepCalls();
    bench.run(10s);
    CHECK(bench.waveStatus(1) == "completed");
    CHECK(bench.violations().empty());
}

// Only the first page of the table was read.
TEST_CASE("an upkeep wave after many others is carried out")
{
    constexpr int rowsPerPage = 500;
    SchedulerBench bench({});
    bench.run(2s);
    for (int wave = 1; wave <= rowsPerPage; ++wave)
        bench.requestUpkeep(1000 + wave, {}, 1, 20s);
    bench.requestUpkeep(9000, { 0 }, 1, 20s);
    bench.run(15s);
    CHECK(bench.waveStatus(9000) == "completed");
    CHECK(bench.maximumMachinesDown == 1);
}

TEST_CASE("upkeep stops no more long-running tasks than their step may miss")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 6 });
    bench.run(2s);
    StepSpecification step = longRunningStep(4, 1);
    step.maximumPerServer = 1;
    bench.submit("serving", "ordinary", { step });
    REQUIRE(bench.runUntilActive("serving", 4, 1s));
    bench.requestUpkeep(1, { 0, 1, 2, 3, 4, 5 }, 3, 60s);
    for (int round = 0; round < 300; ++round) {
        bench.run(100ms);
        CHECK(bench.activeTasks("serving") >= 3);
    }
    CHECK(bench.waveStatus(1) == "completed");
}

TEST_CASE("long-running tasks are started again however they end")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("serving", "ordinary", { longRunningStep(2, 1) });
    REQUIRE(bench.runUntilActive("serving", 2, 1s));
    for (int round = 0; round < 5; ++round) {
        FakeServer& server = bench.serverRunning("serving");
        server.health = ServerHealth::FailsAll;
        bench.run(300ms);
        server.health = ServerHealth::Healthy;
        CHECK(bench.runUntilActive("serving", 2, 3s));
    }
    CHECK(bench.storedState("serving") == JobState::Running);
}

TEST_CASE("tasks that fill idle capacity are slowed before they disturb a serving task for long, and sped up again")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 1 });
    bench.run(2s);
    StepSpecification serving = longRunningStep(1, 0);
    serving.latencyTarget = 100ms;
    bench.submit("serving", "ordinary", { serving });
    StepSpecification filling = makeStep(4, 1, 60s);
    filling.fillsIdleCapacity = true;
    bench.submit("filling", "background", { filling });
    REQUIRE(bench.runUntilActive("filling", 4, 1s));
    FakeServer& server = bench.server(0);
    server.latencyPerFillerMs = 50; // 210 ms in all at full pace
    bench.run(4s); // longest time that the disturbance may last
    int slowed = 0;
    for (const auto& [name, percent] : server.paces)
        slowed += percent < 100 ? 1 : 0;
    CHECK(slowed == 4);
    CHECK(server.paces.begin()->second <= 50);
    server.latencyPerFillerMs = 0;
    bench.run(8s);
    CHECK(server.paces.begin()->second == 100);
}

TEST_CASE("a run that saves its progress leaves a draining server before the server goes")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 2 });
    bench.run(2s);
    StepSpecification saving = makeStep(1, 8, 30s);
    saving.savesProgress = true;
    bench.submit("job", "ordinary", { saving });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    FakeServer& leaving = bench.serverRunning("job");
    leaving.entry.draining = true;
    leaving.entry.drainRemaining = 3000ms;
    bench.putEntry(leaving);
    bench.run(3200ms);
    CHECK(leaving.active.empty());
    CHECK(bench.activeTasks("job") == 1);
}

TEST_CASE("the occurrences of a scheduled job start when they are due and never before")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submitScheduled("job", { makeStep(1, 1, 300ms) }, 3, 1500ms, 1000ms);
    bench.run(1300ms);
    CHECK(bench.startsOf("job") == 0);
    bench.run(700ms);
    CHECK(bench.startsOf("job") == 1);
    CHECK(bench.runUntil("job", JobState::Completed, 4s));
    CHECK(bench.startsOf("job") == 3);
}
