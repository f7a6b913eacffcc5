#include "model/job.h"
#include "model/lease.h"
#include "model/requestclaim.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace WisteriaHill;
using namespace WisteriaHill::Model;

TEST_CASE("a stored claim keeps an answer of arbitrary bytes")
{
    CHECK(rc::check([](const std::string& body) {
        RequestClaim claim { .digest = "d", .claimant = EntryHostId("h"), .claimantIncarnation = 5, .nonce = 9 };
        claim.result = CallerAnswer { .status = 201, .outcome = Outcome::Completed, .body = body };
        const auto read = claimFromText(claimToText(claim));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->result->body == body);
        RC_ASSERT(read->result->status == 201);
    }));
    CHECK_FALSE(claimFromText("nothing"));
    CHECK_FALSE(claimFromText("{}"));
}

TEST_CASE("a job keeps its fields when it is stored and read")
{
    JobRecord job { .id = JobId("j1"), .zone = AvailabilityZoneId("akl"), .state = JobState::Running, .attempt = 2 };
    job.specification = { .account = ClientAccountId("a"), .shape = { 2, 8 }, .declaredRunTime = Duration(90'000) };
    job.placement = { { BackendServerId("w1"), 0xff } };
    const auto read = jobFromText(jobToJson(job).dump());
    REQUIRE(read);
    CHECK(read->state == JobState::Running);
    CHECK(read->specification.shape == GangShape { 2, 8 });
    CHECK(read->specification.declaredRunTime == Duration(90'000));
    CHECK(read->placement == job.placement);
    CHECK_FALSE(jobFromText("{\"id\": 3}"));
}

TEST_CASE("lease batches keep their operations in the backend servers' protocol")
{
    LeaseBatch batch { .inspect = true };
    batch.operations = { ReserveLease { .terms = { .job = JobId("j"), .gangToken = 8, .accelerators = 3 },
                             .timeToLive = Duration(500),
                             .replaces = { 4 } },
        StartTask { .token = 1, .payload = "100" }, RenewLease { .token = 2 }, AdoptLease { .token = 3 },
        EvictLease { .token = 4, .grace = Duration(9) }, CheckpointTask { .token = 5 }, ThrottleTask { 6, 50 },
        StopLease { .token = 7 } };
    const LeaseBatch read = leaseBatchFromJson(leaseBatchToJson(batch));
    REQUIRE(read.operations.size() == batch.operations.size());
    for (std::size_t index = 0; index < batch.operations.size(); ++index)
        CHECK(read.operations[index].index() == batch.operations[index].index());
    CHECK(std::get<ReserveLease>(read.operations[0]).replaces == std::vector<LeaseToken> { 4 });
    CHECK(std::get<EvictLease>(read.operations[4]).grace == Duration(9));
}
