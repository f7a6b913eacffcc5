// Jobs that have nothing running although there is room. The bounds are those that the users state: 3 s in a service
// of which less than half is in use, and 6 s for a task that lasts, however full the service is.

#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

constexpr Duration standstillLimit = 3s;
constexpr Duration lastingStandstillLimit = 6s;

/// Starts a task of one accelerator on each of `servers` servers, which keeps whole servers from being free.
void occupyServers(SchedulerBench& bench, int servers, Duration work = 120s)
{
    StepSpecification step = makeStep(servers, 1, work);
    step.maximumPerServer = 1;
    bench.submit("occupant", "ordinary", { step });
    REQUIRE(bench.runUntilActive("occupant", servers, 2s));
}

std::vector<FakeServer*> emptyServers(SchedulerBench& bench)
{
    std::vector<FakeServer*> empty;
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        if (bench.server(index).active.empty())
            empty.push_back(&bench.server(index));
    }
    return empty;
}

/// Lets the job's run fail, on a server that does not fail anything else.
void failRun(SchedulerBench& bench, const std::string& job)
{
    FakeServer& server = bench.serverRunning(job);
    while (bench.activeTasks(job) > 0)
        server.end(server.active.begin()->first, RunEnd::Failed);
}

StepSpecification makeLastingStep(std::int64_t accelerators)
{
    StepSpecification step = makeStep(1, accelerators, 600s);
    step.longRunning = true;
    return step;
}

} // namespace

TEST_CASE("a job does not stand still before its last attempt in a service where nothing has succeeded lately")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 4, 5s) });
    REQUIRE(bench.runUntilActive("job", 1, 2s));
    failRun(bench, "job");
    REQUIRE(bench.runUntilActive("job", 1, standstillLimit));
    bench.run(1s);
    failRun(bench, "job");
    CHECK(bench.runUntilActive("job", 1, standstillLimit));
    CHECK(bench.runUntil("job", JobState::Completed, 10s));
    CHECK(bench.startsOf("job") == 3);
    CHECK(bench.violations().empty());
}

TEST_CASE("a job does not stand still while the only servers with room for it are avoided")
{
    SchedulerBench bench({});
    bench.run(2s);
    occupyServers(bench, 6);
    const std::vector<FakeServer*> empty = emptyServers(bench);
    REQUIRE(empty.size() == 2);
    bench.run(6s); // polls of servers without runs are 5 s apart
    for (FakeServer* server : empty)
        server->restart();
    bench.run(6s);
    bench.submit("job", "ordinary", { makeStep(1, 8, 2s) });
    CHECK(bench.runUntilActive("job", 1, standstillLimit));
    CHECK(bench.violations().empty());
}

TEST_CASE("a job does not stand still while servers with room for it are claimed for a gang that does not fit")
{
    SchedulerBench bench({});
    bench.run(2s);
    occupyServers(bench, 4);
    StepSpecification gang = makeStep(5, 8, 5s);
    gang.gang = true;
    bench.submit("gang", "ordinary", { gang });
    bench.run(1s);
    bench.submit("job", "background", { makeStep(1, 8, 2s) });
    CHECK(bench.runUntilActive("job", 1, standstillLimit));
    CHECK(bench.violations().empty());
}

TEST_CASE("a job does not stand still while it has failed on all servers with room for it")
{
    SchedulerBench bench({});
    bench.run(2s);
    occupyServers(bench, 6);
    bench.submit("job", "ordinary", { makeStep(1, 8, 5s) });
    for (int failures = 0; failures < 2; ++failures) {
        REQUIRE(bench.runUntilActive("job", 1, standstillLimit));
        failRun(bench, "job");
    }
    CHECK(bench.runUntilActive("job", 1, standstillLimit));
    CHECK(bench.runUntil("job", JobState::Completed, 10s));
    CHECK(bench.startsOf("job") == 3);
    CHECK(bench.violations().empty());
}

TEST_CASE("a gang does not stand still while the servers on which it has not failed have room for a part of it")
{
    SchedulerBench bench({});
    bench.run(2s);
    occupyServers(bench, 5);
    StepSpecification gang = makeStep(2, 8, 5s);
    gang.gang = true;
    bench.submit("job", "ordinary", { gang });
    REQUIRE(bench.runUntilActive("job", 2, 2s));
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        FakeServer& server = bench.server(index);
        if (!server.active.empty() && server.active.begin()->first.jobId == "job")
            server.end(server.active.begin()->first, RunEnd::Failed);
    }
    CHECK(bench.runUntilActive("job", 2, standstillLimit));
    CHECK(bench.violations().empty());
}

TEST_CASE("a task that lasts does not stand still while the only servers with room for it are avoided")
{
    SchedulerBench bench({});
    bench.run(2s);
    occupyServers(bench, 6);
    bench.submit("lasting", "ordinary", { makeLastingStep(8) });
    bench.submit("other", "ordinary", { makeStep(1, 8, 60s) });
    REQUIRE(bench.runUntilActive("lasting", 1, 2s));
    REQUIRE(bench.runUntilActive("other", 1, 2s));
    bench.cancel("other");
    FakeServer& spare = bench.serverRunning("other");
    REQUIRE(bench.runUntil("other", JobState::Cancelled, 2s));
    bench.run(6s); // polls of servers without runs are 5 s apart
    spare.restart();
    bench.run(5500ms);
    bench.serverRunning("lasting").restart();
    CHECK(bench.runUntilActive("lasting", 1, lastingStandstillLimit));
    CHECK(bench.violations().empty());
}

TEST_CASE("a task that lasts does not stand still while all servers with room for it are reserved for urgent work")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("urgent", "urgent", { makeStep(2, 8, 2s) });
    REQUIRE(bench.runUntilActive("urgent", 2, 2s));
    const int unreservedServers = static_cast<int>(bench.serverCount()) / 2;
    bench.submit("occupant", "ordinary", { makeStep(unreservedServers, 8, 120s) });
    REQUIRE(bench.runUntilActive("occupant", unreservedServers, 2s));
    REQUIRE(bench.runUntil("urgent", JobState::Completed, 5s));
    bench.submit("lasting", "ordinary", { makeLastingStep(8) });
    CHECK(bench.runUntilActive("lasting", 1, lastingStandstillLimit));
    CHECK(bench.violations().empty());
}

TEST_CASE("a task that lasts does not stand still while another of its step is held because servers may have crashed")
{
    SchedulerBench bench({ .racks = 4 });
    bench.run(2s);
    StepSpecification step = makeLastingStep(8);
    step.taskCount = 2;
    bench.submit("lasting", "ordinary", { step });
    REQUIRE(bench.runUntilActive("lasting", 2, 2s));
    FakeServer& steady = bench.serverRunning("lasting");
    const TaskName steadyTask = steady.active.begin()->first;
    for (int losses = 0; losses < 4; ++losses) {
        REQUIRE(bench.runUntilActive("lasting", 2, 12s));
        for (std::size_t index = 0; index < bench.serverCount(); ++index) {
            if (&bench.server(index) != &steady && !bench.server(index).active.empty())
                bench.server(index).reachable = false;
        }
        bench.run(8s);
    }
    REQUIRE(steady.active.contains(steadyTask));
    steady.end(steadyTask, RunEnd::Failed);
    CHECK(bench.runUntilActive("lasting", 1, lastingStandstillLimit));
    CHECK(bench.violations().empty());
}

TEST_CASE("jobs do not stand still while many are suspects of the crash of a server")
{
    SchedulerBench bench({});
    bench.run(2s);
    constexpr int jobs = 8;
    for (int job = 0; job < jobs; ++job)
        bench.submit("job-" + std::to_string(job), "ordinary", { makeStep(1, 1, 60s) });
    REQUIRE(bench.runUntilActive("job-0", 1, 2s));
    FakeServer& server = bench.serverRunning("job-0");
    bench.run(500ms);
    REQUIRE(server.active.size() == jobs);
    server.restart();
    bench.run(standstillLimit);
    for (int job = 0; job < jobs; ++job)
        CHECK(bench.activeTasks("job-" + std::to_string(job)) == 1);
    CHECK(bench.violations().empty());
}

TEST_CASE("a start that meets a server which has just fallen silent does not let the jobs there stand still")
{
    const Duration phase = GENERATE(0ms, 300ms, 600ms, 900ms, 1200ms, 1500ms); // of the server's polls
    const Duration lease = GENERATE(6s, 10s);
    CAPTURE(phase.count(), lease.count());
    SchedulerBench bench({ .daemons = 1, .maximumLease = lease });
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 120s) });
    REQUIRE(bench.runUntilActive("job", 1, 2s));
    FakeServer& silent = bench.serverRunning("job");
    bench.run(3s + phase);
    silent.reachable = false;
    for (int later = 0; later < 20; ++later) {
        bench.submit("later-" + std::to_string(later), "ordinary", { makeStep(1, 1, 120s) });
        bench.run(200ms);
    }
    while (!silent.active.empty())
        bench.run(10ms);
    CHECK(bench.runUntilActive("job", 1, standstillLimit));
    CHECK(bench.violations().empty());
}

TEST_CASE("a job does not stand still while its start was never sent to a server that fell silent")
{
    SchedulerBench bench({ .daemons = 1 });
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 4, 60s) });
    REQUIRE(bench.runUntilActive("job", 1, 2s));
    FakeServer& first = bench.serverRunning("job");
    StepSpecification other = makeStep(1, 4, 120s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        if (bench.server(index).entry.rack != first.entry.rack)
            other.dataRack = bench.server(index).entry.rack;
    }
    bench.submit("other", "ordinary", { other });
    REQUIRE(bench.runUntilActive("other", 1, 2s));
    FakeServer& silent = bench.serverRunning("other");
    REQUIRE(&silent != &first);
    bench.run(4s);
    first.restart();
    silent.reachable = false;
    CHECK(bench.runUntilActive("job", 1, standstillLimit));
    CHECK(bench.violations().empty());
}

TEST_CASE("a job does not stand still after an end that is known late because one poll was lost")
{
    const Duration phase = GENERATE(0ms, 200ms, 400ms, 600ms, 800ms, 1000ms, 1200ms, 1400ms); // of the server's polls
    CAPTURE(phase.count());
    SchedulerBench bench({ .daemons = 1 });
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 4, 60s) });
    REQUIRE(bench.runUntilActive("job", 1, 2s));
    failRun(bench, "job");
    REQUIRE(bench.runUntilActive("job", 1, standstillLimit));
    bench.run(4s + phase);
    FakeServer& server = bench.serverRunning("job");
    server.answersToLose = 1;
    server.end(server.active.begin()->first, RunEnd::Failed);
    CHECK(bench.runUntilActive("job", 1, standstillLimit));
    CHECK(bench.violations().empty());
}

TEST_CASE("a job does not stand still while the server of its only run is dead and its other task prefers others")
{
    SchedulerBench bench({ .daemons = 1, .racks = 3 });
    bench.run(2s);
    occupyServers(bench, 8);
    const std::vector<FakeServer*> empty = emptyServers(bench);
    REQUIRE(empty.size() == 4);
    bench.run(6s);
    for (std::size_t index = 1; index < empty.size(); ++index)
        empty[index]->restart();
    bench.run(5500ms);
    bench.submit("job", "ordinary", { makeStep(2, 8, 120s) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    FakeServer& server = bench.serverRunning("job");
    bench.run(300ms);
    REQUIRE(bench.activeTasks("job") == 1);
    server.alive = false;
    server.active.clear();
    CHECK(bench.runUntilActive("job", 1, standstillLimit));
    CHECK(bench.violations().empty());
}

TEST_CASE("a task that lasts does not stand still while a server that it prefers refuses its start again and again")
{
    SchedulerBench bench({ .daemons = 1, .racks = 4 });
    bench.run(2s);
    bench.submit("occupant", "ordinary", { makeStep(13, 8, 120s) });
    REQUIRE(bench.runUntilActive("occupant", 13, 2s));
    bench.submit("other", "ordinary", { makeStep(2, 8, 120s) });
    REQUIRE(bench.runUntilActive("other", 2, 2s));
    const std::vector<FakeServer*> empty = emptyServers(bench);
    REQUIRE(empty.size() == 1);
    bench.putEntryAsOfNow(*empty.front());
    empty.front()->entry.capacity.accelerators = 4; // less than its entry says
    bench.run(1s);
    std::vector<FakeServer*> others;
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        FakeServer& server = bench.server(index);
        if (!server.active.empty() && server.active.begin()->first.jobId == "other")
            others.push_back(&server);
    }
    REQUIRE(others.size() == 2);
    for (FakeServer* server : others)
        server->restart();
    bench.cancel("other");
    bench.run(1700ms);
    bench.submit("lasting", "ordinary", { makeLastingStep(8) });
    CHECK(bench.runUntilActive("lasting", 1, lastingStandstillLimit));
    CHECK(bench.violations().empty());
}

TEST_CASE("a start at a server that has restarted unnoticed is not given up before its lease is over")
{
    const Duration phase = GENERATE(0ms, 200ms, 400ms, 600ms, 800ms, 1000ms, 1200ms, 1400ms);
    CAPTURE(phase.count());
    SchedulerBench bench({ .daemons = 1 });
    bench.run(2s);
    bench.submit("resident", "ordinary", { makeStep(1, 1, 120s) });
    REQUIRE(bench.runUntilActive("resident", 1, 2s));
    FakeServer& server = bench.serverRunning("resident");
    bench.run(6s + phase);
    server.restart();
    bench.submit("job", "ordinary", { makeStep(1, 1, 120s) });
    if (!bench.runUntilActive("job", 1, 300ms))
        return;
    server.reachable = false;
    bench.run(9s);
    CHECK(bench.violations().empty());
}

TEST_CASE("a job does not stand still before its last attempt in a service without accelerators")
{
    SchedulerBench bench({ .daemons = 1 });
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        bench.server(index).entry.capacity.accelerators = 0;
        bench.putEntry(bench.server(index));
    }
    bench.run(3s);
    bench.submit("job", "ordinary", { makeStep(1, 0, 5s) });
    REQUIRE(bench.runUntilActive("job", 1, 2s));
    failRun(bench, "job");
    REQUIRE(bench.runUntilActive("job", 1, standstillLimit));
    bench.run(1s);
    failRun(bench, "job");
    CHECK(bench.runUntilActive("job", 1, standstillLimit));
}

TEST_CASE("a task that lasts has no last attempt, for which it would wait for a server that succeeds")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeLastingStep(1) });
    for (int failures = 0; failures < 2; ++failures) {
        REQUIRE(bench.runUntilActive("job", 1, 1s));
        failRun(bench, "job");
    }
    CHECK(bench.runUntilActive("job", 1, 1s));
    CHECK(bench.violations().empty());
}

TEST_CASE("a job does not stand still for the lease of a server that fell silent before the start was sent there")
{
    SchedulerBench bench({ .racks = 1 });
    std::string chosen;
    bench.onLog = [&](std::size_t, const LogLine& line) {
        if (line.event == WisteriaHill::Utils::Event::RunPlaced)
            chosen = line.fields.at("server");
    };
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(1, 4, 5s) });
    REQUIRE(bench.runUntilActive("job", 1, 2s));
    bench.run(1s);
    // The task is suspect, so that a server must answer before the start is sent there.
    FakeServer& crashed = bench.serverRunning("job");
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).reachable = &bench.server(index) == &crashed;
    crashed.restart();
    const std::string first = chosen;
    for (int ticks = 0; chosen == first && ticks < 300; ++ticks)
        bench.run(10ms);
    REQUIRE(chosen != first);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).reachable = bench.server(index).entry.id != chosen;
    CHECK(bench.runUntilActive("job", 1, standstillLimit));
    CHECK(bench.violations().empty());
}

TEST_CASE("a job with a task that runs is not reported as one that has nothing running")
{
    SchedulerBench bench({ .daemons = 1, .racks = 3 });
    bench.run(2s);
    occupyServers(bench, 8);
    const std::vector<FakeServer*> empty = emptyServers(bench);
    REQUIRE(empty.size() == 4);
    bench.run(6s); // polls of servers without runs are 5 s apart
    for (std::size_t index = 1; index < empty.size(); ++index)
        empty[index]->restart();
    bench.run(5500ms);
    int reports = 0;
    bench.onLog = [&](std::size_t, const LogLine& line) {
        reports += line.event == WisteriaHill::Utils::Event::StepWaits && line.fields.at("step") == "job.0.0.0" ? 1 : 0;
    };
    bench.submit("job", "ordinary", { makeStep(2, 8, 120s) });
    REQUIRE(bench.runUntilActive("job", 1, 1s));
    while (bench.activeTasks("job") == 1)
        bench.run(10ms);
    CHECK(reports == 0);
}
