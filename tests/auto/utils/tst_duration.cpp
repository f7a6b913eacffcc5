#include "utils/duration.h"

#include "utils/base64.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace WisteriaHill::Utils;
using namespace std::chrono_literals;

TEST_CASE("durations are read with their unit")
{
    CHECK(parseDuration("250ms") == 250ms);
    CHECK(parseDuration("2s") == 2s);
    CHECK(parseDuration("5min") == 5min);
    CHECK(parseDuration("1h") == 1h);
    for (const char* bad : { "", "s", "2", "-1s", "2 s", "2x", "99999999999999999999s", "9999999999h" })
        CHECK_FALSE(parseDuration(bad));
}

TEST_CASE("a formatted duration reads back")
{
    CHECK(rc::check([]() {
        const Duration duration(*rc::gen::inRange<std::int64_t>(0, 86'400'000'000));
        RC_ASSERT(parseDuration(formatDuration(duration)) == duration);
    }));
}

TEST_CASE("base64 restores arbitrary bytes")
{
    CHECK(rc::check([](const std::string& bytes) { RC_ASSERT(fromBase64(toBase64(bytes)) == bytes); }));
    CHECK_FALSE(fromBase64("abc"));
    CHECK_FALSE(fromBase64("a*=="));
}
