#include "scheduling/rowcodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace WisteriaHill::Scheduling;

namespace {

JobRecord makeRecord()
{
    JobRecord record {
        .id = "0123456789abcdef", .host = "h", .pathPrefix = "/p/", .account = "a", .acceptedAt = StoreTime(7)
    };
    record.specification.payload = "text";
    record.specification.steps = { { .taskCount = 2, .gang = true }, { .taskCount = 1, .prerequisites = { 0 } } };
    record.specification.occurrences = 3;
    record.specification.interval = Duration(500);
    return record;
}

Occurrence makeOccurrence()
{
    Occurrence occurrence;
    occurrence.steps.resize(2);
    occurrence.steps[0].tasks.resize(2);
    occurrence.steps[1].tasks.resize(1);
    return occurrence;
}

} // namespace

TEST_CASE("jobs survive encoding and decoding")
{
    const JobRecord record = makeRecord();
    const std::optional<JobRecord> read = decodeJob(encodeJob(record));
    REQUIRE(read);
    CHECK(read->id == record.id);
    CHECK(read->account == record.account);
    CHECK(read->specification == record.specification);
}

TEST_CASE("stored progress keeps attempts, failures, checkpoints, crashes and runs")
{
    Occurrence occurrence = makeOccurrence();
    Task& task = occurrence.steps[0].tasks[1];
    task.phase = TaskPhase::Running;
    task.attempts = 4;
    task.failures = 1;
    task.checkpoint = "c";
    task.crashes = 2;
    task.provenCrashes = 1;
    task.suspicion = 5;
    task.runsAfterCrashes = 1;
    task.run = Run { .attempt = 4, .server = "s", .incarnation = 9, .machine = "m", .checkpoint = "c" };
    Task& waiting = occurrence.steps[0].tasks[0];
    waiting.attempts = 1;
    waiting.lostRuns = { { .server = "gone", .incarnation = 7, .suspicion = 3, .wasThere = false },
        { .server = "cut", .incarnation = 8 } };
    occurrence.steps[1].tasks[0].phase = TaskPhase::Done;
    Occurrence read = makeOccurrence();
    REQUIRE(decodeProgress(encodeProgress(occurrence), read));
    REQUIRE(read.steps[0].tasks[1].run);
    CHECK(read.steps[0].tasks[1].run->server == "s");
    CHECK(read.steps[0].tasks[1].run->attempt == 4);
    CHECK(read.steps[0].tasks[1].run->machine == "m");
    CHECK(read.steps[0].tasks[1].failures == 1);
    CHECK(read.steps[1].tasks[0].phase == TaskPhase::Done);
    CHECK(read.steps[0].tasks[0].phase == TaskPhase::Waiting);
    CHECK(read.steps[0].tasks[1].crashes == 2);
    CHECK(read.steps[0].tasks[1].provenCrashes == 1);
    CHECK(read.steps[0].tasks[1].suspicion == 5);
    CHECK(read.steps[0].tasks[1].runsAfterCrashes == 1);
    REQUIRE(read.steps[0].tasks[0].lostRuns.size() == 2);
    CHECK(read.steps[0].tasks[0].lostRuns[0].server == "gone");
    CHECK(read.steps[0].tasks[0].lostRuns[0].incarnation == 7);
    CHECK(read.steps[0].tasks[0].lostRuns[0].suspicion == 3);
    CHECK_FALSE(read.steps[0].tasks[0].lostRuns[0].wasThere);
    CHECK(read.steps[0].tasks[0].lostRuns[1].server == "cut");
    CHECK(read.steps[0].tasks[0].lostRuns[1].wasThere);
}

TEST_CASE("rows of earlier releases name no machine, and all crashes in them count as proven")
{
    Occurrence read = makeOccurrence();
    REQUIRE(decodeProgress(
        R"([[[1,1,4,0,"c","s",9,"c",{"crashes":2,"suspicion":3,"lost":[["gone",7,3]]}]],[[0,2,1,0,""]]])", read));
    const Task& task = read.steps[0].tasks[1];
    REQUIRE(task.run);
    CHECK(task.run->machine.empty());
    CHECK(task.run->incarnation == 9);
    CHECK(task.provenCrashes == 2);
    REQUIRE(task.lostRuns.size() == 1);
    CHECK(task.lostRuns[0].wasThere);
}

TEST_CASE("malformed rows are rejected as a whole")
{
    CHECK_FALSE(decodeJob("not json"));
    CHECK_FALSE(decodeJob(R"({"id":5})"));
    CHECK_FALSE(decodeLeadership(R"({"holder":"a"})"));
    CHECK_FALSE(decodeState("finished"));
    Occurrence occurrence = makeOccurrence();
    CHECK_FALSE(decodeProgress(R"([[],[],[]])", occurrence));
    CHECK_FALSE(decodeProgress(R"([[[7,1,1,0,""]],[]])", occurrence));
    CHECK_FALSE(decodeProgress(R"([["x"],[]])", occurrence));
    CHECK_FALSE(decodeProgress(R"([[[0,0,1,0,"",{"crashes":"x"}]],[]])", occurrence));
}

TEST_CASE("decoding arbitrary bytes throws no exception")
{
    CHECK(rc::check([](const std::string& bytes) {
        Occurrence occurrence = makeOccurrence();
        decodeJob(bytes);
        decodeLeadership(bytes);
        decodeMember(bytes);
        decodeState(bytes);
        decodeProgress(bytes, occurrence);
    }));
}

TEST_CASE("task names survive formatting and parsing, and malformed names are rejected")
{
    TaskName name;
    REQUIRE(parseTaskName("0123456789abcdef.0.1.17", name));
    CHECK(name == TaskName { "0123456789abcdef", 0, 1, 17 });
    CHECK(formatTaskName(name) == "0123456789abcdef.0.1.17");
    for (const char* text : { "", ".", "a", "a.1", "a.1.2", "a.1.2.", "a.1.2.x", "a.1.2.3.4", "a.-1.2.3", ".0.0.0" })
        CHECK_FALSE(parseTaskName(text, name));
}
