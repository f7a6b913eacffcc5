#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

TEST_CASE("a job of one step runs and is shown as completed")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(3, 2, 1000ms) });
    CHECK(bench.runUntil("job", JobState::Completed, 2s));
    CHECK(bench.startsOf("job") == 3);
    CHECK(bench.violations().empty());
}

TEST_CASE("a step starts after the steps that it waits for are done")
{
    SchedulerBench bench({});
    bench.run(2s);
    StepSpecification second = makeStep(2, 1, 500ms);
    second.prerequisites = { 0 };
    bench.submit("job", "ordinary", { makeStep(2, 1, 1000ms), second });
    bench.run(900ms);
    CHECK(bench.activeTasks("job") == 2);
    CHECK(bench.startsOf("job") == 2);
    CHECK(bench.runUntil("job", JobState::Completed, 2s));
    CHECK(bench.startsOf("job") == 4);
}

TEST_CASE("a cancelled job is stopped and nothing of it starts again")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(8, 4, 20s) });
    REQUIRE(bench.runUntilActive("job", 8, 1s));
    bench.cancel("job");
    bench.run(600ms);
    CHECK(bench.activeTasks("job") == 0);
    CHECK(bench.storedState("job") == JobState::Cancelled);
    const int starts = bench.startsOf("job");
    bench.run(3s);
    CHECK(bench.startsOf("job") == starts);
}

TEST_CASE("a job whose task keeps failing is failed after its attempts and not before")
{
    SchedulerBench bench({});
    bench.run(2s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).health = ServerHealth::FailsAll;
    bench.submit("job", "ordinary", { makeStep(1, 1, 1000ms) });
    CHECK(bench.runUntil("job", JobState::Failed, 5s));
    CHECK(bench.startsOf("job") == 3);
}

TEST_CASE("a gang starts whole; when a member fails, all of it starts again under one attempt")
{
    SchedulerBench bench({});
    bench.run(2s);
    StepSpecification gang = makeStep(4, 8, 2000ms);
    gang.gang = true;
    bench.submit("job", "ordinary", { gang });
    REQUIRE(bench.runUntilActive("job", 4, 1s));
    FakeServer& failing = bench.serverRunning("job");
    failing.health = ServerHealth::FailsAll;
    bench.run(1000ms);
    failing.health = ServerHealth::Healthy;
    CHECK(bench.runUntil("job", JobState::Completed, 8s));
    CHECK(bench.startsOf("job") == 8);
    CHECK(bench.violations().empty());
}

TEST_CASE("a draining server gets no new runs, and the ones it has go on")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 2 });
    bench.run(2s);
    bench.submit("old", "ordinary", { makeStep(1, 8, 3000ms) });
    REQUIRE(bench.runUntilActive("old", 1, 1s));
    FakeServer& draining = bench.serverRunning("old");
    draining.entry.draining = true;
    bench.putEntry(draining);
    bench.run(600ms);
    bench.submit("new", "ordinary", { makeStep(2, 4, 1000ms) });
    REQUIRE(bench.runUntilActive("new", 2, 1s));
    for (const auto& [name, task] : draining.active)
        CHECK(name.jobId == "old");
    CHECK(bench.runUntil("old", JobState::Completed, 4s));
    CHECK(bench.startsOf("old") == 1);
}
