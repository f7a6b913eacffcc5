// Tickets of the placement advice: how many servers a call names, from when tickets count, and when they end.

#include "scheduling/advice/advicecontroller.h"
#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

/// A job with work and room must not have nothing running for longer.
constexpr Duration standstillLimit = 3s;

using ValidityStart = FakeAdvisor::ValidityStart;

/// A bench with 40 servers of 8 accelerators.
SchedulerBench::Options fortyServers() { return { .serversPerRack = 20 }; }

} // namespace

// Guards against LOST: all tickets of a call on 30 servers counted as expired when they arrived.
TEST_CASE("an advised job begins although advice on 30 servers takes longer than a ticket is valid")
{
    const auto start = GENERATE(ValidityStart::Call, ValidityStart::Answer);
    SchedulerBench bench(fortyServers());
    FakeAdvisor& advisor
        = bench.useAdvisor({ .decisionTime = 200ms, .timePerServer = 100ms, .ticketValidity = 3000ms });
    advisor.validityStart = start;
    bench.run(2s);
    bench.submit("job", "advised", { makeStep(2, 4, 2s) });
    CHECK(bench.runUntilActive("job", 2, standstillLimit));
    CHECK(advisor.rejectedStarts == 0);
}

// Guards against LOST: with some figures not even a ticket for a single server counted as valid when it arrived.
TEST_CASE("an advised job begins although advice on one server takes longer than a ticket is valid")
{
    const Duration validity = GENERATE(100ms, 600ms, 2000ms);
    CAPTURE(validity.count());
    SchedulerBench bench(fortyServers());
    FakeAdvisor& advisor
        = bench.useAdvisor({ .decisionTime = 2400ms, .timePerServer = 20ms, .ticketValidity = validity });
    bench.run(2s);
    bench.submit("job", "advised", { makeStep(2, 4, 2s) });
    CHECK(bench.runUntilActive("job", 2, 2400ms + standstillLimit));
    CHECK(advisor.rejectedStarts == 0);
}

// Guards against LOST: figures that are absent announced tickets without any validity.
TEST_CASE("an advised job begins whatever the queue announces and the answers state of validity")
{
    struct Statement {
        Duration announced;
        Duration stated;
    };
    const auto statement = GENERATE(Statement { 0ms, 0ms }, Statement { 0ms, 3000ms }, Statement { 30'000ms, 3000ms },
        Statement { 300ms, 3000ms }, Statement { 3000ms, 30'000ms });
    CAPTURE(statement.announced.count(), statement.stated.count());
    SchedulerBench bench(fortyServers());
    FakeAdvisor& advisor = bench.useAdvisor({ .decisionTime = 200ms, .timePerServer = 60ms, .ticketValidity = 3000ms });
    advisor.statedValidity = statement.stated;
    bench.announceAdvice({ .decisionTime = 200ms, .timePerServer = 60ms, .ticketValidity = statement.announced });
    bench.run(2s);
    bench.submit("job", "advised", { makeStep(2, 4, 2s) });
    CHECK(bench.runUntilActive("job", 2, 2 * standstillLimit));
    CHECK(advisor.rejectedStarts == 0);
}

// Guards against LOST: the answer to a call was judged by figures that were no longer, or not yet, those of the
// service.
TEST_CASE("an advised job begins when the service's figures change while a call is open")
{
    SchedulerBench bench(fortyServers());
    FakeAdvisor& advisor = bench.useAdvisor({ .decisionTime = 200ms, .timePerServer = 20ms, .ticketValidity = 3000ms });
    bench.run(2s);
    bench.submit("job", "advised", { makeStep(2, 4, 2s) });
    bench.run(100ms);
    REQUIRE(advisor.calls["job"] == 1);
    const PlacementAdvice slower { .decisionTime = 200ms, .timePerServer = 100ms, .ticketValidity = 1500ms };
    advisor.figures = slower;
    bench.announceAdvice(slower);
    bench.submit("next", "advised", { makeStep(2, 4, 2s) });
    CHECK(bench.runUntilActive("next", 2, standstillLimit));
    CHECK(bench.runUntil("job", JobState::Completed, 2 * standstillLimit));
}

// Guards against starts that are rejected without end where no ticket can ever be used.
TEST_CASE("rejected tickets teach that their validity counts from the call")
{
    SchedulerBench bench(fortyServers());
    FakeAdvisor& advisor
        = bench.useAdvisor({ .decisionTime = 2000ms, .timePerServer = 20ms, .ticketValidity = 1500ms });
    advisor.validityStart = ValidityStart::Call;
    bench.run(2s);
    bench.submit("job", "advised", { makeStep(2, 4, 2s) });
    bench.run(50s);
    CHECK(bench.startsOf("job") == 0);
    CHECK(advisor.rejectedStarts <= 2);
    CHECK(advisor.calls["job"] <= 2);
}

TEST_CASE("a calm advised queue takes one call of 30 servers for a job")
{
    SchedulerBench bench(fortyServers());
    FakeAdvisor& advisor = bench.useAdvisor({ .decisionTime = 200ms, .timePerServer = 20ms, .ticketValidity = 3000ms });
    bench.run(2s);
    for (int number = 0; number < 5; ++number) {
        const std::string id = "job-" + std::to_string(number);
        bench.submit(id, "advised", { makeStep(4, 4, 2s) });
        CHECK(bench.runUntil(id, JobState::Completed, 5s));
        CHECK(advisor.calls[id] == 1);
    }
    CHECK(advisor.serversNamed == 150);
}

TEST_CASE("a gang needs its tickets at the same time")
{
    const auto start = GENERATE(ValidityStart::Call, ValidityStart::Answer);
    const int members = GENERATE(25, 40);
    CAPTURE(members);
    SchedulerBench bench(fortyServers());
    FakeAdvisor& advisor = bench.useAdvisor({ .decisionTime = 200ms, .timePerServer = 60ms, .ticketValidity = 3000ms });
    advisor.validityStart = start;
    bench.run(2s);
    StepSpecification gang = makeStep(members, 8, 2s);
    gang.gang = true;
    bench.submit("gang", "advised", { gang });
    CHECK(bench.runUntilActive("gang", members, 2 * standstillLimit));
    CHECK(advisor.rejectedStarts == 0);
}

// Guards against LOST: a gang that lacked two servers had something to ask all the time, and no other step ever did.
TEST_CASE("a gang without room for all of its members does not keep other jobs from the placement advice")
{
    SchedulerBench bench(fortyServers());
    FakeAdvisor& advisor = bench.useAdvisor({ .decisionTime = 200ms, .timePerServer = 60ms, .ticketValidity = 3000ms });
    bench.run(2s);
    bench.submit("occupant", "ordinary", { makeStep(2, 8, 300s) });
    REQUIRE(bench.runUntilActive("occupant", 2, 1s));
    StepSpecification gang = makeStep(40, 8, 2s);
    gang.gang = true;
    bench.submit("gang", "advised", { gang });
    bench.run(2s);
    bench.submit("small", "advised", { makeStep(1, 4, 2s) });
    CHECK(bench.runUntilActive("small", 1, standstillLimit));
    bench.run(20s);
    CHECK(advisor.calls["gang"] == 0);
}

// Guards against LOST: steps that got tickets and no place asked again and again before those that had asked once.
TEST_CASE("steps that have tickets and no place let other steps and accounts ask")
{
    SchedulerBench bench(fortyServers());
    FakeAdvisor& advisor = bench.useAdvisor({ .decisionTime = 200ms, .timePerServer = 20ms, .ticketValidity = 1500ms });
    bench.run(2s);
    bench.submit("occupant", "ordinary", { makeStep(30, 8, 300s) });
    REQUIRE(bench.runUntilActive("occupant", 30, 1s));
    // The steps wait for room near their data, whatever tickets they have.
    StepSpecification bound = makeStep(1, 1, 300s);
    bound.dataRack = "rack-9";
    for (int number = 0; number < 16; ++number)
        bench.submit("bound-" + std::to_string(number), "advised", { bound }, "shop-a");
    bench.run(1s);
    bench.submit("small", "advised", { makeStep(1, 4, 2s) }, "shop-b");
    CHECK(bench.runUntilActive("small", 1, standstillLimit));
    CHECK(advisor.rejectedStarts == 0);
}

// Guards against LOST: servers that already ran as many tasks of the step as one may run counted as places for others.
TEST_CASE("a wide step with a limit for each server gets tickets for all of its tasks")
{
    SchedulerBench bench({ .racks = 3, .serversPerRack = 30 });
    bench.useAdvisor({ .decisionTime = 200ms, .timePerServer = 20ms, .ticketValidity = 40'000ms });
    bench.run(2s);
    StepSpecification wide = makeStep(90, 1, 30s);
    wide.maximumPerServer = 1;
    bench.submit("job", "advised", { wide });
    CHECK(bench.runUntilActive("job", 90, 3 * standstillLimit));
}

// Guards against LOST: a task was started on and on with the ticket of its server's former life.
TEST_CASE("a ticket ends with the life of its server")
{
    SchedulerBench bench({});
    FakeAdvisor& advisor
        = bench.useAdvisor({ .decisionTime = 100ms, .timePerServer = 10ms, .ticketValidity = 40'000ms });
    for (std::size_t index = 1; index < bench.serverCount(); ++index)
        advisor.denied.insert(bench.server(index).entry.id);
    bench.run(2s);
    bench.submit("job", "advised", { makeStep(1, 4, 5s) });
    REQUIRE(bench.runUntilActive("job", 1, standstillLimit));
    bench.server(0).alive = false;
    bench.run(1500ms);
    bench.server(0).restart();
    bench.server(0).alive = true;
    bench.putEntry(bench.server(0));
    CHECK(bench.runUntil("job", JobState::Completed, 15s));
    CHECK(advisor.rejectedStarts <= 2);
}

// Guards against a start that is repeated without a new reason.
TEST_CASE("a rejected ticket is not used again, and servers that go on rejecting are asked about less often")
{
    SchedulerBench bench({});
    FakeAdvisor& advisor = bench.useAdvisor({ .decisionTime = 100ms, .timePerServer = 10ms, .ticketValidity = 3000ms });
    advisor.rejectsTickets = true;
    bench.run(2s);
    bench.submit("job", "advised", { makeStep(1, 4, 5s) });
    bench.run(20s);
    CHECK(advisor.rejectedStarts <= 60);
    advisor.rejectsTickets = false;
    CHECK(bench.runUntil("job", JobState::Completed, 20s));
}

// Guards against LOST: each call timed out, and the next one waited behind it in the service.
TEST_CASE("an advised job begins although the service is much slower than announced")
{
    SchedulerBench bench(fortyServers());
    FakeAdvisor& advisor = bench.useAdvisor({ .decisionTime = 200ms, .timePerServer = 20ms, .ticketValidity = 3000ms });
    advisor.figures.timePerServer = 300ms;
    advisor.validityStart = GENERATE(ValidityStart::Call, ValidityStart::Answer);
    bench.run(2s);
    bench.submit("job", "advised", { makeStep(2, 4, 2s) });
    CHECK(bench.runUntilActive("job", 2, 60s));
    // What was learned serves the next job.
    bench.submit("next", "advised", { makeStep(2, 4, 2s) });
    CHECK(bench.runUntilActive("next", 2, 2 * standstillLimit));
}

// Guards against RECLAIM: no call named servers without free capacity, so that nothing on them was preempted.
TEST_CASE("an urgent advised job gets tickets for servers on which it may preempt runs")
{
    SchedulerBench bench({});
    bench.useAdvisor({ .decisionTime = 100ms, .timePerServer = 10ms, .ticketValidity = 3000ms });
    Queue queue = bench.removeQueue("advised");
    queue.priority = 0;
    bench.addQueue(queue);
    bench.run(2s);
    bench.submit("background", "background", { makeStep(64, 1, 300s) }, "shop-a");
    REQUIRE(bench.runUntilActive("background", 64, 2s));
    bench.submit("urgent", "advised", { makeStep(2, 8, 2s) });
    CHECK(bench.runUntilActive("urgent", 2, 2900ms));
}

TEST_CASE("a job whose tickets cannot be valid together is explained")
{
    SchedulerBench bench({ .racks = 12, .serversPerRack = 10 });
    bench.useAdvisor({ .decisionTime = 200ms, .timePerServer = 100ms, .ticketValidity = 1500ms });
    bench.run(2s);
    StepSpecification gang = makeStep(120, 8, 2s);
    gang.gang = true;
    bench.submit("gang", "advised", { gang });
    bench.run(2s);
    const std::string text = bench.explain("gang").dump();
    CAPTURE(text);
    CHECK(text.find("tickets for 120 servers at the same time") != std::string::npos);
    CHECK(bench.adviceCalls == 0);
}

// Guards against starts that are certain to be rejected: the order was repeated with a ticket that had ended.
TEST_CASE("a start without an answer is not repeated with a ticket that is over")
{
    SchedulerBench bench({});
    FakeAdvisor& advisor = bench.useAdvisor({ .decisionTime = 100ms, .timePerServer = 10ms, .ticketValidity = 400ms });
    bench.run(2s);
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.server(index).startsToDelay = 1;
    bench.submit("job", "advised", { makeStep(1, 8, 1s) });
    CHECK(bench.runUntil("job", JobState::Completed, 30s));
    CHECK(advisor.rejectedStarts == 0);
    CHECK(bench.violations().empty());
}

// Guards against LOST: the single ticket that was tried could be for a server that the planner did not use.
TEST_CASE("more tickets are tried with each call that leads to no start")
{
    FleetConfiguration configuration { .version = 1 };
    configuration.queues.push_back({ .name = "advised",
        .service = "service",
        .advice = PlacementAdvice { .decisionTime = 2000ms, .timePerServer = 10ms, .ticketValidity = 1000ms } });
    Board board;
    board.configuration = std::make_shared<const FleetConfiguration>(configuration);
    board.hasAdvisedQueues = true;
    for (int number = 0; number < 8; ++number) {
        const std::string id = "server-" + std::to_string(number);
        board.servers[id] = { .address = { .id = id },
            .service = "service",
            .capacity = { .milliCores = 64'000, .memoryMb = 256'000, .accelerators = 8 },
            .incarnation = 1 };
    }
    Job& job = board.jobs["job"];
    job.queue = &board.configuration->queues.front();
    job.record = { .id = "job", .account = "mill", .specification = { .steps = { makeStep(8, 8, 1s) } } };
    Step& step = job.occurrences[0].steps.emplace_back();
    step.tasks.resize(8);
    step.ready = true;

    SteadyTime now(1000s);
    Effects effects;
    Advice::AdviceController controller(board, effects);
    controller.setClock([&]() { return now; });
    const auto anyServer = [](const BackendServer&) { return true; };
    std::vector<std::ptrdiff_t> usable;
    for (int call = 0; call < 4; ++call) {
        now += 2s; // after the pause
        controller.tick(anyServer, now);
        REQUIRE_FALSE(effects.empty());
        const auto request = std::get<AdviceCall>(effects.pop());
        AdviceAnswer answer;
        for (const std::string& server : request.servers)
            answer.allowed.emplace_back(server, "ticket");
        now += 2080ms;
        request.done(answer);
        effects.pop(); // the log line
        usable.push_back(std::ranges::count_if(
            board.servers, [&](const auto& entry) { return Advice::hasTicket(*job.queue, step, entry.second, now); }));
    }
    CHECK(usable == std::vector<std::ptrdiff_t> { 1, 2, 4, 8 });
}
