// Backend servers whose capacity changes while they run, and that do not enforce it.

#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

/// Until the scheduler has read a changed entry.
constexpr Duration entryDelay { 600 };

void setAccelerators(SchedulerBench& bench, std::size_t index, std::int64_t accelerators)
{
    bench.server(index).entry.capacity.accelerators = accelerators;
    bench.putEntry(bench.server(index));
    bench.run(entryDelay);
    bench.server(index).startsOverCapacity = 0;
}

} // namespace

TEST_CASE("nothing starts on a server whose capacity has shrunk until there is room, and its runs go on")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 1 });
    bench.server(0).enforcesCapacity = false;
    bench.run(2s);
    bench.submit("early", "ordinary", { makeStep(6, 1, 5s) });
    REQUIRE(bench.runUntilActive("early", 6, 1s));
    setAccelerators(bench, 0, 2);
    bench.submit("late", "ordinary", { makeStep(4, 1, 500ms) });
    bench.run(2s);
    CHECK(bench.activeTasks("early") == 6);
    CHECK(bench.activeTasks("late") == 0);
    CHECK(bench.runUntil("early", JobState::Completed, 5s));
    CHECK(bench.startsOf("early") == 6);
    bench.run(200ms);
    CHECK(bench.activeTasks("late") == 2);
    setAccelerators(bench, 0, 8);
    CHECK(bench.runUntil("late", JobState::Completed, 2s));
    CHECK(bench.server(0).startsOverCapacity == 0);
}

TEST_CASE("urgent work waits for the room that a shrunk server lacks, and what is being stopped still counts")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 1, .stopTime = 900ms });
    bench.server(0).enforcesCapacity = false;
    bench.run(2s);
    bench.submit("ordinary", "background", { makeStep(8, 1, 20s) });
    REQUIRE(bench.runUntilActive("ordinary", 8, 1s));
    setAccelerators(bench, 0, 4);
    bench.submit("urgent", "urgent", { makeStep(2, 1, 500ms) });
    CHECK(bench.runUntil("urgent", JobState::Completed, 5s));
    CHECK(bench.server(0).startsOverCapacity == 0);
}

TEST_CASE("a start that had no answer is not repeated on a server that has become too small for it")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 1 });
    bench.server(0).enforcesCapacity = false;
    bench.run(2s);
    bench.submit("early", "ordinary", { makeStep(4, 1, 8s) });
    REQUIRE(bench.runUntilActive("early", 4, 1s));
    bench.server(0).startsToDelay = 2;
    bench.submit("late", "ordinary", { makeStep(2, 1, 500ms) });
    bench.run(100ms);
    bench.server(0).entry.capacity.accelerators = 4;
    bench.putEntry(bench.server(0));
    bench.run(5s);
    CHECK(bench.server(0).startsOverCapacity == 0);
    CHECK(bench.runUntil("late", JobState::Completed, 10s));
    CHECK(bench.violations().empty());
}
