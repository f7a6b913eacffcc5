// Failures of backend servers, daemons and the store.

#include "support/schedulerbench.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

/// True when the job is shown as failed and two servers crashed while they ran one of its tasks.
bool mayBeGivenUp(const SchedulerBench& bench, const std::map<TaskName, int>& crashes, const std::string& job)
{
    return bench.storedState(job) == JobState::Failed && std::ranges::any_of(crashes, [&](const auto& entry) {
        return entry.first.jobId == job && entry.second >= 2;
    });
}

} // namespace

TEST_CASE("tasks on a server that fails for good start elsewhere once its lease has expired")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 4000ms) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    FakeServer& gone = bench.serverRunning("job");
    gone.alive = false;
    bench.run(1s);
    bench.removeEntry(gone);
    CHECK(bench.runUntil("job", JobState::Completed, 14s));
    CHECK(bench.startsOf("job") == 2);
}

TEST_CASE("a task on a server that is only unreachable never runs twice at the same time")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 30s) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    FakeServer& cut = bench.serverRunning("job");
    cut.reachable = false;
    bench.removeEntry(cut);
    bench.run(12s);
    CHECK(bench.startsOf("job") == 2);
    cut.reachable = true;
    bench.putEntry(cut);
    bench.run(3s);
    CHECK(bench.activeTasks("job") == 1);
    CHECK(bench.violations().empty());
}

TEST_CASE("a task that was completed on an unreachable server is done once the server is reachable again")
{
    const int tasks = GENERATE(1, 2);
    SchedulerBench bench({});
    bench.run(2s);
    StepSpecification first = makeStep(tasks, 1, 3s);
    first.gang = tasks > 1;
    StepSpecification second = makeStep(1, 1, 500ms);
    second.prerequisites = { 0 };
    bench.submit("job", "ordinary", { first, second });
    REQUIRE(bench.runUntilActive("job", tasks, 1s));
    FakeServer& cut = bench.serverRunning("job");
    cut.reachable = false;
    bench.removeEntry(cut);
    bench.run(5s);
    REQUIRE(cut.active.empty()); // its runs are done, but no daemon has read their end records
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).health = ServerHealth::Stalled;
    bench.run(3s);
    REQUIRE(bench.startsOf("job") == 2 * tasks);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).health = ServerHealth::Healthy;
    cut.reachable = true;
    bench.putEntry(cut);
    CHECK(bench.runUntil("job", JobState::Completed, 2s));
    bench.run(1s);
    CHECK(bench.activeTasks("job") == 0);
}

TEST_CASE("a former leader reports the successes that it could not store to its successor")
{
    SchedulerBench bench({ .daemons = 2 });
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 4s) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    const std::size_t former = bench.leader();
    FakeServer& leaving = bench.serverRunning("job");
    bench.isolate(former);
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        const std::string& id = bench.server(index).entry.id;
        bench.cut(id == leaving.entry.id ? 1 - former : former, id);
    }
    bench.run(5s); // the task is done, and the former leader has read its end record
    REQUIRE(leaving.active.empty());
    leaving.alive = false;
    bench.removeEntry(leaving);
    bench.run(15s); // the former leader may have renewed the lease for a while
    REQUIRE(bench.startsOf("job") == 2);
    bench.heal();
    CHECK(bench.runUntil("job", JobState::Completed, 2s));
}

TEST_CASE("another daemon takes over from a killed leader within two seconds and adopts its runs")
{
    SchedulerBench bench({ .daemons = 3 });
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(4, 1, 5s) });
    REQUIRE(bench.runUntilActive("job", 4, 1s));
    const std::size_t first = bench.leader();
    bench.killDaemon(first);
    bench.run(2s);
    REQUIRE(bench.leader() < 3);
    CHECK(bench.leader() != first);
    bench.submit("next", "ordinary", { makeStep(1, 1, 500ms) });
    CHECK(bench.runUntil("next", JobState::Completed, 2s));
    CHECK(bench.runUntil("job", JobState::Completed, 5s));
    CHECK(bench.startsOf("job") == 4);
    CHECK(bench.violations().empty());
}

TEST_CASE("a leader that was paused past a takeover neither stores nor starts anything")
{
    SchedulerBench bench({ .daemons = 2 });
    bench.run(2s);
    const std::size_t first = bench.leader();
    bench.submit("job", "ordinary", { makeStep(6, 1, 3s) });
    bench.pauseDaemon(first);
    bench.run(3s);
    REQUIRE(bench.leader() != first);
    bench.resumeDaemon(first);
    CHECK(bench.runUntil("job", JobState::Completed, 6s));
    CHECK(bench.startsOf("job") == 6);
    CHECK(bench.violations().empty());
}

TEST_CASE("a transaction whose answer is lost does not cost the leadership")
{
    SchedulerBench bench({});
    bench.run(2s);
    const std::size_t first = bench.leader();
    bench.store.answersToLose = 1;
    bench.submit("job", "ordinary", { makeStep(2, 1, 500ms) });
    CHECK(bench.runUntil("job", JobState::Completed, 4s));
    CHECK(bench.leader() == first);
    CHECK(bench.startsOf("job") == 2);
}

TEST_CASE("runs go on and end while the store is down, and nothing new starts")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(2, 1, 8s) });
    REQUIRE(bench.runUntilActive("job", 2, 1s));
    bench.store.down = true;
    bench.run(7s);
    CHECK(bench.activeTasks("job") == 2);
    bench.run(1500ms);
    bench.store.down = false;
    CHECK(bench.runUntil("job", JobState::Completed, 2s));
    CHECK(bench.startsOf("job") == 2);
}

TEST_CASE("a start that was delayed and refused elsewhere does not run beside its successor")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 2 });
    bench.run(2s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).startsToDelay = 1;
    bench.submit("job", "ordinary", { makeStep(1, 1, 6s) });
    bench.run(2s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).releaseDelayedStarts();
    bench.run(2s);
    CHECK(bench.activeTasks("job") == 1);
    CHECK(bench.violations().empty());
}

TEST_CASE("tasks on a server that restarted under the same id are started again at once")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 3s) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    bench.serverRunning("job").restart();
    CHECK(bench.runUntilActive("job", 1, 2500ms));
    CHECK(bench.runUntil("job", JobState::Completed, 4s));
}

TEST_CASE("end records of a server that restarted unnoticed are not discarded unread")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 1 });
    bench.run(2s);
    bench.submit("first", "ordinary", { makeStep(5, 1, 300ms) });
    REQUIRE(bench.runUntil("first", JobState::Completed, 3s));
    bench.run(1s); // idle, so that no poll detects the restart
    bench.server(0).restart();
    bench.submit("second", "ordinary", { makeStep(3, 1, 300ms) });
    CHECK(bench.runUntil("second", JobState::Completed, 4s));
    CHECK(bench.startsOf("second") == 3);
    CHECK(bench.violations().empty());
}

TEST_CASE("end records of a server that restarted while the store was unavailable are not discarded unread")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 1 });
    bench.run(2s);
    bench.submit("first", "ordinary", { makeStep(5, 1, 300ms) });
    REQUIRE(bench.runUntilActive("first", 5, 1s));
    bench.store.down = true;
    bench.run(1s); // the end records are read but cannot be stored
    bench.server(0).restart();
    bench.store.down = false;
    bench.submit("second", "ordinary", { makeStep(3, 1, 20ms) });
    CHECK(bench.runUntil("second", JobState::Completed, 4s));
    CHECK(bench.startsOf("second") == 3);
    CHECK(bench.violations().empty());
}

TEST_CASE("a delayed start on a server that restarted is not given up")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 2 });
    bench.run(2s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        bench.server(index).restart();
        bench.server(index).startsToDelay = 4;
    }
    bench.submit("job", "ordinary", { makeStep(1, 1, 6s) });
    bench.run(500ms);
    FakeServer& chosen = bench.server(0).startsToDelay < 4 ? bench.server(0) : bench.server(1);
    FakeServer& other = &chosen == &bench.server(0) ? bench.server(1) : bench.server(0);
    other.startsToDelay = 0;
    chosen.entry.draining = true; // a run that is given up is started on the other server
    bench.putEntry(chosen);
    bench.run(1300ms); // the poll that shows the restart has been answered
    chosen.releaseDelayedStarts();
    bench.run(2s);
    CHECK(bench.activeTasks("job") == 1);
    CHECK(bench.violations().empty());
}

TEST_CASE("a server that fails every run does not use up the attempts of a job")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 4 });
    bench.run(2s);
    bench.server(0).health = ServerHealth::FailsAll;
    for (int index = 0; index < 6; ++index)
        bench.submit("job-" + std::to_string(index), "ordinary", { makeStep(2, 4, 1000ms) });
    for (int index = 0; index < 6; ++index)
        CHECK(bench.runUntil("job-" + std::to_string(index), JobState::Completed, 8s));
}

TEST_CASE("a job that failed once is placed on servers with recent successes, not on the next failing one")
{
    SchedulerBench bench({});
    bench.run(2s);
    // Four servers fail every run; runs on the others keep succeeding.
    for (std::size_t index = 0; index < 4; ++index) {
        bench.server(index).entry.draining = true;
        bench.putEntry(bench.server(index));
    }
    bench.run(1s);
    for (int index = 0; index < 12; ++index)
        bench.submit("steady-" + std::to_string(index), "background", { makeStep(8, 1, 800ms) });
    bench.run(1500ms);
    for (std::size_t index = 0; index < 4; ++index) {
        bench.server(index).entry.draining = false;
        bench.server(index).health = ServerHealth::FailsAll;
        bench.putEntry(bench.server(index));
    }
    bench.run(500ms);
    for (int index = 0; index < 4; ++index)
        bench.submit("job-" + std::to_string(index), "ordinary", { makeStep(1, 8, 500ms) });
    for (int index = 0; index < 4; ++index)
        CHECK(bench.runUntil("job-" + std::to_string(index), JobState::Completed, 6s));
}

TEST_CASE("a job whose last attempt waits for a server with recent successes does not delay other jobs")
{
    SchedulerBench bench({});
    bench.run(2s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).health = ServerHealth::FailsAll;
    bench.submit("failing", "ordinary", { makeStep(1, 1, 20s) });
    bench.run(300ms); // has failed twice by now, and no server has a success
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).health = ServerHealth::Healthy;
    bench.submit("other", "background", { makeStep(2, 2, 500ms) });
    CHECK(bench.runUntilActive("other", 2, 500ms));
}

TEST_CASE("a leader that reads its rows during an outage does not flood the store")
{
    SchedulerBench bench({ .daemons = 2 });
    bench.run(2s);
    const std::size_t first = bench.leader();
    bench.submit("job", "ordinary", { makeStep(1, 1, 6s) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    bench.killDaemon(first);
    for (int round = 0; round < 300 && !bench.isElected(1 - first); ++round)
        bench.run(10ms);
    bench.store.down = true;
    const int before = bench.storeReads;
    bench.run(1s);
    CHECK(bench.storeReads - before <= 60); // five tables, ten times a second, and a margin
    bench.store.down = false;
    CHECK(bench.runUntil("job", JobState::Completed, 8s));
}

TEST_CASE("a task whose run makes no progress is started elsewhere")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 2s) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    bench.serverRunning("job").health = ServerHealth::Stalled;
    CHECK(bench.runUntil("job", JobState::Completed, 10s));
}

TEST_CASE("no job is lost when the store has compacted its history")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.store.down = true;
    bench.run(500ms);
    bench.submit("job", "ordinary", { makeStep(1, 1, 500ms) });
    bench.store.compactedUpTo = bench.store.version() + 1;
    bench.store.down = false;
    CHECK(bench.runUntil("job", JobState::Completed, 8s));
}

TEST_CASE("whatever fails in whatever order, every job completes and no task runs twice")
{
    CHECK(rc::check([] {
        SchedulerBench bench({ .daemons = 3, .racks = 2, .serversPerRack = 3 });
        std::map<TaskName, int> crashes; // by task, of servers while they ran it
        bench.run(2s);
        const int jobs = *rc::gen::inRange(2, 6);
        for (int index = 0; index < jobs; ++index) {
            StepSpecification step = makeStep(*rc::gen::inRange(1, 5), *rc::gen::element(1, 2, 4, 8), 1500ms);
            step.gang = *rc::gen::arbitrary<bool>();
            bench.submit("job-" + std::to_string(index),
                *rc::gen::element<std::string>("urgent", "ordinary", "background"), { step });
        }
        const int faults = *rc::gen::inRange(1, 8);
        for (int fault = 0; fault < faults; ++fault) {
            FakeServer& server = bench.server(*rc::gen::inRange<std::size_t>(0, bench.serverCount()));
            const auto daemon = *rc::gen::inRange<std::size_t>(0, 3);
            switch (*rc::gen::inRange(0, 9)) {
            case 0:
                bench.killDaemon(daemon);
                bench.run(700ms);
                bench.startDaemon(daemon);
                break;
            case 1:
                server.reachable = !server.reachable;
                break;
            case 2:
                for (const auto& [name, task] : server.active)
                    ++crashes[name];
                server.restart();
                break;
            case 3:
                server.answersToLose = 2;
                break;
            case 4:
                bench.store.answersToLose = 2;
                break;
            case 5:
                bench.store.down = !bench.store.down;
                break;
            case 6:
                bench.pauseDaemon(daemon);
                bench.run(1800ms);
                bench.resumeDaemon(daemon);
                break;
            case 7:
                server.startsToDelay = 2;
                break;
            case 8:
                bench.cut(daemon, server.entry.id);
                break;
            default:
                break;
            }
            bench.run(Duration(*rc::gen::inRange(50, 2500)));
            server.releaseDelayedStarts();
        }
        bench.store.down = false;
        bench.heal();
        for (std::size_t index = 0; index < bench.serverCount(); ++index)
            bench.server(index).reachable = true;
        for (int index = 0; index < jobs; ++index)
            RC_ASSERT(bench.runUntil("job-" + std::to_string(index), JobState::Completed, 40s)
                || mayBeGivenUp(bench, crashes, "job-" + std::to_string(index)));
        RC_ASSERT(bench.violations() == std::vector<std::string> {});
    }));
}
