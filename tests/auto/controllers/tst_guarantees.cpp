#include "support/fleet.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill;
using namespace WisteriaHill::Tests;
using namespace std::chrono_literals;

namespace {

constexpr Duration urgentStartBound { 2300 };
constexpr Duration pollStep { 20 };
constexpr Duration notStarted { 1'000'000 };
constexpr Duration longCheckpoint { 60'000 }; ///< longer than any grace, so that every eviction takes its whole grace

/// A condition that delays the guaranteed job. Each is in effect for some seconds before the job is submitted, except
/// AnotherReclaim, which comes shortly before it.
enum class Obstacle {
    None,
    OtherHostKilled,
    OtherHostPaused,
    PlatformDown,
    PlatformSlow,
    ServerKilled,
    ServerSilent,
    ServerLeaving,
    PeersCut,
    AnotherReclaim,
    Count,
};

void injectObstacle(Fleet& fleet, Obstacle obstacle, std::size_t server)
{
    switch (obstacle) {
    case Obstacle::OtherHostKilled:
        fleet.kill(1);
        break;
    case Obstacle::OtherHostPaused:
        fleet.pause(1);
        break;
    case Obstacle::PlatformDown:
        fleet.faults.platformDown = true;
        break;
    case Obstacle::PlatformSlow:
        fleet.faults.platformDelay = 300ms;
        break;
    case Obstacle::ServerKilled:
        fleet.killServer(server);
        break;
    case Obstacle::ServerSilent:
        fleet.setSilent(server, true);
        break;
    case Obstacle::ServerLeaving:
        fleet.setLeaving(server);
        break;
    case Obstacle::PeersCut:
        fleet.cutFromPeers(0, true);
        break;
    case Obstacle::None:
    case Obstacle::AnotherReclaim:
    case Obstacle::Count:
        break;
    }
}

Model::JobSpecification guaranteed(bool attached)
{
    return { .account = Model::ClientAccountId("large"),
        .shape = { 2, 8 },
        .guarantee = Model::GuaranteeId("render"),
        .urgent = true,
        .attached = attached,
        .payload = "600000" };
}

bool guaranteedRuns(Fleet& fleet)
{
    for (const auto& [id, entry] : fleet.core(0).state().jobs) {
        if (!entry.record.specification.guarantee.empty() && entry.record.state == Model::JobState::Running)
            return true;
    }
    return false;
}

/// The time from the submission of the guaranteed job on host 0 until it runs, or notStarted.
Duration timeToStart(std::uint64_t seed, Obstacle obstacle, const std::string& urgentGrace)
{
    Fleet fleet({ .zone = { .servers = 6, .serversPerRack = 6, .spareServers = 1 },
        .seed = seed,
        .policy = { { "leasePeriod", "10s" }, { "reclaimGrace", "2s" }, { "urgentGrace", urgentGrace } },
        .guarantees = Utils::Json::parse(R"({"render": {"account": "large", "zone": "akl",
            "shape": {"servers": 2, "acceleratorsPerServer": 8}}})"),
        .checkpointTime = longCheckpoint });
    fleet.advance(3s);
    Utils::RandomSource random(seed);
    for (int borrower = 0; borrower < 8; ++borrower) {
        fleet.job(random.below(3),
            { .account = Model::ClientAccountId("small"),
                .shape = { 1 + static_cast<std::uint32_t>(random.below(3)), 8 },
                .payload = "600000" });
    }
    fleet.advance(5s);
    injectObstacle(fleet, obstacle, seed % 6);
    fleet.advance(8s);
    if (obstacle == Obstacle::AnotherReclaim) {
        fleet.job(
            2, { .account = Model::ClientAccountId("small"), .shape = { 2, 8 }, .urgent = true, .payload = "600000" });
        fleet.advance(Duration(static_cast<std::int64_t>(random.below(600))));
    }
    fleet.job(0, guaranteed(obstacle == Obstacle::PlatformDown));
    const SteadyTime submittedAt = fleet.now();
    while (fleet.now() - submittedAt < 30s) {
        if (guaranteedRuns(fleet))
            return std::chrono::duration_cast<Duration>(fleet.now() - submittedAt);
        fleet.advance(pollStep);
    }
    return notStarted;
}

} // namespace

TEST_CASE("a guaranteed shape starts within the bound under every obstacle")
{
    constexpr std::uint64_t seedsPerObstacle = 12;
    for (int number = 0; number < static_cast<int>(Obstacle::Count); ++number) {
        for (std::uint64_t seed = 1; seed <= seedsPerObstacle; ++seed) {
            const Duration took = timeToStart(seed, static_cast<Obstacle>(number), "500ms");
            INFO("obstacle " << number << ", seed " << seed);
            CHECK(took.count() <= urgentStartBound.count());
        }
    }
}

TEST_CASE("the check of the start bound detects a grace that is too long")
{
    CHECK(timeToStart(1, Obstacle::None, "3s") > urgentStartBound);
}
