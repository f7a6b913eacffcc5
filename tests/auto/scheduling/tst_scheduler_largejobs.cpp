// Jobs whose progress does not fit into one row of the store, and transactions that the store refuses.

#include "scheduling/rowcodec.h"
#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

/// A step that many tasks of one server can run at once.
StepSpecification smallTasks(int count, Duration work)
{
    StepSpecification step = makeStep(count, 0, work);
    step.perTask = { .milliCores = 500, .memoryMb = 100 };
    step.savesProgress = true;
    return step;
}

} // namespace

// The progress of all tasks was in one row; the store refused it, and the leader sent the transaction again and again.
TEST_CASE("a job of 3000 tasks is completed and does not hold up other jobs")
{
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("large", "ordinary", { smallTasks(1000, 1s), smallTasks(1000, 2s), smallTasks(1000, 3s) });
    bench.run(3s);
    bench.submit("next", "ordinary", { makeStep(1, 1, 500ms) });
    CHECK(bench.runUntil("next", JobState::Completed, 10s));
    CHECK(bench.runUntil("large", JobState::Completed, 40s));
    CHECK(bench.startsOf("large") == 3000);
    CHECK(bench.store.invalidTransactions == 0);
}

TEST_CASE("a large job goes on under another leader")
{
    const bool gang = GENERATE(false, true);
    SchedulerBench bench({ .daemons = 1 });
    bench.run(2s);
    StepSpecification step = gang ? makeStep(8, 8, 8s) : smallTasks(1000, 6s);
    step.gang = gang;
    StepSpecification first = smallTasks(60, 500ms); // the gang's tasks are in two rows
    step.prerequisites = { 0 };
    bench.submit("large", "ordinary", { first, step });
    REQUIRE(bench.runUntilActive("large", 8, 4s));
    for (int time = 0; time < 4; ++time) {
        bench.run(700ms + 10ms * time);
        bench.killDaemon(0);
        bench.startDaemon(0);
    }
    REQUIRE(bench.runUntil("large", JobState::Completed, 40s));
    CHECK(bench.startsOf("large") == (gang ? 68 : 1060));
    CHECK(bench.violations().empty());
}

// Releases up to 0.1 stored the progress of all tasks in one row.
TEST_CASE("progress that an earlier release stored in one row is kept")
{
    SchedulerBench bench({ .daemons = 1 });
    bench.run(2s);
    bench.killDaemon(0);
    bench.submit("large", "ordinary", { smallTasks(200, 500ms) });
    std::string tasks;
    for (int index = 0; index < 190; ++index)
        tasks += (index > 0 ? ",[" : "[") + std::to_string(index) + R"(,2,1,0,""])"; // ended as done
    bench.store.put(
        { StoreTable::progress, StoreTable::schedulerPartition, progressKey("large", 0) }, "[[" + tasks + "]]");
    for (int time = 0; time < 3; ++time) {
        bench.startDaemon(0);
        bench.run(300ms);
        bench.killDaemon(0);
    }
    bench.startDaemon(0);
    REQUIRE(bench.runUntil("large", JobState::Completed, 10s));
    CHECK(bench.startsOf("large") == 10);
}

TEST_CASE("a row that the store will never accept costs its own job only")
{
    SchedulerBench bench({});
    bench.run(2s);
    for (int job = 0; job < 6; ++job)
        bench.submit("job-" + std::to_string(job), "ordinary", { makeStep(4, 1, 3s) });
    bench.submit("refused", "ordinary", { smallTasks(2, 20s) });
    REQUIRE(bench.runUntilActive("refused", 2, 2s));
    FakeServer& server = bench.serverRunning("refused");
    server.checkpointOfEnds = std::string(70'000, 'x');
    server.end({ "refused", 0, 0, 0 }, RunEnd::Stopped);
    server.checkpointOfEnds.clear();
    CHECK(bench.runUntil("refused", JobState::Failed, 10s));
    for (int job = 0; job < 6; ++job)
        CHECK(bench.runUntil("job-" + std::to_string(job), JobState::Completed, 10s));
    bench.submit("next", "ordinary", { makeStep(8, 1, 500ms) });
    CHECK(bench.runUntil("next", JobState::Completed, 5s));
    CHECK(bench.activeTasks("refused") == 0);
    CHECK(bench.store.invalidTransactions < 40);
    CHECK(bench.violations().empty());
}
