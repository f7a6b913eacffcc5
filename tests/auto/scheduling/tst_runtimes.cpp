#include "scheduling/rowcodec.h"
#include "scheduling/runtimes.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>

using namespace WisteriaHill::Scheduling;
using namespace std::chrono_literals;

namespace {

constexpr const char* queue = "renders";

} // namespace

TEST_CASE("without completed runs the declared run time is expected")
{
    const RunTimes times;
    CHECK(times.expected(queue, 1234ms) == 1234ms);
}

TEST_CASE("declared run times without relation to the actual ones are replaced by the queue's mean")
{
    RunTimes times;
    constexpr std::array declared { 500ms, 1000ms, 4000ms, 20'000ms, 30'000ms, 700ms, 9000ms, 2000ms, 15'000ms,
        6000ms };
    for (const Duration time : declared)
        times.learn(queue, time, 7000ms, 1);
    CHECK(times.expected(queue, 400ms) > 4500ms);
    CHECK(times.expected(queue, 30'000ms) < 10'000ms);
    CHECK(times.expected("others", 400ms) == 400ms);
}

TEST_CASE("declared run times that match the actual ones are used after many runs")
{
    RunTimes times;
    for (Duration time = 500ms; time <= 20s; time += 500ms)
        times.learn(queue, time, time * 11 / 10, 1);
    CHECK(times.expected(queue, 1000ms) > 900ms);
    CHECK(times.expected(queue, 1000ms) < 1500ms);
    CHECK(times.expected(queue, 20s) > 18s);
    CHECK(times.expected(queue, 20s) < 25s);
}

TEST_CASE("one outlier among the runs changes the expected run time little")
{
    RunTimes times;
    times.learn(queue, 1000ms, 60s, 1);
    CHECK(times.expected(queue, 1000ms) < 5s);
}

TEST_CASE("a longer declared run time is never expected to end earlier and every expectation is positive")
{
    const bool held = rc::check([]() {
        RunTimes times;
        const auto runs = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 100'000), rc::gen::inRange(0, 100'000)));
        for (const auto& [declared, ran] : runs)
            times.learn(queue, Duration(declared), Duration(ran), 1);
        const int shorter = *rc::gen::inRange(1, 100'000);
        const int longer = *rc::gen::inRange(shorter, 100'001);
        RC_ASSERT(times.expected(queue, Duration(shorter)) <= times.expected(queue, Duration(longer)));
        RC_ASSERT(times.expected(queue, Duration(shorter)).count() >= 0);
    });
    CHECK(held);
}

TEST_CASE("run time sums are decoded as they were encoded, and malformed rows are rejected")
{
    const RunTimeSums sums { .weight = 3.5, .x = 28.25, .y = 30.5, .xx = 240.125, .xy = 250 };
    CHECK(decodeRunTimes(encodeRunTimes(sums)) == sums);
    CHECK_FALSE(decodeRunTimes("{}").has_value());
    CHECK_FALSE(decodeRunTimes("[1]").has_value());
}
