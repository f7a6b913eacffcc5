// A job that stands still is noticed, and not before it has stood for the stated time or where that is allowed.

#include "emulator/rules.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Emulator;
using namespace WisteriaHill::Scheduling;
using namespace std::chrono_literals;

namespace {

constexpr int attempts = 3;
constexpr Duration longestLease = 6s;
constexpr Duration interval = 100ms;
constexpr std::int64_t accelerators = 8;
const TaskName task { "job", 0, 0, 0 };
const std::vector<std::string> none;

StepSpecification stepOf(std::int64_t neededAccelerators, int count = 1)
{
    return { .taskCount = count,
        .perTask = { .milliCores = 4000, .memoryMb = 16'000, .accelerators = neededAccelerators } };
}

StepSpecification lastingStep()
{
    StepSpecification step = stepOf(1);
    step.longRunning = true;
    return step;
}

/// Four servers of eight accelerators and a leader that reaches them and the store; observed each 100 ms from 0 s on.
class Course {
public:
    explicit Course(const std::vector<StepSpecification>& steps = { stepOf(1) })
        : judge(longestLease)
    {
        JobRecord record { .id = "job" };
        record.specification.steps = steps;
        this->judge.accepted(record, attempts);
        this->fleet.leader = "daemon-0";
        for (const char* name : { "a", "b", "c", "d" })
            this->fleet.servers.push_back({ .life = name,
                .machine = name,
                .capacity = { .milliCores = 128'000, .memoryMb = 512'000, .accelerators = accelerators },
                .isRegistered = true,
                .isUsable = true,
                .holdsLease = true });
    }

    ServerView& server(std::size_t index) { return this->fleet.servers.at(index); }

    void start(const TaskName& name, int attempt, const ServerLife& on)
    {
        this->judge.started(on, name, attempt, { .inTouch = true, .sentAt = this->now }, this->now);
    }

    /// A run that has ended by now and is taken note of.
    void play(const TaskName& name, int attempt, const ServerLife& on, RunEnd end)
    {
        this->start(name, attempt, on);
        this->judge.ended(on, name, attempt, end, this->now);
        this->judge.notedEnd(on, name, attempt, this->now);
    }

    /// Observations up to and including `end`, counted from the start of the course.
    void observeUntil(Duration end)
    {
        for (; this->now <= SteadyTime(end); this->now += interval)
            this->judge.observe(this->fleet, this->now);
    }

    std::size_t found() const { return this->judge.violations().size(); }

    /// Checks that the rule is broken at `time`, and not at the observation before it.
    void checkBrokenAt(Duration time)
    {
        this->observeUntil(time - interval);
        CHECK(this->judge.violations() == none);
        this->observeUntil(time);
        REQUIRE(this->found() > 0);
        CHECK(this->judge.violations().front().starts_with(
            "LOST at " + std::to_string(std::chrono::duration_cast<Duration>(time).count()) + ": "));
    }

    void checkNeverBroken()
    {
        this->observeUntil(60s);
        CHECK(this->judge.violations() == none);
    }

    RuleJudge judge;
    FleetView fleet;
    SteadyTime now {};
};

} // namespace

TEST_CASE("standing still: a job is noticed 3 s after the 14 s that follow the last submission")
{
    Course course;
    course.fleet.hasSubmissionsLeft = true;
    course.observeUntil(5s);
    course.fleet.hasSubmissionsLeft = false;
    course.checkBrokenAt(5100ms + 14s + 3s);
}

TEST_CASE("standing still: a job is noticed 3 s after its last run has ended, whatever the leader knows of the server")
{
    const RunEnd end = GENERATE(RunEnd::Failed, RunEnd::Stopped, RunEnd::Lapsed, RunEnd::Broken);
    Course course;
    course.start(task, 1, "a");
    course.observeUntil(20s);
    CHECK(course.found() == 0);
    course.judge.ended("a", task, 1, end, course.now);
    course.checkBrokenAt(20'100ms + 3s);
}

TEST_CASE("standing still: a job whose other task runs does not stand still")
{
    Course course({ stepOf(1, 2) });
    course.start({ "job", 0, 0, 1 }, 1, "a");
    course.checkNeverBroken();
}

TEST_CASE("standing still: a run that begins and ends between two observations begins the 3 s anew")
{
    Course course;
    course.observeUntil(16'000ms);
    course.play(task, 1, "a", RunEnd::Failed);
    course.checkBrokenAt(16'100ms + 3s);
}

TEST_CASE("standing still: a start in time begins the 3 s anew")
{
    Course course;
    course.observeUntil(16'900ms);
    course.start(task, 1, "a");
    course.observeUntil(17'500ms);
    course.judge.ended("a", task, 1, RunEnd::Failed, course.now);
    course.checkBrokenAt(17'600ms + 3s);
}

TEST_CASE("standing still: the turn of a task comes when the steps before it are done and taken note of")
{
    StepSpecification second = stepOf(1);
    second.prerequisites = { 0 };
    Course course({ stepOf(1), second });
    course.start(task, 1, "a");
    course.judge.ended("a", task, 1, RunEnd::Done, course.now);
    course.observeUntil(20s);
    CHECK(course.found() == 0);
    course.judge.notedEnd("a", task, 1, course.now);
    course.checkBrokenAt(20'100ms + 3s);
}

TEST_CASE("standing still: the turn of a scheduled job comes when it is due")
{
    Course course;
    JobRecord record { .id = "job" };
    record.specification.steps = { stepOf(1) };
    record.specification.occurrences = 1;
    record.specification.firstDue = 30s;
    course.judge.accepted(record, attempts);
    course.fleet.storeTime = 29s;
    course.observeUntil(30s);
    CHECK(course.found() == 0);
    course.fleet.storeTime = 30s;
    course.checkBrokenAt(30'100ms + 3s);
}

TEST_CASE("standing still: there must be room for the task twice over")
{
    // Three servers are full. The last has room for two tasks of four accelerators, but not of five.
    const std::int64_t need = GENERATE(4, 5);
    Course course({ stepOf(need) });
    for (std::size_t index = 0; index < 3; ++index)
        course.server(index).capacity.accelerators = 0;
    if (need == 4)
        course.checkBrokenAt(17s);
    else
        course.checkNeverBroken();
}

TEST_CASE("standing still: there must be room for a whole gang twice over")
{
    // Four servers hold eight tasks of four accelerators.
    const int members = GENERATE(4, 5);
    StepSpecification step = stepOf(4, members);
    step.gang = true;
    Course course({ step });
    if (members == 4)
        course.checkBrokenAt(17s);
    else
        course.checkNeverBroken();
}

TEST_CASE("standing still: only servers with the label and below the limit per server have room")
{
    const int labelled = GENERATE(1, 2);
    StepSpecification step = stepOf(1, 2);
    step.gang = true;
    step.requiredLabel = "l";
    step.maximumPerServer = 1;
    Course course({ step });
    for (int index = 0; index < labelled; ++index)
        course.server(static_cast<std::size_t>(index)).labels = { "l" };
    if (labelled == 2)
        course.checkBrokenAt(17s);
    else
        course.checkNeverBroken();
}

TEST_CASE("standing still: under half of each resource must be in use")
{
    const std::int64_t inUse = GENERATE(15, 16);
    Course course;
    course.server(0).inUse.accelerators = 8;
    course.server(1).inUse.accelerators = inUse - 8;
    if (inUse == 15)
        course.checkBrokenAt(17s);
    else
        course.checkNeverBroken();
}

TEST_CASE("standing still: room on a server counts once the leader has reached it for 3 s")
{
    Course course;
    for (ServerView& server : course.fleet.servers)
        server.isUsable = false;
    course.observeUntil(20s);
    CHECK(course.found() == 0);
    course.server(1).isUsable = true;
    course.checkBrokenAt(20'100ms + 3s + 3s);
}

TEST_CASE("standing still: faults elsewhere are no excuse")
{
    Course course;
    course.server(0).isUsable = false;
    course.server(1).isRegistered = course.server(1).isUsable = false;
    course.checkBrokenAt(17s);
}

TEST_CASE("standing still: nothing counts without a leader that reaches the store, or before it has led for 3 s")
{
    Course course;
    course.fleet.leader.clear();
    course.observeUntil(20s);
    CHECK(course.found() == 0);
    course.fleet.leader = "daemon-1";
    course.observeUntil(23s);
    course.fleet.leader = "daemon-2";
    course.checkBrokenAt(23'100ms + 3s + 3s);
}

TEST_CASE(
    "standing still: a cancelled job, one that has failed as often as allowed and one with two crashes are excused")
{
    const int kind = GENERATE(0, 1, 2);
    Course course;
    if (kind == 0)
        course.judge.cancelled("job");
    for (int attempt = 1; kind == 1 && attempt <= attempts; ++attempt)
        course.play(task, attempt, "a", RunEnd::Failed);
    for (int attempt = 1; kind == 2 && attempt <= 2; ++attempt) {
        course.start(task, attempt, "a");
        course.judge.crashed("a", {}, course.now);
    }
    course.checkNeverBroken();
}

TEST_CASE("standing still: two failures of three and one crash are no excuse")
{
    const bool crashes = GENERATE(false, true);
    Course course;
    course.play(task, 1, "a", RunEnd::Failed);
    course.play(task, 2, "b", RunEnd::Failed);
    if (crashes) {
        course.start(task, 3, "c");
        course.judge.crashed("c", {}, course.now);
    }
    course.checkBrokenAt(17s);
}

TEST_CASE("standing still: a run that ended on a server that is cut off is taken for alive until the lease expires")
{
    Course course;
    course.start(task, 1, "a");
    course.observeUntil(20s);
    course.server(0).isUsable = false;
    course.judge.ended("a", task, 1, RunEnd::Failed, course.now);
    course.observeUntil(25s);
    CHECK(course.found() == 0);
    course.server(0).holdsLease = false;
    course.checkBrokenAt(25'100ms + 3s);
}

TEST_CASE("standing still: a run on a server that crashed is taken for alive until its lease would have expired")
{
    Course course;
    course.start(task, 1, "a");
    course.observeUntil(20s);
    course.server(0).isRegistered = course.server(0).isUsable = false;
    course.judge.crashed("a", {}, course.now);
    course.checkBrokenAt(20'100ms + longestLease + 3s);
}

TEST_CASE("standing still: a run on a server that crashed is taken for alive until the machine is back")
{
    Course course;
    course.start(task, 1, "a");
    course.observeUntil(20s);
    course.judge.crashed("a", {}, course.now);
    course.server(0).life = "a2";
    course.checkBrokenAt(20'100ms + 3s + 3s);
}

TEST_CASE(
    "standing still: a task that lasts is noticed 6 s after its last run, in calm and however full the service is")
{
    Course course({ lastingStep(), lastingStep() });
    for (std::size_t index = 0; index < 3; ++index)
        course.server(index).inUse = course.server(index).capacity;
    course.fleet.hasSubmissionsLeft = true;
    course.fleet.isCalm = true;
    course.start(task, 1, "a");
    course.start({ "job", 0, 1, 0 }, 1, "d"); // runs on
    course.observeUntil(10s);
    course.judge.ended("a", task, 1, RunEnd::Failed, course.now);
    course.checkBrokenAt(10'100ms + 6s);
}

TEST_CASE("standing still: before the end of the submissions a task that lasts may wait until 7 s have been calm")
{
    Course course({ lastingStep() });
    course.fleet.hasSubmissionsLeft = true;
    course.play(task, 1, "a", RunEnd::Failed);
    course.observeUntil(20s);
    CHECK(course.found() == 0);
    course.fleet.isCalm = true;
    course.checkBrokenAt(20'100ms + 4s + 3s);
}

TEST_CASE("standing still: after the end of the submissions a task that lasts is noticed whatever faults go on")
{
    Course course({ lastingStep() });
    course.start(task, 1, "a");
    course.observeUntil(20s);
    course.judge.ended("a", task, 1, RunEnd::Failed, course.now);
    course.checkBrokenAt(20'100ms + 6s);
}

TEST_CASE("standing still: a task that lasts and has never run is noticed after 6 s")
{
    Course course({ lastingStep() });
    course.checkBrokenAt(14s + 6s);
}

TEST_CASE("standing still: failures do not excuse a task that lasts")
{
    Course course({ lastingStep() });
    for (int attempt = 1; attempt <= attempts + 1; ++attempt)
        course.play(task, attempt, "a", RunEnd::Failed);
    course.checkBrokenAt(17s);
}

TEST_CASE(
    "standing still: a start without an answer may be running until its lease would have expired or the server is back")
{
    const bool comesBack = GENERATE(false, true);
    Course course;
    course.server(0).isUsable = false;
    course.observeUntil(20s);
    CHECK(course.found() == 1); // not yet ordered
    Course ordered;
    ordered.server(0).isUsable = false;
    ordered.observeUntil(14s);
    ordered.judge.orderedWithoutAnswer("a", task, 1, ordered.now);
    ordered.server(0).isUsable = comesBack;
    ordered.checkBrokenAt(14'100ms + (comesBack ? 3s : longestLease) + 3s);
}

TEST_CASE("standing still: after a change of the leader, a lease counts as granted until the earlier one renews none "
          "any more")
{
    Course course;
    course.start(task, 1, "a");
    course.server(0).isUsable = course.server(0).holdsLease = false;
    course.judge.ended("a", task, 1, RunEnd::Lapsed, course.now);
    course.observeUntil(20s);
    CHECK(course.found() == 1);
    Course led;
    led.start(task, 1, "a");
    led.server(0).isUsable = led.server(0).holdsLease = false;
    led.judge.ended("a", task, 1, RunEnd::Lapsed, led.now);
    led.observeUntil(15s);
    led.fleet.leader = "daemon-1";
    led.checkBrokenAt(15'100ms + 8s + longestLease + 3s);
}
