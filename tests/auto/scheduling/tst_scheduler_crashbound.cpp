// Starts of a task after three servers have crashed under it, however its runs end.

#include "support/schedulerbench.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

constexpr int crashesAllowed = 3;
constexpr int startsAllowed = 2; ///< after the last of them
constexpr Duration runLength = 4s; ///< until a run is disturbed; longer than a start is suspect for

/// The server that runs task `index` of the job's first step.
FakeServer& serverOfTask(SchedulerBench& bench, const std::string& job, int index)
{
    for (std::size_t number = 0; number < bench.serverCount(); ++number) {
        if (bench.server(number).active.contains({ job, 0, 0, index }))
            return bench.server(number);
    }
    throw std::logic_error("the task does not run");
}

void crash(SchedulerBench& bench, FakeServer& server)
{
    server.restart();
    server.alive = false;
    bench.run(3s);
    server.alive = true;
    bench.run(1s);
}

/// Lets the run of the only task of "job" end otherwise than by a crash.
void breakRun(SchedulerBench& bench, bool failed)
{
    FakeServer& server = serverOfTask(bench, "job", 0);
    if (failed) {
        server.health = ServerHealth::FailsAll;
        bench.run(1s);
        server.health = ServerHealth::Healthy;
    } else {
        server.reachable = false;
        bench.run(9s); // longer than the lease
        server.reachable = true;
        bench.run(1s);
    }
}

void replaceLeader(SchedulerBench& bench)
{
    const std::size_t leader = bench.leader();
    bench.killDaemon(leader);
    bench.run(8s);
    bench.startDaemon(leader);
}

/// Crashes three servers under the only task of "job".
void crashThreeTimes(SchedulerBench& bench, Duration afterStart)
{
    for (int round = 0; round < crashesAllowed; ++round) {
        REQUIRE(bench.runUntilActive("job", 1, 20s));
        bench.run(afterStart);
        crash(bench, bench.serverRunning("job"));
    }
}

} // namespace

TEST_CASE("a gang whose members crash servers in turn is started at most twice after three crashes under one of them")
{
    constexpr int members = 3;
    SchedulerBench bench({});
    bench.run(2s);
    StepSpecification gang = makeStep(members, 8, 60s);
    gang.gang = true;
    bench.submit("job", "ordinary", { gang });
    std::array<int, members> crashes {};
    int startsAfter = 0;
    for (int round = 0; bench.runUntilActive("job", members, 20s); ++round) {
        const bool isLast = std::ranges::any_of(crashes, [](int count) { return count >= crashesAllowed; });
        startsAfter += isLast ? 1 : 0;
        REQUIRE(startsAfter <= startsAllowed);
        bench.run(runLength);
        const int member = round % members;
        ++crashes.at(static_cast<std::size_t>(member));
        crash(bench, serverOfTask(bench, "job", member));
    }
    CHECK(bench.storedState("job") == JobState::Failed);
    CHECK(startsAfter == startsAllowed);
    CHECK(bench.violations().empty());
}

TEST_CASE("a task is started at most twice after three crashes, also when its later runs end otherwise")
{
    const bool lasts = GENERATE(false, true);
    const bool fails = GENERATE(false, true); // the later runs
    const bool leaderChanges = GENERATE(false, true);
    CAPTURE(lasts, fails, leaderChanges);
    SchedulerBench bench({});
    bench.run(2s);
    StepSpecification step = makeStep(1, 8, 59s);
    step.longRunning = lasts;
    bench.submit("job", "ordinary", { step });
    crashThreeTimes(bench, runLength);
    int startsAfter = 0;
    while (bench.runUntilActive("job", 1, 20s)) {
        ++startsAfter;
        REQUIRE(startsAfter <= startsAllowed);
        bench.run(runLength);
        breakRun(bench, fails);
        if (leaderChanges)
            replaceLeader(bench);
    }
    CHECK(bench.storedState("job") == JobState::Failed);
    CHECK(startsAfter == startsAllowed);
    CHECK(bench.violations().empty());
}

TEST_CASE("a lasting task that has run for long after three crashes is started again as often as needed")
{
    const bool fails = GENERATE(false, true);
    SchedulerBench bench({});
    bench.run(2s);
    StepSpecification step = makeStep(1, 8, 4s);
    step.longRunning = true;
    bench.submit("job", "ordinary", { step });
    bench.setRunTime("job", 3600s);
    crashThreeTimes(bench, runLength);
    for (int round = 0; round < 5; ++round) {
        REQUIRE(bench.runUntilActive("job", 1, 20s));
        bench.run(round == 0 ? Duration(62s) : runLength);
        breakRun(bench, fails);
    }
    CHECK(bench.runUntilActive("job", 1, 20s));
    CHECK(bench.storedState("job") != JobState::Failed);
}

TEST_CASE("starts that servers refuse do not count after three crashes")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 3 });
    int refusals = 0;
    bench.onLog = [&](std::size_t, const LogLine& line) {
        refusals += line.event == WisteriaHill::Utils::Event::StartRefused ? 1 : 0;
    };
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 8, 20s) });
    crashThreeTimes(bench, runLength);
    REQUIRE(bench.runUntilActive("job", 1, 20s));
    // Their entries state more room than they have.
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        bench.putEntryAsOfNow(bench.server(index));
        bench.server(index).entry.capacity.accelerators = 0;
    }
    breakRun(bench, true);
    bench.run(10s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).entry.capacity.accelerators = 8;
    CHECK(refusals >= startsAllowed);
    CHECK(bench.runUntil("job", JobState::Completed, 40s));
}
