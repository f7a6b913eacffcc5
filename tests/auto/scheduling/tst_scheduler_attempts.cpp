// The limit on failed runs of a task, through changes of its queue and of the leader.

#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

StepSpecification makeFailingStep(bool gang)
{
    StepSpecification step = makeStep(gang ? 3 : 1, 8, 4s);
    step.gang = gang;
    return step;
}

/// Runs the job until all of its tasks run for the `attempt`th time.
void runUntilAttempt(SchedulerBench& bench, int tasks, int attempt)
{
    for (int number = 1; number <= attempt; ++number) {
        REQUIRE(bench.runUntilActive("job", tasks, 20s));
        if (number == attempt)
            return;
        bench.serverRunning("job").health = ServerHealth::FailsAll;
        bench.run(20ms);
        for (std::size_t index = 0; index < bench.serverCount(); ++index)
            bench.server(index).health = ServerHealth::Healthy;
    }
}

void failRuns(SchedulerBench& bench)
{
    bench.serverRunning("job").health = ServerHealth::FailsAll;
    bench.run(1s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).health = ServerHealth::Healthy;
}

void replaceLeader(SchedulerBench& bench)
{
    const std::size_t leader = bench.leader();
    bench.killDaemon(leader);
    bench.run(8s);
    bench.startDaemon(leader);
}

} // namespace

TEST_CASE("a task that fails for the last time while its queue is away is not started again when the queue is back")
{
    const bool gang = GENERATE(false, true);
    const bool leaderChangesBefore = GENERATE(false, true); // before the queue is back
    const bool leaderChangesAfter = GENERATE(false, true); // at the same time
    const int tasks = gang ? 3 : 1;
    CAPTURE(gang, leaderChangesBefore, leaderChangesAfter);
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeFailingStep(gang) });
    runUntilAttempt(bench, tasks, 3);
    const Queue queue = bench.removeQueue("ordinary");
    bench.run(500ms);
    failRuns(bench);
    CHECK(bench.storedState("job") == JobState::Running);
    if (leaderChangesBefore)
        replaceLeader(bench);
    if (leaderChangesAfter)
        bench.killDaemon(bench.leader());
    bench.addQueue(queue);
    CHECK(bench.runUntil("job", JobState::Failed, 15s));
    bench.run(5s);
    CHECK(bench.startsOf("job") == 3 * tasks);
    CHECK(bench.violations().empty());
}

TEST_CASE("a task is started as often as the queue that is back allows, and not more often under a lower limit")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeFailingStep(false) });
    runUntilAttempt(bench, 1, 2);
    Queue queue = bench.removeQueue("ordinary");
    failRuns(bench);
    SECTION("it has an attempt left")
    {
        bench.addQueue(queue);
        CHECK(bench.runUntil("job", JobState::Completed, 15s));
        CHECK(bench.startsOf("job") == 3);
    }
    SECTION("the limit is lower")
    {
        queue.maximumAttempts = 2;
        bench.addQueue(queue);
        CHECK(bench.runUntil("job", JobState::Failed, 15s));
        CHECK(bench.startsOf("job") == 2);
    }
    SECTION("the limit falls during a run, which is lost")
    {
        bench.addQueue(queue);
        REQUIRE(bench.runUntilActive("job", 1, 10s));
        bench.removeQueue("ordinary");
        queue.maximumAttempts = 2;
        bench.addQueue(queue);
        bench.run(100ms);
        CHECK(bench.activeTasks("job") == 1);
        bench.serverRunning("job").restart();
        CHECK(bench.runUntil("job", JobState::Failed, 15s));
        CHECK(bench.startsOf("job") == 3);
    }
}

TEST_CASE("two members of a gang that fail in one attempt are one failure also when the leader changes in between")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeFailingStep(true) });
    runUntilAttempt(bench, 3, 1);
    std::vector<FakeServer*> used;
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        if (!bench.server(index).active.empty())
            used.push_back(&bench.server(index));
    }
    REQUIRE(used.size() == 3);
    const std::size_t leader = bench.leader();
    bench.cut(leader, used[1]->entry.id);
    used[0]->health = ServerHealth::FailsAll;
    used[1]->health = ServerHealth::FailsAll;
    bench.run(300ms);
    bench.killDaemon(leader);
    bench.heal();
    used[0]->health = ServerHealth::Healthy;
    used[1]->health = ServerHealth::Healthy;
    REQUIRE(bench.runUntilActive("job", 3, 20s));
    failRuns(bench);
    CHECK(bench.storedState("job") != JobState::Failed);
    CHECK(bench.runUntil("job", JobState::Completed, 20s));
    CHECK(bench.startsOf("job") == 9);
}
