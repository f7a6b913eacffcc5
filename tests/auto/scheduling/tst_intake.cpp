#include "scheduling/intake.h"
#include "support/fakestore.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

constexpr const char* jobId = "0123456789abcdef";

struct IntakeBench {
    Effects effects;
    SteadyTime now { 1000s };
    FakeStore store;
    bool storeFails = false;
    Intake intake { this->effects, [this]() { return this->now; }, [this]() { return this->storeFails; } };
    std::optional<CallerAnswer> answer;
    CallerContext context { .host = "mill.example", .path = std::string("/cut/") + jobId, .key = "key" };

    IntakeBench()
    {
        FleetConfiguration configuration { .version = 3 };
        configuration.queues.push_back({ .name = "cut", .host = "mill.example", .pathPrefix = "/cut/" });
        configuration.accounts.push_back({ .name = "mill", .keys = { "key" } });
        this->intake.setConfiguration(std::make_shared<const FleetConfiguration>(configuration));
    }

    AnswerCallback capture()
    {
        return [this](const CallerAnswer& given) { this->answer = given; };
    }

    void submit()
    {
        this->intake.submit(
            this->context, jobId, { .payload = "round", .steps = { {} } }, StoreTime(5), this->capture());
        this->settle();
    }

    /// Executes effects; a call without an answer takes its whole time-out.
    void settle()
    {
        while (!this->effects.empty()) {
            Effect effect = this->effects.pop();
            if (const auto* commit = std::get_if<CommitCall>(&effect)) {
                const CommitResult result = this->store.commit(commit->transaction);
                const auto* error = std::get_if<StoreError>(&result);
                this->now += error && *error == StoreError::Unknown ? commit->timeout : Duration(2);
                commit->done(result);
            } else if (const auto* read = std::get_if<ReadCall>(&effect)) {
                const ReadResult result = this->store.read(read->range);
                this->now += std::holds_alternative<StoreError>(result) ? read->timeout : Duration(2);
                read->done(result);
            }
        }
    }
};

} // namespace

TEST_CASE("a job is accepted once its row is stored")
{
    IntakeBench bench;
    bench.submit();
    REQUIRE(bench.answer);
    CHECK(bench.answer->outcome == CallerOutcome::Accepted);
    CHECK(bench.store.find({ StoreTable::jobs, StoreTable::intakePartition, jobId }));
}

TEST_CASE("a job is accepted when the store stored it and the answer was lost")
{
    IntakeBench bench;
    bench.store.answersToLose = 1;
    bench.submit();
    REQUIRE(bench.answer);
    CHECK(bench.answer->outcome == CallerOutcome::Accepted);
}

TEST_CASE("a refusal comes at once, names a retry time, and nothing is stored")
{
    IntakeBench bench;
    const SteadyTime begin = bench.now;
    bench.store.down = true;
    bench.submit();
    REQUIRE(bench.answer);
    CHECK(bench.answer->outcome == CallerOutcome::NotAccepted);
    CHECK(bench.answer->retryAfter > 0ms);
    CHECK(bench.now - begin < 100ms);
    bench.store.down = false;
    CHECK_FALSE(bench.store.find({ StoreTable::jobs, StoreTable::intakePartition, jobId }));
}

TEST_CASE("while the store is known to be unavailable a job is refused at once, without a call to the store")
{
    IntakeBench bench;
    bench.store.silent = true;
    bench.storeFails = true;
    const SteadyTime begin = bench.now;
    bench.submit();
    REQUIRE(bench.answer);
    CHECK(bench.answer->outcome == CallerOutcome::NotAccepted);
    CHECK(bench.now == begin);
}

TEST_CASE("an unanswered submission is not retried once the store is known to be unavailable")
{
    IntakeBench bench;
    bench.store.silent = true;
    const SteadyTime begin = bench.now;
    bench.intake.submit(bench.context, jobId, { .steps = { {} } }, StoreTime(5), bench.capture());
    bench.storeFails = true; // other calls find out meanwhile that the store is unavailable
    bench.settle();
    REQUIRE(bench.answer);
    CHECK(bench.answer->outcome == CallerOutcome::Uncertain);
    CHECK(bench.now - begin < 1000ms);
}

TEST_CASE("every call is answered before its client's deadline")
{
    IntakeBench bench;
    bench.store.silent = true;
    bench.context.deadline = Duration(GENERATE(300, 1000, 1200, 1700, 3000));
    const SteadyTime latest = bench.now + bench.context.deadline - Duration(200);
    SECTION("submission")
    {
        bench.submit();
        REQUIRE(bench.answer);
        CHECK(bench.answer->outcome == CallerOutcome::Uncertain);
    }
    SECTION("state")
    {
        bench.intake.state(bench.context, jobId, bench.capture());
        bench.settle();
        REQUIRE(bench.answer);
        CHECK(bench.answer->outcome == CallerOutcome::NotReady);
    }
    SECTION("cancel")
    {
        bench.intake.cancel(bench.context, jobId, bench.capture());
        bench.settle();
        REQUIRE(bench.answer);
    }
    CHECK(bench.now <= latest);
}

TEST_CASE("a job is never refused while a write without an answer may still be carried out")
{
    IntakeBench bench;
    bench.store.silent = true;
    const SteadyTime begin = bench.now;
    bench.submit();
    REQUIRE(bench.answer);
    CHECK(bench.answer->outcome == CallerOutcome::Uncertain);
    CHECK(bench.now - begin <= 3500ms);
}

TEST_CASE("a job that is submitted twice is accepted as one job")
{
    IntakeBench bench;
    bench.submit();
    bench.answer.reset();
    bench.submit();
    REQUIRE(bench.answer);
    CHECK(bench.answer->outcome == CallerOutcome::Accepted);
}

TEST_CASE("unknown queues, keys and jobs are told apart")
{
    IntakeBench bench;
    bench.context.key = "stolen";
    bench.submit();
    CHECK(bench.answer->outcome == CallerOutcome::UnknownKey);
    bench.context.key = "key";
    bench.context.host = "other.example";
    bench.submit();
    CHECK(bench.answer->outcome == CallerOutcome::UnknownQueue);
    bench.context.host = "mill.example";
    bench.intake.state(bench.context, jobId, bench.capture());
    bench.settle();
    CHECK(bench.answer->outcome == CallerOutcome::UnknownJob);
    bench.intake.cancel(bench.context, jobId, bench.capture());
    bench.settle();
    CHECK(bench.answer->outcome == CallerOutcome::UnknownJob);
}

TEST_CASE("an accepted job is reported as queued until the scheduler stores a state")
{
    IntakeBench bench;
    bench.submit();
    bench.intake.state(bench.context, jobId, bench.capture());
    bench.settle();
    CHECK(bench.answer->outcome == CallerOutcome::State);
    CHECK(bench.answer->state == JobState::Queued);
    bench.store.put({ StoreTable::states, StoreTable::schedulerPartition, jobId }, encodeState(JobState::Completed));
    bench.intake.state(bench.context, jobId, bench.capture());
    bench.settle();
    CHECK(bench.answer->state == JobState::Completed);
}

TEST_CASE("a job whose state cannot be read is not reported as unknown")
{
    IntakeBench bench;
    bench.submit();
    bench.store.down = true;
    bench.intake.state(bench.context, jobId, bench.capture());
    bench.settle();
    CHECK(bench.answer->outcome == CallerOutcome::NotReady);
}

TEST_CASE("a cancellation is stored although the answer of the store is lost")
{
    IntakeBench bench;
    bench.submit();
    bench.store.answersToLose = 1;
    bench.intake.cancel(bench.context, jobId, bench.capture());
    bench.settle();
    CHECK(bench.answer->outcome == CallerOutcome::Accepted);
    CHECK(bench.store.find({ StoreTable::jobs, StoreTable::intakePartition, cancelKey(jobId) }));
}

TEST_CASE("a job id is 16 hexadecimal digits after the queue's prefix")
{
    const Queue queue { .pathPrefix = "/cut/" };
    CHECK(jobIdInPath("/cut/0123456789abcdef", queue) == "0123456789abcdef");
    CHECK_FALSE(jobIdInPath("/cut/0123456789abcde", queue));
    CHECK_FALSE(jobIdInPath("/cut/0123456789abcdeg", queue));
    CHECK_FALSE(jobIdInPath("/cut/0123456789abcdef0", queue));
    CHECK_FALSE(jobIdInPath("/cut/", queue));
}

// The store's answer that it never accepts such a row was taken for a refusal for now.
TEST_CASE("a job that is too large for the store is refused at once and for good")
{
    IntakeBench bench;
    std::vector<StepSpecification> steps(900);
    for (StepSpecification& step : steps)
        step.requiredLabel = std::string(100, 'x');
    bench.intake.submit(bench.context, jobId, { .payload = "round", .steps = steps }, StoreTime(5), bench.capture());
    bench.settle();
    REQUIRE(bench.answer);
    CHECK(bench.answer->outcome == CallerOutcome::Malformed);
    CHECK(bench.store.invalidTransactions == 1);
    CHECK_FALSE(bench.store.find({ StoreTable::jobs, StoreTable::intakePartition, jobId }));
}
