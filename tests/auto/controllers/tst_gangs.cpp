#include "support/fleet.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill;
using namespace WisteriaHill::Tests;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> nothing;

Model::JobSpecification gang(std::uint32_t servers, const std::string& payload)
{
    return { .account = Model::ClientAccountId("large"), .shape = { servers, 8 }, .payload = payload };
}

std::string stateOf(Fleet& fleet, Model::CallerId submission)
{
    const auto* answer = fleet.documentAnswer(submission);
    if (!answer)
        return "unanswered";
    const auto row = fleet.table().rows().find("jobs/akl/" + answer->document.at("id").get<std::string>());
    return std::string(Model::jobStateName(Model::jobFromText(row->second.value)->state));
}

/// Violations after servers 0, 3 and 6 fall silent to all daemons, so that a running gang of three adjacent servers
/// loses exactly one member.
std::vector<std::string> silenceOneMember(BrokenVariant broken)
{
    Fleet fleet({ .zone = { .servers = 7, .serversPerRack = 7 }, .broken = broken });
    fleet.advance(3s);
    fleet.job(0, gang(3, "60000"));
    fleet.advance(3s);
    fleet.setSilent(0, true);
    fleet.setSilent(3, true);
    fleet.setSilent(6, true);
    fleet.advance(60s);
    return fleet.violations();
}

} // namespace

TEST_CASE("a gang whose member is lost stops as a whole within the lease period")
{
    CHECK(silenceOneMember(BrokenVariant::None) == nothing);
    CHECK(silenceOneMember(BrokenVariant::ServerIgnoresLeaseExpiry) != nothing);
}

TEST_CASE("the longest partial run after any lost member stays within the bound of the lease period")
{
    Duration longest { 0 };
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Fleet fleet({ .zone = { .servers = 4 }, .seed = seed });
        fleet.advance(3s);
        fleet.job(0, gang(3, "30000"));
        fleet.advance(Duration(1000 + seed * 137));
        if (seed % 3 == 0)
            fleet.killServer(seed % 4);
        else if (seed % 3 == 1)
            fleet.setSilent(seed % 4, true);
        else
            fleet.cutFromServer(0, seed % 4, true);
        if (seed % 5 == 0)
            fleet.kill(0);
        fleet.advance(30s);
        CHECK(fleet.violations() == nothing);
        longest = std::max(longest, fleet.oracle().longestPartialRun());
    }
    INFO("longest partial run " << longest.count() << " ms");
    CHECK(longest > 0ms);
    CHECK(longest <= 9000ms);
}

TEST_CASE("a job outlives the daemon that owns it")
{
    Fleet fleet({});
    fleet.advance(3s);
    const auto job = fleet.job(0, gang(2, "20000"));
    fleet.advance(3s);
    fleet.kill(0);
    fleet.advance(60s);
    CHECK(fleet.logged(Utils::Event::JobTakenOver));
    CHECK(stateOf(fleet, job) == "finished");
    CHECK(fleet.violations() == nothing);
}

TEST_CASE("a graceful stop hands a running gang over without stopping it")
{
    Fleet fleet({});
    fleet.advance(3s);
    const auto job = fleet.job(0, gang(2, "20000"));
    fleet.advance(3s);
    fleet.stopGracefully(0);
    fleet.advance(25s);
    CHECK(fleet.hasExited(0));
    CHECK(stateOf(fleet, job) == "finished");
    CHECK_FALSE(fleet.logged(Utils::Event::JobRequeued));
    CHECK(fleet.violations() == nothing);
}

TEST_CASE("a job finishes and runs once although its owner is paused and resumes")
{
    for (const Duration paused : { 2s, 5s, 9s, 20s, 40s }) {
        Fleet fleet({});
        fleet.advance(3s);
        const auto job = fleet.job(0, gang(2, "15000"));
        fleet.advance(2s);
        fleet.pause(0);
        fleet.advance(paused);
        fleet.resume(0);
        fleet.advance(80s);
        INFO("paused for " << paused.count() << " ms");
        CHECK(stateOf(fleet, job) == "finished");
        CHECK(fleet.violations() == nothing);
    }
}

TEST_CASE("a takeover whose answer is lost starts no second attempt beside the first")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Fleet fleet({ .seed = seed });
        fleet.advance(3s);
        fleet.job(0, gang(2, "20000"));
        fleet.advance(2s);
        fleet.stopGracefully(0);
        fleet.faults.answerLossRate = 0.5;
        fleet.advance(3s);
        fleet.faults.answerLossRate = 0;
        fleet.advance(60s);
        CHECK(fleet.violations() == nothing);
    }
}

TEST_CASE("a job that fails while its cancellation is in progress gets a final row")
{
    Fleet fleet({});
    fleet.advance(3s);
    auto specification = gang(2, "fail");
    specification.idempotent = false;
    const auto job = fleet.job(0, specification);
    fleet.advance(20ms);
    fleet.cancelJob(1, fleet.documentAnswer(job)->document.at("id").get<Model::JobId>());
    fleet.advance(10s);
    CHECK((stateOf(fleet, job) == "failed" || stateOf(fleet, job) == "cancelled"));
}

TEST_CASE("an attached job runs while the platform is unavailable, and its caller gets the outcome")
{
    Fleet fleet({});
    fleet.advance(3s);
    fleet.faults.platformDown = true;
    auto specification = gang(2, "3000");
    specification.attached = true;
    const auto job = fleet.job(1, specification);
    fleet.advance(10s);
    const auto durable = fleet.job(1, gang(1, "100"));
    fleet.advance(50ms);
    REQUIRE(fleet.documentAnswer(job) != nullptr);
    CHECK(fleet.documentAnswer(job)->document.at("outcome") == "completed");
    REQUIRE(fleet.documentAnswer(durable) != nullptr);
    CHECK(fleet.documentAnswer(durable)->document.at("outcome") == "notRun");
    CHECK(fleet.documentAnswer(durable)->retryAfter.has_value());
}

TEST_CASE("a queued attached job is refused at once when its host stops")
{
    Fleet fleet({ .zone = { .servers = 1 } });
    fleet.advance(3s);
    fleet.job(0, gang(1, "20000"));
    fleet.advance(1s);
    auto specification = gang(1, "1000");
    specification.attached = true;
    const auto waiting = fleet.job(0, specification);
    fleet.advance(1s);
    fleet.stopGracefully(0);
    fleet.advance(100ms);
    REQUIRE(fleet.documentAnswer(waiting) != nullptr);
    CHECK(fleet.documentAnswer(waiting)->document.at("outcome") == "notRun");
    CHECK(fleet.documentAnswer(waiting)->retryAfter.has_value());
}

TEST_CASE("no durable job is accepted before the host has a session that others can see lapse")
{
    Fleet fleet({});
    fleet.advance(3s);
    fleet.kill(0);
    fleet.start(0);
    fleet.advance(60ms);
    const auto early = fleet.job(0, gang(1, "1000"));
    fleet.kill(0);
    fleet.advance(60s);
    const auto* answer = fleet.documentAnswer(early);
    const bool refused = answer && answer->document.value("outcome", "") == "notRun";
    CHECK((refused || stateOf(fleet, early) == "finished"));
}
