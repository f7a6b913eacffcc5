#include "scheduling/placement.h"

#include <catch2/catch.hpp>
#include <numeric>

using namespace WisteriaHill::Scheduling;

namespace {

constexpr Resources capacity { .milliCores = 32'000, .memoryMb = 64'000, .accelerators = 8 };

PlacementServer makeServer(const std::string& id, const std::string& rack, std::int64_t freeAccelerators)
{
    PlacementServer server { .id = id, .rack = rack, .capacity = capacity, .free = capacity };
    server.free.accelerators = freeAccelerators;
    return server;
}

std::vector<std::size_t> everyIndex(const std::vector<PlacementServer>& servers)
{
    std::vector<std::size_t> indices(servers.size());
    std::iota(indices.begin(), indices.end(), 0);
    return indices;
}

StepSpecification makeTask(std::int64_t accelerators)
{
    return { .perTask = { .milliCores = 1000, .memoryMb = 1000, .accelerators = accelerators } };
}

} // namespace

TEST_CASE("a small task goes to the fullest server that fits, so that whole servers stay free")
{
    std::vector<PlacementServer> servers { makeServer("empty", "r1", 8), makeServer("partly", "r1", 3) };
    const StepSpecification step = makeTask(2);
    const auto choice = placeTasks(servers, everyIndex(servers), { .step = &step });
    CHECK(choice.at(0) == 1);
    CHECK(servers[1].free.accelerators == 1);
}

TEST_CASE("a gang is placed whole or not at all")
{
    std::vector<PlacementServer> servers { makeServer("a", "r1", 8), makeServer("b", "r1", 4) };
    const StepSpecification step = makeTask(8);
    const auto choice = placeTasks(servers, everyIndex(servers), { .step = &step, .taskCount = 2, .allOrNone = true });
    CHECK_FALSE(choice.at(0));
    CHECK_FALSE(choice.at(1));
    CHECK(servers[0].free.accelerators == 8);
}

TEST_CASE("a gang of one rack takes the rack with the tightest fit")
{
    std::vector<PlacementServer> servers { makeServer("a", "r1", 8), makeServer("b", "r1", 8), makeServer("c", "r1", 8),
        makeServer("d", "r2", 8), makeServer("e", "r2", 8) };
    StepSpecification step = makeTask(8);
    step.taskCount = 2;
    step.sameRack = true;
    const auto choice = placeTasks(servers, everyIndex(servers), { .step = &step, .taskCount = 2, .allOrNone = true });
    CHECK(servers[*choice.at(0)].rack == "r2");
    CHECK(servers[*choice.at(1)].rack == "r2");
}

TEST_CASE("required labels, limits per server and data racks are respected")
{
    const std::set<std::string> labels { "b" };
    std::vector<PlacementServer> servers { makeServer("a", "r1", 8), makeServer("b", "r2", 8) };
    servers[1].labels = &labels;
    StepSpecification step = makeTask(1);
    step.requiredLabel = "b";
    CHECK(placeTasks(servers, everyIndex(servers), { .step = &step }).at(0) == 1);

    servers = { makeServer("a", "r1", 8), makeServer("b", "r2", 8) };
    step = makeTask(1);
    step.maximumPerServer = 1;
    const auto spread = placeTasks(servers, everyIndex(servers), { .step = &step, .taskCount = 3 });
    CHECK(spread.at(0));
    CHECK(spread.at(1));
    CHECK_FALSE(spread.at(2));

    step = makeTask(1);
    step.dataRack = "r1";
    CHECK(servers[*placeTasks(servers, everyIndex(servers), { .step = &step }).at(0)].rack == "r1");
    step.dataRack = "r9";
    CHECK_FALSE(placeTasks(servers, everyIndex(servers), { .step = &step }).at(0));
    CHECK(placeTasks(servers, everyIndex(servers), { .step = &step, .anyRack = true }).at(0));
}

TEST_CASE("avoided servers are used last, and reserved servers only by tasks that may use them")
{
    std::vector<PlacementServer> servers { makeServer("avoided", "r1", 2), makeServer("held", "r1", 3),
        makeServer("plain", "r1", 8) };
    servers[0].avoided = true;
    servers[1].reserved = true;
    const StepSpecification step = makeTask(1);
    CHECK(placeTasks(servers, everyIndex(servers), { .step = &step, .mayUseReserved = false }).at(0) == 2);
    CHECK(placeTasks(servers, everyIndex(servers), { .step = &step }).at(0) == 1);
}
