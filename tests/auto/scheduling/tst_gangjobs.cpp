#include "scheduling/gangjobs.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill;
using namespace WisteriaHill::Scheduling;

namespace {

const ClientAccount mill { .name = "mill", .guaranteedAccelerators = 16 };

FleetConfiguration twoQueues()
{
    return { .queues = { { .name = "ordinary", .host = "mill.example", .pathPrefix = "/score/", .priority = 1 },
                 { .name = "urgent", .host = "mill.example", .pathPrefix = "/cut/", .priority = 0 } } };
}

Model::JobSpecification shaped(std::uint32_t servers, std::uint32_t acceleratorsPerServer)
{
    return { .shape = { .servers = servers, .acceleratorsPerServer = acceleratorsPerServer }, .payload = "round" };
}

GangJob acceptedJob(
    const Model::JobSpecification& wanted, const FleetConfiguration& configuration, std::uint64_t random = 1)
{
    auto made = makeGangJob(wanted, mill, configuration, random);
    REQUIRE(std::holds_alternative<GangJob>(made));
    return std::get<GangJob>(made);
}

std::string rejectionReason(const Model::JobSpecification& wanted, const FleetConfiguration& configuration)
{
    auto made = makeGangJob(wanted, mill, configuration, 1);
    REQUIRE(std::holds_alternative<GangJobError>(made));
    return std::get<GangJobError>(made).reason;
}

} // namespace

TEST_CASE("a shape of several servers is one gang of whole members in one rack")
{
    const FleetConfiguration configuration = twoQueues();
    const GangJob job = acceptedJob(shaped(4, 8), configuration);
    CHECK(job.queue->name == "ordinary");
    CHECK(job.id.size() == 16);
    REQUIRE(job.specification.steps.size() == 1);
    const StepSpecification& step = job.specification.steps.front();
    CHECK(step.taskCount == 4);
    CHECK(step.perTask.accelerators == 8);
    CHECK(step.gang);
    CHECK(step.sameRack);
    CHECK(step.maximumPerServer == 1);
    CHECK(job.specification.payload == "round");
}

TEST_CASE("a shape of one server is a single task")
{
    const FleetConfiguration configuration = twoQueues();
    const GangJob job = acceptedJob(shaped(1, 3), configuration);
    CHECK_FALSE(job.specification.steps.front().gang);
}

TEST_CASE("urgent and guaranteed jobs go to the queue of priority 0")
{
    const FleetConfiguration configuration = twoQueues();
    Model::JobSpecification urgent = shaped(1, 1);
    urgent.urgent = true;
    CHECK(acceptedJob(urgent, configuration).queue->name == "urgent");
    Model::JobSpecification guaranteed = shaped(2, 8);
    guaranteed.guarantee = Model::GuaranteeId("saw-line");
    CHECK(acceptedJob(guaranteed, configuration).queue->name == "urgent");
    guaranteed.shape.servers = 3;
    CHECK_THAT(rejectionReason(guaranteed, configuration), Catch::Contains("24 accelerators"));
}

TEST_CASE("the same idempotency key gives the same job id")
{
    const FleetConfiguration configuration = twoQueues();
    Model::JobSpecification keyed = shaped(1, 1);
    keyed.idempotencyKey = "round-7";
    CHECK(acceptedJob(keyed, configuration, 1).id == acceptedJob(keyed, configuration, 2).id);
    CHECK(acceptedJob(shaped(1, 1), configuration, 1).id != acceptedJob(shaped(1, 1), configuration, 2).id);
}

TEST_CASE("a job that the fleet cannot run as requested is rejected with a reason")
{
    const FleetConfiguration configuration = twoQueues();
    Model::JobSpecification once = shaped(1, 1);
    once.idempotent = false;
    CHECK_THAT(rejectionReason(once, configuration), Catch::Contains("started again"));
    Model::JobSpecification attached = shaped(1, 1);
    attached.attached = true;
    CHECK_THAT(rejectionReason(attached, configuration), Catch::Contains("attached"));
    Model::JobSpecification oversized = shaped(1, 1);
    oversized.payload.assign(4001, 'x');
    CHECK_THAT(rejectionReason(oversized, configuration), Catch::Contains("4000 bytes"));
    CHECK_THAT(rejectionReason(shaped(1, 1), {}), Catch::Contains("no queue"));
}
