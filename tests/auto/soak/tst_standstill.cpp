// Guards against a soak that misses a job that stands still although servers have room for it, or that reports one
// which may stand.

#include "soak/standstill.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace WisteriaHill;
using namespace Soak;

namespace {

constexpr Moment at(int milliseconds) { return Moment(Duration(milliseconds)); }

constexpr const char* job = "00000000000000aa";
constexpr const char* otherJob = "00000000000000bb";
constexpr int servers = 6;
constexpr Moment trafficEnded = at(20'000);
constexpr Moment judgedFrom = at(34'000);
constexpr Moment failure = at(40'000); ///< end of a run
constexpr Moment finished = at(60'000);

Run runOf(const std::string& task, const std::string& server, Moment started, Moment ended, const char* outcome)
{
    return { .server = server, .task = task, .started = started, .ended = ended, .outcome = outcome };
}

JobHistory acceptedJob(const std::vector<PlannedStep>& steps)
{
    return { .steps = steps, .calls = { { .kind = CallKind::Submit, .ended = at(1000), .status = 200 } } };
}

/// The job's first run fails, and its next one starts so much later and succeeds at the end.
History historyOf(const PlannedStep& step, Duration standstill)
{
    History history { .runs = { runOf(taskName(job, 0, 0), "i-0", at(30'000), failure, "failed"),
                          runOf(taskName(job, 0, 0), "i-1", failure + standstill, finished, "done") },
        .servers = servers,
        .trafficEnded = trafficEnded,
        .finished = finished };
    history.jobs[job] = acceptedJob({ step });
    return history;
}

/// Adds tasks of another job that run all the time, one on each server from the given one on.
void addRuns(History& history, int count, int accelerators, int firstServer = 0)
{
    for (int index = 0; index < count; ++index) {
        const std::size_t step = history.jobs[otherJob].steps.size();
        history.jobs[otherJob].steps.push_back({ .accelerators = accelerators });
        history.runs.push_back(
            runOf(taskName(otherJob, step, 0), "i-" + std::to_string(firstServer + index), at(1000), finished, "done"));
    }
}

void checkFound(const History& history, bool expected, const std::string& name = job)
{
    const std::vector<std::string> findings = findStandstills(history).findings;
    CHECK(findings.size() == (expected ? 1 : 0));
    const std::vector<std::string> violations = findViolations(history);
    for (const std::string& finding : findings) {
        CHECK_THAT(finding, Catch::StartsWith(name + ": stands still"));
        CHECK(std::ranges::count(violations, finding) == 1);
    }
}

} // namespace

TEST_CASE("a job that has nothing running for 3 s is noticed, and not sooner")
{
    checkFound(historyOf({ .accelerators = 1 }, Duration(3100)), true);
    checkFound(historyOf({ .accelerators = 1 }, Duration(2900)), false);
}

TEST_CASE("a job may stand still until 14 s after the end of the traffic")
{
    History history = historyOf({ .accelerators = 1 }, Duration(0));
    history.runs.front().ended = at(30'500);
    history.runs.back().started = judgedFrom + Duration(2900);
    checkFound(history, false);
    history.runs.back().started = judgedFrom + Duration(3100);
    checkFound(history, true);
}

TEST_CASE("a job that has never run is noticed")
{
    History history = historyOf({ .accelerators = 1 }, Duration(0));
    history.runs.erase(history.runs.begin());
    checkFound(history, true);
}

TEST_CASE("a job may stand still while there is room for its task once only")
{
    History history = historyOf({ .accelerators = acceleratorsPerServer }, Duration(4000));
    addRuns(history, servers - 2, 1);
    checkFound(history, true);
    addRuns(history, 1, 1, servers - 2);
    checkFound(history, false);
}

TEST_CASE("a gang may stand still while there is room for it once only")
{
    History history = historyOf({ .tasks = 3, .gang = true, .accelerators = acceleratorsPerServer }, Duration(4000));
    checkFound(history, true);
    addRuns(history, 1, 1);
    checkFound(history, false);
}

TEST_CASE("a job may stand still while half of the capacity is in use")
{
    History history = historyOf({ .accelerators = 1 }, Duration(4000));
    addRuns(history, 3, 7);
    addRuns(history, 1, 2, 3);
    checkFound(history, true);
    addRuns(history, 1, 1, 4);
    checkFound(history, false);
}

TEST_CASE("a step that waits for another one does not stand still")
{
    History history = historyOf({ .accelerators = acceleratorsPerServer }, Duration(4000));
    history.jobs[job].steps.push_back({ .afterPrevious = true, .accelerators = 1 });
    addRuns(history, servers, 1);
    checkFound(history, false);
}

TEST_CASE("a job stands still from the end of the step that its next one waits for")
{
    History history = historyOf({ .accelerators = 1 }, Duration(4000));
    history.jobs[job].steps.push_back({ .afterPrevious = true, .accelerators = 1 });
    history.runs.front().outcome = "done";
    history.runs.back().task = taskName(job, 1, 0);
    checkFound(history, true);
}

TEST_CASE("a job that was not accepted, has ended or was cancelled does not stand still")
{
    History history = historyOf({ .accelerators = 1 }, Duration(4000));
    std::vector<Call>& calls = history.jobs[job].calls;
    SECTION("not accepted") { calls.front().status = 503; }
    SECTION("ended") { calls.push_back({ .ended = failure + Duration(500), .status = 200, .state = "failed" }); }
    SECTION("cancelled") { calls.push_back({ .kind = CallKind::Cancel, .sent = failure, .ended = finished }); }
    checkFound(history, false);
}

TEST_CASE("a task that lasts and has no run for 6 s is noticed, and not sooner")
{
    const PlannedStep step { .tasks = 2, .accelerators = 1, .lasts = true };
    const std::string other = taskName(job, 0, 1);
    for (const int standstill : { 5900, 6200 }) {
        History history = historyOf(step, Duration(standstill));
        history.runs.push_back(runOf(other, "i-2", at(1000), finished, "stopped"));
        const bool expected = standstill > 6000;
        checkFound(history, expected, taskName(job, 0, 0));
        addRuns(history, servers - 1, acceleratorsPerServer, 1); // however full the service is
        checkFound(history, expected, taskName(job, 0, 0));
        addRuns(history, 1, acceleratorsPerServer - 1);
        checkFound(history, false);
    }
}
