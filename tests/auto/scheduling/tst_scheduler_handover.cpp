// Silent servers, hand-overs between leaders, paused leaders and unreadable rows: work must neither run twice nor be
// given up.

#include "support/schedulerbench.h"

#include "scheduling/rowcodec.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

/// One percent of the progress of a run of this time takes longer than the stall time-out.
constexpr Duration slowWork = 10min;
/// One percent takes 3 s.
constexpr Duration longWork = 5min;

void killLeader(SchedulerBench& bench)
{
    const std::size_t leader = bench.leader();
    bench.killDaemon(leader);
    bench.startDaemon(leader);
}

/// Cuts a leader off from the store, the other daemons and the second rack, and the other daemons from the first rack.
void cutOffWithFirstRack(SchedulerBench& bench, std::size_t leader, std::size_t daemons)
{
    bench.isolate(leader);
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        const ServerEntry& entry = bench.server(index).entry;
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            if ((daemon == leader) != (entry.rack == "rack-0"))
                bench.cut(daemon, entry.id);
        }
    }
}

} // namespace

TEST_CASE("a run whose progress takes long to show is not stopped again and again")
{
    struct Case {
        Duration declared;
        int mostStarts; ///< of two tasks
    };
    // With a wrong or missing declaration a slow run cannot be told from a stalled one at first.
    const Case given = GENERATE(Case { slowWork, 2 }, Case { 0ms, 4 }, Case { 3s, 4 });
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(2, 1, given.declared) });
    bench.setRunTime("job", slowWork);
    REQUIRE(bench.runUntilActive("job", 2, 1s));
    bench.run(40s);
    CHECK(bench.activeTasks("job") == 2);
    CHECK(bench.startsOf("job") <= given.mostStarts);
}

TEST_CASE("work on a server that was silent for less than its lease goes on")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, longWork) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    bench.run(5s);
    FakeServer& silent = bench.serverRunning("job");
    for (int time = 0; time < 3; ++time) {
        silent.reachable = false;
        bench.run(3s);
        silent.reachable = true;
        bench.run(2s);
    }
    CHECK(bench.activeTasks("job") == 1);
    CHECK(bench.startsOf("job") == 1);
}

// The server of any new entry was taken for the later life of its machine, so the runs of the present one were given
// up.
TEST_CASE("a late entry of a machine's earlier life does not end the runs of its present server")
{
    const bool unreachable = GENERATE(true, false);
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, longWork) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    bench.run(2s);
    FakeServer& present = bench.serverRunning("job");
    present.reachable = !unreachable;
    bench.run(500ms);
    bench.putEntryOfEarlierLife(present);
    bench.run(4500ms);
    present.reachable = true;
    bench.run(3s);
    CHECK(bench.activeTasks("job") == 1);
    CHECK(bench.startsOf("job") == 1);
    CHECK(bench.violations().empty());
}

TEST_CASE("a leader that was paused without a successor stops no work when it goes on")
{
    SchedulerBench bench({ .daemons = 1 });
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(6, 1, longWork) });
    REQUIRE(bench.runUntilActive("job", 6, 1s));
    for (int time = 0; time < 3; ++time) {
        bench.run(3300ms);
        bench.pauseDaemon(0);
        bench.run(4s);
        bench.resumeDaemon(0);
    }
    bench.run(3s);
    CHECK(bench.activeTasks("job") == 6);
    CHECK(bench.startsOf("job") == 6);
}

TEST_CASE("a leader that was paused orders no upkeep after its permission has expired")
{
    for (int delay = 0; delay < 40; ++delay) {
        SchedulerBench bench({});
        bench.run(2s);
        bench.requestUpkeep(1, { 0, 1, 2, 3, 4, 5, 6, 7 }, 2, 20s);
        bench.run(2500ms + 70ms * delay);
        const std::size_t first = bench.leader();
        REQUIRE(first < 2);
        bench.pauseDaemon(first);
        bench.run(4s);
        bench.resumeDaemon(first);
        bench.run(2s);
        INFO("paused after " << 70 * delay << " ms of the wave");
        CHECK(bench.violations().empty());
    }
}

TEST_CASE("two leaders around a hand-over start no task twice")
{
    for (int delay = 0; delay < 12; ++delay) {
        SchedulerBench bench({ .daemons = 3 });
        bench.run(2s);
        for (int job = 0; job < 12; ++job)
            bench.submit("job-" + std::to_string(job), "ordinary", { makeStep(6, 1, 1500ms) });
        bench.run(30ms * delay);
        const std::size_t first = bench.leader();
        bench.pauseDaemon(first);
        bench.run(1600ms + 20ms * delay);
        bench.resumeDaemon(first);
        for (int job = 0; job < 12; ++job)
            CHECK(bench.runUntil("job-" + std::to_string(job), JobState::Completed, 20s));
        CHECK(bench.violations().empty());
    }
}

// A former leader renewed the leases of servers that were cut off with it, and its successor started their runs again.
TEST_CASE("no run that a leader keeps alive behind a cut is started again by its successor")
{
    const Duration work = GENERATE(8s, 9s, 11s, 14s, 60s);
    SchedulerBench bench({});
    bench.run(2s);
    for (int job = 0; job < 4; ++job)
        bench.submit("job-" + std::to_string(job), "ordinary", { makeStep(4, 1, work) });
    for (int job = 0; job < 4; ++job)
        REQUIRE(bench.runUntilActive("job-" + std::to_string(job), 4, 1s));
    cutOffWithFirstRack(bench, bench.leader(), 2);
    bench.run(20s);
    CHECK(bench.violations().empty());
    bench.heal();
    bench.run(3s);
    for (int job = 0; job < 4; ++job)
        CHECK(bench.runUntil("job-" + std::to_string(job), JobState::Completed, work + 3s));
    CHECK(bench.violations().empty());
}

// The successor of a successor did not know of the first leader, which still renewed leases behind its cut.
TEST_CASE("no run that a leader keeps alive behind a cut is started again after two hand-overs")
{
    const bool graceful = GENERATE(true, false);
    SchedulerBench bench({ .daemons = 3 });
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(16, 1, 60s) });
    REQUIRE(bench.runUntilActive("job", 16, 1s));
    const std::size_t first = bench.leader();
    cutOffWithFirstRack(bench, first, 3);
    bench.run(3s);
    const std::size_t second = bench.successorOf(first);
    if (graceful)
        bench.stopDaemon(second);
    else
        bench.killDaemon(second);
    bench.startDaemon(second);
    bench.run(17s);
    CHECK(bench.activeTasks("job") == 16);
    CHECK(bench.violations().empty());
}

TEST_CASE("a former leader that was started again delays no work of servers that are lost")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 4s) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    FakeServer& lost = bench.serverRunning("job");
    lost.alive = false;
    bench.removeEntry(lost);
    const std::size_t former = bench.leader();
    bench.killDaemon(former);
    bench.run(1500ms);
    REQUIRE(bench.leader() != former);
    bench.startDaemon(former);
    CHECK(bench.runUntil("job", JobState::Completed, 12s)); // a lease, a look at the server and the work
    CHECK(bench.startsOf("job") == 2);
}

TEST_CASE("a leader that starts again uses neither a server that left nor one that drains")
{
    SchedulerBench bench({ .daemons = 1 });
    bench.run(2s);
    FakeServer& left = bench.server(0);
    FakeServer& draining = bench.server(1);
    bench.removeEntry(left);
    draining.entry.draining = true;
    bench.putEntry(draining);
    bench.run(1s);
    killLeader(bench);
    bench.run(3s);
    bench.submit("job", "ordinary", { makeStep(48, 1, 1s) });
    REQUIRE(bench.runUntil("job", JobState::Completed, 10s));
    CHECK(left.done.empty());
    CHECK(draining.done.empty());
}

// A new leader went on after the newest occurrence with a row, and showed the job as completed.
TEST_CASE("occurrences that wait while a later one runs are not lost with the leader")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 1 });
    bench.run(2s);
    bench.submit("blocker", "ordinary", { makeStep(1, 8, 14s) });
    REQUIRE(bench.runUntilActive("blocker", 1, 1s));
    bench.submitScheduled("job", { makeStep(1, 8, 3s) }, 3, 1s, 5500ms);
    bench.run(15500ms); // the newest occurrence is the only one that can be on time
    REQUIRE(bench.server(0).active.contains({ "job", 2, 0, 0 }));
    killLeader(bench);
    REQUIRE(bench.runUntil("job", JobState::Completed, 20s));
    CHECK(bench.startsOf("job") == 3);
    CHECK(bench.server(0).done.contains({ "job", 0, 0, 0 }));
    CHECK(bench.server(0).done.contains({ "job", 1, 0, 0 }));
}

// Rows are read in the order of their keys, in which occurrence 10 comes before occurrence 2.
TEST_CASE("a job with many occurrences is not shown as completed before all of them have ended")
{
    SchedulerBench bench({ .daemons = 1 });
    bench.run(2s);
    bench.killDaemon(0);
    bench.submitScheduled("job", { makeStep(1, 8, 1s) }, 12, 0s, 1ms);
    for (int index = 0; index < 12; ++index) {
        const bool done = index < 2 || index >= 10;
        Occurrence occurrence { .index = index };
        occurrence.steps.resize(1);
        occurrence.steps[0].tasks.push_back(
            { .phase = done ? TaskPhase::Done : TaskPhase::Waiting, .attempts = 1, .failures = done ? 0 : 1 });
        bench.store.put({ StoreTable::progress, StoreTable::schedulerPartition, progressKey("job", index) },
            encodeProgress(occurrence));
    }
    bench.startDaemon(0);
    REQUIRE(bench.runUntil("job", JobState::Completed, 10s));
    CHECK(bench.startsOf("job") == 8);
}

TEST_CASE("an unreadable leadership row does not leave the fleet without a leader")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("before", "ordinary", { makeStep(1, 1, 500ms) });
    REQUIRE(bench.runUntil("before", JobState::Completed, 3s));
    bench.killDaemon(0);
    bench.killDaemon(1);
    bench.store.put(Leadership::rowKey(), "neither a holder nor a term");
    bench.startDaemon(0);
    bench.startDaemon(1);
    bench.run(3s);
    bench.submit("after", "ordinary", { makeStep(1, 1, 500ms) });
    CHECK(bench.runUntil("after", JobState::Completed, 5s));
}

TEST_CASE("a job with an unreadable row does not run again, and other jobs are served")
{
    const bool stateRow = GENERATE(true, false);
    SchedulerBench bench({ .daemons = 1 });
    bench.run(2s);
    StepSpecification second = makeStep(1, 1, 60s);
    second.prerequisites = { 0 };
    bench.submit("job", "ordinary", { makeStep(2, 1, 500ms), second });
    bench.run(1500ms);
    REQUIRE(bench.startsOf("job") == 3);
    bench.killDaemon(0);
    if (stateRow)
        bench.store.put({ StoreTable::states, StoreTable::schedulerPartition, "job" }, "\x01garbage");
    else
        bench.store.put({ StoreTable::progress, StoreTable::schedulerPartition, progressKey("job", 0) }, "garbage");
    bench.startDaemon(0);
    bench.run(5s);
    bench.submit("next", "ordinary", { makeStep(1, 1, 500ms) });
    CHECK(bench.runUntil("next", JobState::Completed, 5s));
    CHECK(bench.startsOf("job") == 3);
}

TEST_CASE("gang members that wait at the end of their work for slower members are not stopped")
{
    SchedulerBench bench({});
    bench.run(2s);
    StepSpecification gang = makeStep(2, 8, 2s);
    gang.gang = true;
    bench.submit("job", "ordinary", { gang });
    REQUIRE(bench.runUntilActive("job", 2, 1s));
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).health = ServerHealth::WaitsAtEnd;
    bench.run(12s);
    CHECK(bench.activeTasks("job") == 2);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).health = ServerHealth::Healthy;
    CHECK(bench.runUntil("job", JobState::Completed, 2s));
    CHECK(bench.startsOf("job") == 2);
}

TEST_CASE("a leader without a successor goes on after a long time without the store")
{
    const bool silent = GENERATE(true, false);
    SchedulerBench bench({ .daemons = 1 });
    bench.run(2s);
    for (int job = 0; job < 60; ++job)
        bench.submit("job-" + std::to_string(job), "ordinary", { makeStep(8, 1, Duration(500 + 100 * job)) });
    bench.run(1s);
    if (silent)
        bench.isolate(0);
    else
        bench.store.down = true;
    bench.run(8s);
    bench.heal();
    bench.store.down = false;
    for (int job = 0; job < 60; ++job)
        CHECK(bench.runUntil("job-" + std::to_string(job), JobState::Completed, 90s));
    CHECK(bench.violations().empty());
}

// The stored run named the server alone, so that a new leader did not know which machine's next life proves its end.
TEST_CASE("a new leader starts the runs again of a machine that came back as another server before its election")
{
    SchedulerBench bench({ .maximumLease = 10s });
    bench.run(2s);
    StepSpecification lasting = makeStep(1, 1, 4s);
    lasting.longRunning = true;
    bench.submit("job", "ordinary", { lasting });
    bench.setRunTime("job", 3600s);
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    bench.run(1s);
    FakeServer& server = bench.serverRunning("job");
    bench.killDaemon(bench.leader());
    server.restart();
    bench.removeEntry(server);
    server.entry.id += "-next";
    bench.putEntry(server);
    CHECK(bench.runUntilActive("job", 1, 5s));
    bench.run(10s);
    CHECK(bench.activeTasks("job") == 1);
    CHECK(bench.startsOf("job") == 2);
    CHECK(bench.violations().empty());
}

TEST_CASE("a new leader leaves runs alone on a server without an entry that no later life of its machine replaces")
{
    SchedulerBench bench({ .maximumLease = 10s });
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, longWork) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    FakeServer& server = bench.serverRunning("job");
    bench.killDaemon(bench.leader());
    bench.removeEntry(server);
    bench.putEntryOfEarlierLife(server);
    bench.run(6s);
    bench.putEntry(server);
    bench.run(3s);
    CHECK(bench.activeTasks("job") == 1);
    CHECK(bench.startsOf("job") == 1);
    CHECK(bench.violations().empty());
}
