// Guards against a soak that misses a violation: findViolations() detects each kind, and reports none for a history
// without one.

#include "soak/history.h"
#include "support/fakeserver.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill;
using namespace Soak;
using namespace std::chrono_literals;

namespace {

constexpr Moment at(int milliseconds) { return Moment(Duration(milliseconds)); }

constexpr const char* job = "00000000000000aa";
constexpr const char* firstTask = "00000000000000aa.0.0.0";
constexpr const char* secondStepTask = "00000000000000aa.0.1.0";
constexpr Moment healed = at(20'000);
constexpr Moment finished = at(60'000);

Run doneRun(const std::string& task, Moment started, Moment ended)
{
    return { .server = "i-1",
        .task = task,
        .attempt = 1,
        .started = started,
        .ended = ended,
        .outcome = "done",
        .acknowledged = true };
}

Call submitted(int status)
{
    return { .kind = CallKind::Submit, .sent = at(1000), .ended = at(1010), .status = status };
}

Call shown(const std::string& state, Moment moment)
{
    return { .kind = CallKind::State, .sent = moment, .ended = moment + Duration(5), .status = 200, .state = state };
}

Call cancelledAt(Moment moment)
{
    return { .kind = CallKind::Cancel, .sent = moment, .ended = moment + Duration(5), .status = 200 };
}

/// A job of two steps that was accepted, run and shown as completed.
History soundHistory()
{
    History history { .runs = { doneRun(firstTask, at(1100), at(2000)), doneRun(secondStepTask, at(2100), at(3000)) },
        .healed = healed,
        .finished = finished };
    history.jobs[job] = { .steps = { {}, { .afterPrevious = true } },
        .calls = { submitted(200), shown("running", at(1500)), shown("completed", at(4000)) } };
    return history;
}

void checkFinds(const History& history, const std::string& part)
{
    const std::vector<std::string> broken = findViolations(history);
    REQUIRE(!broken.empty());
    CHECK_THAT(broken.front(), Catch::Contains(part));
}

Scheduling::PollOrder pollThat(std::int64_t acknowledges, Scheduling::ServerTime leaseEnd)
{
    return { .leaseEnd = leaseEnd, .token = 1, .acknowledged = acknowledges };
}

/// How an end that is acknowledged `after` its run's end is reported by a server with a lease of 1 s.
TestSupport::RunEvent::Kind acknowledgement(Scheduling::Duration after)
{
    TestSupport::FakeServer server({ .id = "i-0", .capacity = { .milliCores = 1 } }, 1);
    TestSupport::RunEvent::Kind last = TestSupport::RunEvent::Kind::Started;
    server.onRunEvent = [&last](const TestSupport::RunEvent& event) { last = event.kind; };
    server.handle(
        Scheduling::StartOrder { .task = { "a", 0, 0, 0 }, .attempt = 1, .leaseEnd = 1000ms, .token = 1 }, {}, 10ms);
    for (Scheduling::Duration passed(0); passed < 10ms + after; passed += 10ms)
        server.advance(10ms);
    server.handle(pollThat(1, 5000ms), {}, {});
    return last;
}

} // namespace

TEST_CASE("a history without a violation has no findings") { CHECK(findViolations(soundHistory()).empty()); }

TEST_CASE("a task that runs twice at once is noticed")
{
    History history = soundHistory();
    history.runs.push_back(
        { .server = "i-2", .task = firstTask, .attempt = 2, .started = at(1500), .ended = at(1900) });
    checkFinds(history, "still ran");
}

TEST_CASE("a start after an end that was acknowledged is noticed")
{
    History history = soundHistory();
    history.runs.push_back(
        { .server = "i-2", .task = firstTask, .attempt = 2, .started = at(2500), .ended = at(2900) });
    checkFinds(history, "was done");
}

TEST_CASE("a run after an end that a server lost is no second run")
{
    History history = soundHistory();
    history.runs.front().acknowledged = false;
    history.runs.push_back(doneRun(firstTask, at(2010), at(2050)));
    CHECK(findViolations(history).empty());
}

TEST_CASE("a step that starts too early is noticed")
{
    History history = soundHistory();
    history.runs.back().started = at(1900);
    checkFinds(history, "before the step that it waits for");
}

TEST_CASE("a start that nobody asked for is noticed")
{
    History history = soundHistory();
    history.runs.push_back(doneRun("00000000000000bb.0.0.0", at(1000), at(1100)));
    checkFinds(history, "nobody asked for it");
}

TEST_CASE("a refused job that runs is noticed")
{
    History history = soundHistory();
    history.jobs[job].calls = { submitted(503), submitted(429) };
    checkFinds(history, "every attempt to submit it was refused");
}

TEST_CASE("a refusal after a call without an answer leaves the job undecided")
{
    History history = soundHistory();
    history.jobs[job].calls = { submitted(0), submitted(503) };
    CHECK(findViolations(history).empty());
}

TEST_CASE("states that are not true are noticed")
{
    History history = soundHistory();
    SECTION("completed too early")
    {
        history.jobs[job].calls.back() = shown("completed", at(2500));
        checkFinds(history, "shown as completed before step 1 was done");
    }
    SECTION("failed without cause")
    {
        history.jobs[job].calls.back() = shown("failed", at(4000));
        checkFinds(history, "failed without cause");
    }
    SECTION("cancelled by nobody")
    {
        history.jobs[job].calls.back() = shown("cancelled", at(4000));
        checkFinds(history, "nobody cancelled it");
    }
    SECTION("another state after the last one")
    {
        history.jobs[job].calls.push_back(shown("running", at(5000)));
        checkFinds(history, "shown as running after completed");
    }
}

TEST_CASE("an accepted job that is unknown or does not end is noticed")
{
    History history = soundHistory();
    SECTION("unknown")
    {
        history.jobs[job].calls.push_back(
            { .kind = CallKind::State, .sent = at(9000), .ended = at(9005), .status = 410 });
        checkFinds(history, "unknown to daemon 0");
    }
    SECTION("not ended")
    {
        history.jobs[job].calls.pop_back();
        checkFinds(history, "not ended");
    }
}

TEST_CASE("work for a cancelled job is noticed")
{
    History history = soundHistory();
    history.jobs[job].calls = { submitted(200), cancelledAt(at(1500)), shown("cancelled", at(2000)) };
    SECTION("a late start")
    {
        history.runs.push_back({ .server = "i-2",
            .task = "00000000000000aa.0.0.1",
            .attempt = 1,
            .started = healed + Duration(4000),
            .ended = healed + Duration(4500) });
        checkFinds(history, "started after the job was cancelled");
    }
    SECTION("a run that goes on")
    {
        history.runs.push_back(
            { .server = "i-2", .task = "00000000000000aa.0.0.1", .attempt = 1, .started = at(1200) });
        checkFinds(history, "runs on");
    }
}

TEST_CASE("bad ends of processes are noticed")
{
    History history = soundHistory();
    SECTION("by itself")
    {
        history.unexpectedEnds = { "daemon 1" };
        checkFinds(history, "ended by itself");
    }
    SECTION("a graceful stop with a status")
    {
        history.stops = { { .requested = at(5000), .exited = at(6000), .status = 1 } };
        checkFinds(history, "ended with status 1");
    }
    SECTION("a graceful stop that is late")
    {
        history.stops = { { .requested = at(5000), .exited = at(12'000), .status = 0 } };
        checkFinds(history, "took 7000 ms");
    }
    SECTION("a graceful stop that is late after a pause")
    {
        history.stops = { { .requested = at(5000), .resumed = at(7000), .exited = at(12'900), .status = 0 } };
        CHECK(findViolations(history).empty());
        history.stops.front().exited = at(13'100);
        checkFinds(history, "took 6100 ms");
    }
    SECTION("a graceful stop that cuts off a call")
    {
        history.stops = { { .requested = at(5000), .exited = at(6000), .status = 0, .faultFree = true } };
        history.jobs[job].calls.push_back(
            { .kind = CallKind::State, .sent = at(4900), .ended = at(5900), .broken = true });
        checkFinds(history, "cut off a call");
    }
}

TEST_CASE("a gang has failed when three of its attempts have, whichever members failed")
{
    const int attempts = GENERATE(2, 3);
    History history = soundHistory();
    history.runs.clear();
    for (int attempt = 1; attempt <= attempts; ++attempt) {
        for (int member = 0; member < 3; ++member)
            history.runs.push_back({ .server = "i-" + std::to_string(member),
                .task = std::string(job) + ".0.0." + std::to_string(member),
                .attempt = attempt,
                .started = at(1000 * attempt),
                .ended = at(1000 * attempt + 500),
                .outcome = member == attempt % 3 ? "failed" : "broken",
                .acknowledged = true });
    }
    history.jobs[job] = { .steps = { { .tasks = 3, .gang = true } },
        .calls = { submitted(200), shown("running", at(1500)), shown("failed", at(4000)) } };
    if (attempts == 3)
        CHECK(findViolations(history).empty());
    else
        checkFinds(history, "failed without cause");
}

TEST_CASE("a job whose task lasts has not failed, however often its runs have")
{
    History history = soundHistory();
    history.runs.clear();
    for (int attempt = 1; attempt <= 3; ++attempt)
        history.runs.push_back({ .server = "i-1",
            .task = firstTask,
            .attempt = attempt,
            .started = at(1000 * attempt),
            .ended = at(1000 * attempt + 500),
            .outcome = "failed",
            .acknowledged = true });
    history.jobs[job] = { .steps = { { .lasts = true } }, .calls = { submitted(200), shown("failed", at(4000)) } };
    checkFinds(history, "failed without cause");
}

TEST_CASE("a job may be given up when two servers were killed under one of its tasks, and not sooner")
{
    const int kills = GENERATE(1, 2);
    History history = soundHistory();
    history.runs.clear();
    for (int attempt = 1; attempt <= kills; ++attempt)
        history.runs.push_back({ .server = "i-1",
            .task = firstTask,
            .attempt = attempt,
            .started = at(1000 * attempt),
            .ended = at(1000 * attempt + 20) });
    history.jobs[job].calls = { submitted(200), shown("running", at(1500)), shown("failed", at(4000)) };
    if (kills == 2)
        CHECK(findViolations(history).empty());
    else
        checkFinds(history, "failed without cause");
}

TEST_CASE("an end counts as acknowledged unless the lease of its server lapsed before")
{
    CHECK(acknowledgement(500ms) == TestSupport::RunEvent::Kind::Acknowledged);
    CHECK(acknowledgement(1500ms) == TestSupport::RunEvent::Kind::AcknowledgedLate);
}
