// Tasks that crash the servers that start them, and crashes that no task causes.

#include "scheduling/rowcodec.h"
#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

/// A task is given up before a third server is lost.
constexpr int crashesBeforeGivingUp = 2;

/// Crashes that the stored row of a job of one task counts.
int storedCrashes(const SchedulerBench& bench, const std::string& job)
{
    Occurrence occurrence;
    occurrence.steps.resize(1);
    occurrence.steps[0].tasks.resize(1);
    const auto row = bench.store.find({ StoreTable::progress, StoreTable::schedulerPartition, progressKey(job, 0) });
    REQUIRE(row);
    REQUIRE(decodeProgress(*row, occurrence));
    return occurrence.steps[0].tasks[0].crashes;
}

} // namespace

TEST_CASE("a task that crashes each server that starts it is given up before a third server is lost")
{
    const bool startIsAnswered = GENERATE(true, false);
    const Duration downTime = GENERATE(1s, 3s, 12s, 25s); // the last two are longer than a lease
    SchedulerBench bench({});
    bench.deadly.options = { .downTime = downTime, .startIsAnswered = startIsAnswered };
    bench.deadly.jobs = { "deadly" };
    bench.run(2s);
    bench.submit("deadly", "ordinary", { makeStep(1, 1, 4s) });
    bench.runUntil("deadly", JobState::Failed, 90s);
    CHECK(bench.storedState("deadly") == JobState::Failed);
    bench.run(10s);
    // A server that is away for longer than its lease is known to have crashed only when it is back; two starts more
    // are allowed after the third crash.
    CHECK(bench.deadly.crashesUnder("deadly") <= (downTime > 20s ? 5 : downTime > 6s ? 3 : crashesBeforeGivingUp));
}

TEST_CASE("a task whose crashed servers return under other ids is given up before a third server is lost")
{
    SchedulerBench bench({});
    bench.deadly.jobs = { "deadly" };
    bench.deadly.onChange = [&bench](FakeServer& server, bool alive) {
        if (!alive)
            return;
        bench.removeEntry(server);
        server.entry.id += "-next";
        bench.putEntry(server);
    };
    bench.run(2s);
    bench.submit("deadly", "ordinary", { makeStep(1, 1, 4s) });
    bench.runUntil("deadly", JobState::Failed, 40s);
    CHECK(bench.storedState("deadly") == JobState::Failed);
    CHECK(bench.deadly.crashesUnder("deadly") == crashesBeforeGivingUp);
}

TEST_CASE("the runs of a machine that returns under another server id start again before the old lease is over")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 3s) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    bench.run(1s);
    FakeServer& server = bench.serverRunning("job");
    server.restart();
    bench.removeEntry(server);
    server.entry.id += "-next";
    bench.putEntry(server);
    CHECK(bench.runUntilActive("job", 1, 2s));
    CHECK(bench.runUntil("job", JobState::Completed, 4s));
    CHECK(bench.violations().empty());
}

TEST_CASE("crashes under a task are counted through takeovers and a restart of all daemons")
{
    const bool all = GENERATE(true, false);
    SchedulerBench bench({});
    bench.deadly.options = { .downTime = 3s };
    bench.deadly.jobs = { "deadly" };
    bench.run(2s);
    bench.submit("deadly", "ordinary", { makeStep(1, 1, 4s) });
    for (int round = 1; round <= crashesBeforeGivingUp; ++round) {
        while (bench.deadly.crashesUnder("deadly") < round)
            bench.run(10ms);
        // The crash has not been noticed; the next leader finds a restarted server.
        for (std::size_t index = 0; index < 2; ++index) {
            if (all || bench.isElected(index)) {
                bench.killDaemon(index);
                bench.startDaemon(index);
            }
        }
    }
    bench.runUntil("deadly", JobState::Failed, 20s);
    CHECK(bench.storedState("deadly") == JobState::Failed);
    // New leaders do not know how long before the crash the task started.
    CHECK(bench.deadly.crashesUnder("deadly") <= crashesBeforeGivingUp + 1);
}

TEST_CASE("neighbours of a task that crashes servers are completed")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 3 });
    bench.deadly.jobs = { "deadly" };
    bench.run(2s);
    bench.submit("deadly", "ordinary", { makeStep(1, 1, 4s) });
    for (int number = 0; number < 12; ++number)
        bench.submit("neighbour-" + std::to_string(number), "ordinary", { makeStep(1, 1, 4s) });
    bench.runUntil("deadly", JobState::Failed, 30s);
    CHECK(bench.storedState("deadly") == JobState::Failed);
    for (int number = 0; number < 12; ++number)
        CHECK(bench.runUntil("neighbour-" + std::to_string(number), JobState::Completed, 30s));
    CHECK(bench.deadly.crashesUnder("deadly") <= crashesBeforeGivingUp + 1);
    CHECK(bench.violations().empty());
}

TEST_CASE("a gang with a member that crashes its server is given up, and its other members crash nothing")
{
    SchedulerBench bench({});
    bench.deadly.jobs = { "deadly" };
    bench.run(2s);
    StepSpecification gang = makeStep(3, 8, 4s);
    gang.gang = true;
    bench.submit("deadly", "ordinary", { gang });
    bench.submit("other", "ordinary", { makeStep(8, 2, 4s) });
    bench.runUntil("deadly", JobState::Failed, 40s);
    CHECK(bench.storedState("deadly") == JobState::Failed);
    CHECK(bench.deadly.crashesUnder("deadly") <= 3 * crashesBeforeGivingUp);
    CHECK(bench.runUntil("other", JobState::Completed, 20s));
}

TEST_CASE("servers that are only silent, drained or removed are no crashes")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 3s) });
    for (int round = 0; round < 6; ++round) {
        REQUIRE(bench.runUntilActive("job", 1, 12s));
        FakeServer& server = bench.serverRunning("job");
        server.reachable = false;
        if (round % 2 == 0)
            bench.removeEntry(server);
        bench.run(9s); // longer than the lease
        server.reachable = true;
        if (round % 2 == 0)
            bench.putEntry(server);
        if (bench.storedState("job") == JobState::Completed)
            break;
    }
    CHECK(bench.storedState("job") != JobState::Failed);
    CHECK(bench.runUntil("job", JobState::Completed, 20s));
}

TEST_CASE("a task is not blamed for a later crash of a server that was only silent when it was lost there")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 3 });
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 60s) });
    for (int round = 0; round < 3; ++round) {
        REQUIRE(bench.runUntilActive("job", 1, 12s));
        FakeServer& server = bench.serverRunning("job");
        server.reachable = false;
        bench.run(8s); // longer than the lease
        server.reachable = true;
        bench.run(2s);
        server.restart(); // without a run of the task
        bench.run(2s);
    }
    CHECK(storedCrashes(bench, "job") == 0);
    CHECK(bench.runUntilActive("job", 1, 2s));
}

TEST_CASE("a task is not blamed when drained servers leave under it and return")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 3 });
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 60s) });
    for (int round = 0; round < 3; ++round) {
        REQUIRE(bench.runUntilActive("job", 1, 12s));
        FakeServer& server = bench.serverRunning("job");
        server.entry.draining = true;
        bench.putEntry(server);
        bench.run(600ms);
        server.alive = false;
        bench.removeEntry(server);
        bench.run(8s); // longer than the lease
        server.restart();
        server.entry.draining = false;
        server.alive = true;
        bench.putEntry(server);
        bench.run(2s);
    }
    CHECK(storedCrashes(bench, "job") == 0);
    CHECK(bench.runUntilActive("job", 1, 2s));
}

TEST_CASE("an entry that names the machine of a live server does not end the runs of that server")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 3 });
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 4s) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    FakeServer& server = bench.serverRunning("job");
    FakeServer& other = bench.server(0).entry.id == server.entry.id ? bench.server(1) : bench.server(0);
    bench.removeEntry(other);
    bench.run(9s);
    bench.submit("next", "ordinary", { makeStep(3, 8, 3s) });
    REQUIRE(bench.runUntilActive("next", 2, 2s));
    other.entry.machine = bench.serverRunning("next").entry.machine;
    bench.putEntry(other);
    bench.run(3s);
    CHECK(bench.startsOf("next") == 3);
    CHECK(bench.violations().empty());
}

TEST_CASE("a power loss of many servers counts against no task")
{
    SchedulerBench bench({ .racks = 2, .serversPerRack = 8 });
    bench.run(2s);
    for (int number = 0; number < 16; ++number)
        bench.submit("job-" + std::to_string(number), "ordinary", { makeStep(1, 8, 2s) });
    for (int round = 0; round < 4; ++round) {
        bench.run(1s);
        for (std::size_t index = 0; index < bench.serverCount(); ++index) {
            bench.server(index).restart();
            bench.server(index).alive = false;
        }
        bench.run(2s);
        for (std::size_t index = 0; index < bench.serverCount(); ++index)
            bench.server(index).alive = true;
    }
    for (int number = 0; number < 16; ++number)
        CHECK(bench.runUntil("job-" + std::to_string(number), JobState::Completed, 20s));
}

TEST_CASE("a server that crashes under any work costs no task its job")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 2 });
    bench.run(2s);
    for (int number = 0; number < 8; ++number)
        bench.submit("job-" + std::to_string(number), "ordinary", { makeStep(1, 1, 3s) });
    for (int round = 0; round < 10; ++round) {
        bench.run(1s);
        bench.server(0).restart();
    }
    for (int number = 0; number < 8; ++number)
        CHECK(bench.runUntil("job-" + std::to_string(number), JobState::Completed, 20s));
}

TEST_CASE("a lasting task that crashes its servers is started at most twice more after three crashes under other jobs")
{
    constexpr int mostCrashes = 5;
    const Duration crashDelay = GENERATE(30ms, 4s); // the second is longer than a start is suspect for
    SchedulerBench bench({ .racks = 1 });
    bench.deadly.options = { .crashDelay = crashDelay };
    bench.run(2s);
    StepSpecification lasting = makeStep(1, 1, 4s);
    lasting.longRunning = true;
    for (const char* job : { "deadly-1", "deadly-2", "deadly-3" }) {
        bench.deadly.jobs.insert(job);
        bench.submit(job, "ordinary", { lasting });
        bench.setRunTime(job, 3600s);
        bench.runUntil(job, JobState::Failed, 120s);
        CHECK(bench.storedState(job) == JobState::Failed);
        CHECK(bench.deadly.crashesUnder(job) <= mostCrashes);
    }
    CHECK(bench.violations().empty());
}

TEST_CASE("lasting tasks beside jobs that crash servers, and through losses of all servers, are not given up")
{
    SchedulerBench bench({});
    bench.deadly.jobs = { "deadly-1", "deadly-2" };
    bench.run(2s);
    StepSpecification lasting = makeStep(1, 5, 4s);
    lasting.longRunning = true;
    std::vector<std::string> sound;
    for (std::size_t number = 0; number < bench.serverCount(); ++number) {
        sound.push_back("sound-" + std::to_string(number));
        bench.submit(sound.back(), "ordinary", { lasting });
        bench.setRunTime(sound.back(), 3600s);
    }
    bench.run(5s);
    for (const char* job : { "deadly-1", "deadly-2" }) {
        bench.submit(job, "ordinary", { makeStep(1, 1, 4s) });
        CHECK(bench.runUntil(job, JobState::Failed, 60s));
    }
    for (int round = 0; round < 7; ++round) {
        bench.run(12s);
        for (std::size_t index = 0; index < bench.serverCount(); ++index)
            bench.server(index).restart();
    }
    for (const std::string& job : sound)
        CHECK(bench.runUntilActive(job, 1, 20s));
    CHECK(bench.violations().empty());
}

TEST_CASE("long runs of a lasting task that are lost with silent servers clear it")
{
    const bool restarts = GENERATE(true, false);
    SchedulerBench bench({ .racks = 1 });
    bench.run(2s);
    StepSpecification lasting = makeStep(1, 1, 4s);
    lasting.longRunning = true;
    bench.submit("sound", "ordinary", { lasting });
    bench.setRunTime("sound", 3600s);
    for (int round = 0; round < 7; ++round) {
        REQUIRE(bench.runUntilActive("sound", 1, 20s));
        bench.run(62s);
        FakeServer& server = bench.serverRunning("sound");
        if (restarts)
            server.restart();
        server.alive = false;
        bench.run(9s); // longer than the lease
        server.alive = true;
        bench.run(2s);
    }
    CHECK(bench.runUntilActive("sound", 1, 20s));
    CHECK(bench.storedState("sound") != JobState::Failed);
    CHECK(storedCrashes(bench, "sound") <= 1);
}

// A start without an answer counted as a crash under its task when its server restarted, though the server's answers to
// polls after the start had not listed the run.
TEST_CASE("a job is not given up for crashes of a server that left the starts of its task unanswered")
{
    const bool leaderChanges = GENERATE(false, true);
    SchedulerBench bench({ .racks = 1, .serversPerRack = 6 });
    bench.run(2s);
    FakeServer& sick = bench.server(0);
    const std::string id = sick.entry.id;
    // The other servers have no room, so that the task stays with the server that does not start it.
    for (std::size_t index = 1; index < bench.serverCount(); ++index) {
        bench.server(index).entry.draining = true;
        bench.putEntry(bench.server(index));
    }
    bench.run(1s);
    constexpr int allOrders = 10'000;
    bench.lateOrders[id] = { .count = allOrders, .delay = 4s, .startsOnly = true };
    bench.submit("job", "ordinary", { makeStep(1, 8, 3s) });
    for (int crash = 0; crash < 6; ++crash) {
        bench.run(2500ms);
        sick.restart();
        sick.alive = false;
        if (leaderChanges && crash == 2) {
            const std::size_t former = bench.leader();
            bench.killDaemon(former);
            bench.startDaemon(former);
        }
        bench.run(600ms);
        sick.alive = true;
    }
    REQUIRE(bench.startsOf("job") == 0);
    CHECK(bench.storedState("job") != JobState::Failed);
    bench.lateOrders.clear();
    CHECK(bench.runUntil("job", JobState::Completed, 20s));
    CHECK(bench.violations().empty());
}

// A task that crashes its servers is given up, also when one of them leaves some orders unanswered.
TEST_CASE("a task that crashes its servers is given up in time beside starts that are carried out late")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 4 });
    bench.deadly.options = { .startIsAnswered = false };
    bench.deadly.jobs = { "deadly" };
    bench.run(2s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.lateOrders[bench.server(index).entry.id] = { .count = 3, .delay = 3s, .startsOnly = true };
    bench.submit("deadly", "ordinary", { makeStep(1, 1, 4s) });
    bench.runUntil("deadly", JobState::Failed, 60s);
    CHECK(bench.storedState("deadly") == JobState::Failed);
    CHECK(bench.deadly.crashesUnder("deadly") <= 5); // two starts more are allowed after the third crash
}

// A run whose first start had no answer was kept for a late start when its server restarted, however long it had run,
// and counted as a crash under its task again when the server restarted once more.
TEST_CASE("a run that began after an unanswered start is over with the restart of its server, and counts once")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 2 });
    bench.run(2s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.lateOrders[bench.server(index).entry.id] = { .count = 1, .delay = 1s, .startsOnly = true };
    bench.submit("job", "ordinary", { makeStep(1, 1, 60s) });
    REQUIRE(bench.runUntilActive("job", 1, 3s));
    bench.run(15s); // longer than an order may be late
    FakeServer& server = bench.serverRunning("job");
    server.restart();
    for (int round = 0; round < 500 && storedCrashes(bench, "job") == 0; ++round)
        bench.run(10ms);
    server.restart();
    bench.run(4s);
    CHECK(bench.activeTasks("job") == 1);
    CHECK(storedCrashes(bench, "job") == 1);
    CHECK(bench.violations().empty());
}
