// How long the judge waits for the work that is owed.

#include "emulator/rules.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Emulator;
using namespace WisteriaHill::Scheduling;
using namespace std::chrono_literals;

namespace {

const Resources capacity { .milliCores = 8000, .memoryMb = 8000, .accelerators = 8 };
const StartOrigin inTouch { .inTouch = true };

SteadyTime at(int seconds) { return SteadyTime(std::chrono::seconds(seconds)); }

JobRecord makeJob(const std::string& id, int tasks, Duration work)
{
    JobRecord record { .id = id };
    record.specification.steps = { { .taskCount = tasks, .perTask = capacity, .estimate = work } };
    return record;
}

/// Two servers crash under the first task of a job.
void crashTwice(RuleJudge& judge, const std::string& job)
{
    for (int attempt = 1; attempt <= 2; ++attempt) {
        judge.started("a", { job, 0, 0, 0 }, attempt, inTouch, at(attempt));
        judge.crashed("a", {}, at(attempt));
    }
}

} // namespace

TEST_CASE("the work of a job that may be given up counts as long as it is not, as it is done before other work")
{
    constexpr int attempts = 3;
    RuleJudge judge(6s);
    judge.accepted(makeJob("unlucky", 10, 20s), attempts);
    judge.accepted(makeJob("other", 2, 4s), attempts);
    const auto time = [&]() { return judge.timeOfWorkOwed(2, capacity, {}); };
    CHECK(time() == 20s + 100s + 4s);
    crashTwice(judge, "unlucky");
    CHECK(time() == 4s + 100s + 4s); // the chain of the job itself is not owed
    SECTION("until it is shown as failed")
    {
        judge.shown("unlucky", JobState::Failed, at(5));
        CHECK(time() == 4s + 4s);
        CHECK(judge.violations().empty());
    }
    SECTION("until it is cancelled")
    {
        judge.cancelled("unlucky");
        CHECK(time() == 4s + 4s);
    }
}
