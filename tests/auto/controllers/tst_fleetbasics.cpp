#include "support/fleet.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill;
using namespace WisteriaHill::Tests;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> nothing;

} // namespace

TEST_CASE("a fleet answers requests and runs gangs")
{
    Fleet fleet({});
    fleet.advance(2s);
    for (std::size_t host = 0; host < fleet.hostCount(); ++host)
        CHECK(fleet.core(host).ready());
    fleet.request(0, "one");
    fleet.request(1, "two", "key-two");
    const auto job = fleet.job(2, { .account = Model::ClientAccountId("large"), .shape = { 2, 8 }, .payload = "3000" });
    fleet.advance(5s);
    CHECK(fleet.oracle().completed() == 2);
    REQUIRE(fleet.documentAnswer(job) != nullptr);
    CHECK(fleet.documentAnswer(job)->status == 202);
    fleet.advance(5s);
    CHECK(fleet.logged(Utils::Event::JobFinished));
    CHECK(fleet.violations() == nothing);
}

TEST_CASE("a host that is stopped before it has a configuration refuses requests")
{
    Fleet fleet({});
    fleet.faults.platformDown = true;
    fleet.stopGracefully(0);
    fleet.request(0, "early");
    fleet.advance(5s);
    CHECK(fleet.hasExited(0));
    CHECK(fleet.violations() == nothing);
}
