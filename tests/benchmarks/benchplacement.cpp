/// Measures how long the planner takes for one gang and for a whole queue, on zones of several sizes.
#include "controllers/placementplanner.h"
#include "support/documents.h"
#include "utils/randomsource.h"

#include <chrono>
#include <iomanip>
#include <iostream>

namespace {

using namespace WisteriaHill;
using namespace WisteriaHill::Controllers;

constexpr int repetitions = 200;
constexpr std::size_t queueLength = 200;

double microseconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

void measure(std::uint32_t servers)
{
    const auto parsed = Model::parseConfiguration(Tests::zoneDocuments({ .zone = "akl", .servers = servers }));
    const auto& configuration = std::get<Model::Configuration>(parsed);
    const Model::AvailabilityZone& zone = *configuration.zone(Model::AvailabilityZoneId("akl"));
    Utils::RandomSource random(servers);
    PlannerZone view { .zone = zone };
    for (std::size_t index = 0; index < zone.servers.size(); ++index) {
        const auto occupied = static_cast<Model::AcceleratorSet>(random.bits() & random.bits() & 0xffU);
        view.servers.push_back({ .free = 0xffU & ~occupied, .preemptible = occupied });
    }
    const std::uint32_t sizes[] = { 1, 2, 4, 8 };
    const auto begin = std::chrono::steady_clock::now();
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        const PlacementRequest request { .shape
            = { 1 + static_cast<std::uint32_t>(repetition) % 8, sizes[repetition % 4] },
            .mayEvict = repetition % 5 == 0 };
        (void)planPlacement(view, request);
    }
    const double one = microseconds(std::chrono::steady_clock::now() - begin) / repetitions;

    const auto queueBegin = std::chrono::steady_clock::now();
    for (std::size_t job = 0; job < queueLength; ++job)
        (void)planPlacement(view, { .shape = { 1 + static_cast<std::uint32_t>(job) % 8, sizes[job % 4] } });
    const double queue = microseconds(std::chrono::steady_clock::now() - queueBegin) / 1000;
    std::cout << std::fixed << std::setprecision(1) << "| " << servers << " | " << one << " | " << queue << " |\n";
}

} // namespace

int main()
{
    std::cout << "| servers in zone | one gang, us | queue of 200, ms |\n|---|---|---|\n";
    for (const std::uint32_t servers : { 32U, 64U, 127U, 254U, 760U })
        measure(servers);
    return 0;
}
