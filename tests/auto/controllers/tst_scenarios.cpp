#include "support/scenario.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace WisteriaHill::Tests;

namespace {

const std::vector<std::string> nothing;

} // namespace

TEST_CASE("every scripted scenario holds")
{
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::directory_iterator(WISTERIAHILL_SCENARIOS)) {
        if (entry.path().extension() != ".scn")
            continue;
        ++count;
        std::ifstream file(entry.path());
        std::ostringstream text;
        text << file.rdbuf();
        INFO(entry.path().filename().string());
        CHECK(runScenario(text.str()) == nothing);
    }
    CHECK(count >= 20);
}

TEST_CASE("a scenario whose expectation does not hold fails with its line")
{
    const auto failures = runScenario("fleet hosts=1 servers=1\nrequest a host 0\nwait 1s\nexpect a outcome notRun\n");
    REQUIRE(failures.size() == 1);
    CHECK(failures.front() == "line 4: expected a outcome to be notRun, but it is completed");
}
