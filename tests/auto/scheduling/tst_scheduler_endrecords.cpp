// Servers with more end records than one answer to a poll lists. Runs whose ends such an answer left out were taken for
// lost and started again, though they had ended as done.

#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;
using WisteriaHill::Utils::Event;

namespace {

constexpr int tasks = 12;
constexpr std::size_t listedEnds = 3;

/// Two servers, each with room for all tasks, that list few end records at once.
struct CutLists {
    SchedulerBench bench { { .daemons = 2, .racks = 1, .serversPerRack = 2 } };
    int cuts = 0; ///< answers that left runs undecided
    int stalls = 0;

    CutLists()
    {
        for (std::size_t index = 0; index < this->bench.serverCount(); ++index)
            this->bench.server(index).maximumListedEnds = listedEnds;
        this->bench.onLog = [this](std::size_t, const LogLine& line) {
            this->cuts += line.event == Event::EndRecordsCut ? 1 : 0;
            this->stalls += line.event == Event::RunStalled ? 1 : 0;
        };
        this->bench.run(2s);
    }

    /// Starts a job whose tasks all run on one server, which is returned.
    FakeServer& startJob(Duration work)
    {
        this->bench.submit("job", "ordinary", { makeStep(tasks, 0, work) });
        REQUIRE(this->bench.runUntilActive("job", tasks, 1s));
        FakeServer& server = this->bench.serverRunning("job");
        REQUIRE(server.active.size() == tasks);
        return server;
    }

    void checkEachTaskRanOnce()
    {
        CHECK(this->bench.runUntil("job", JobState::Completed, 500ms));
        this->bench.run(2s);
        CHECK(this->cuts > 0);
        CHECK(this->bench.startsOf("job") == tasks);
        CHECK(this->bench.violations().empty());
    }
};

} // namespace

TEST_CASE("runs whose ends an answer leaves out do not start again when the store is back, and are read at once")
{
    CutLists lists;
    const FakeServer& server = lists.startJob(2s);
    lists.bench.store.down = true;
    lists.bench.run(4s);
    REQUIRE(server.active.empty());
    lists.bench.store.down = false;
    lists.checkEachTaskRanOnce();
}

TEST_CASE("runs whose ends an answer leaves out do not start again after a cut shorter than the lease")
{
    CutLists lists;
    FakeServer& server = lists.startJob(2s);
    server.reachable = false;
    lists.bench.run(2200ms);
    REQUIRE(server.active.empty());
    server.reachable = true;
    lists.bench.run(3s); // the polls that the cut has left open have to fail first
    lists.checkEachTaskRanOnce();
}

TEST_CASE("a new leader does not start runs again whose ends the first answer leaves out")
{
    CutLists lists;
    const FakeServer& server = lists.startJob(2s);
    lists.bench.killDaemon(lists.bench.leader());
    lists.bench.run(2500ms);
    REQUIRE(server.active.empty());
    lists.checkEachTaskRanOnce();
}

TEST_CASE("runs that began and ended after an unnoticed restart do not start again when an answer leaves them out")
{
    CutLists lists;
    for (std::size_t index = 0; index < lists.bench.serverCount(); ++index)
        lists.bench.server(index).restart();
    lists.bench.submit("job", "ordinary", { makeStep(tasks, 0, 20ms) });
    lists.bench.run(500ms);
    lists.checkEachTaskRanOnce();
}

TEST_CASE("runs whose ends an answer leaves out are not stopped as stalled while the store is away")
{
    CutLists lists;
    lists.startJob(1s);
    lists.bench.store.down = true;
    lists.bench.run(6500ms); // a run without progress is stopped after 4.5 s
    lists.bench.store.down = false;
    CHECK(lists.bench.runUntil("job", JobState::Completed, 500ms));
    CHECK(lists.cuts > 0);
    CHECK(lists.stalls == 0);
    CHECK(lists.bench.violations().empty());
}

TEST_CASE("a run that was cancelled is not undecided for ever when an answer leaves out end records")
{
    CutLists lists;
    lists.startJob(20s);
    lists.bench.cancel("job");
    lists.bench.run(1500ms);
    CHECK(lists.bench.activeTasks("job") == 0);
    CHECK(lists.bench.storedState("job") == JobState::Cancelled);
    lists.bench.submit("next", "ordinary", { makeStep(2, 8, 500ms) });
    CHECK(lists.bench.runUntil("next", JobState::Completed, 2s));
}
