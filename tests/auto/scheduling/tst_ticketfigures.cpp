// Sizes of calls to the placement advice, and what its answers teach.

#include "scheduling/advice/servicetiming.h"
#include "scheduling/advice/validityevidence.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::Scheduling::Advice;
using namespace std::chrono_literals;

namespace {

PlacementAdvice makeFigures(Duration decision, Duration perServer, Duration validity)
{
    return { .decisionTime = decision, .timePerServer = perServer, .ticketValidity = validity };
}

} // namespace

TEST_CASE("the size of a call leaves time to use its tickets")
{
    struct Row {
        PlacementAdvice figures;
        std::size_t fromCall;
        std::size_t fromAnswer;
    };
    const auto row = GENERATE(values<Row>({
        { makeFigures(200ms, 20ms, 3000ms), 30, 30 },
        { makeFigures(200ms, 100ms, 3000ms), 20, 20 },
        { makeFigures(200ms, 100ms, 1500ms), 5, 20 },
        { makeFigures(200ms, 3000ms, 3000ms), 0, 1 },
        { makeFigures(2500ms, 20ms, 3000ms), 17, 30 },
        { makeFigures(2900ms, 20ms, 3000ms), 0, 30 },
        { makeFigures(0ms, 0ms, 3000ms), 30, 30 },
        { makeFigures(0ms, 0ms, 0ms), 30, 30 },
        { makeFigures(200ms, 20ms, 0ms), 30, 30 },
        { makeFigures(0ms, 10ms, 10ms), 0, 30 },
    }));
    CAPTURE(row.figures.decisionTime.count(), row.figures.timePerServer.count(), row.figures.ticketValidity.count());
    CHECK(usualCallSize(row.figures, ValidityStart::Call) == row.fromCall);
    CHECK(usualCallSize(row.figures, ValidityStart::Answer) == row.fromAnswer);
}

TEST_CASE("tickets for a gang are valid together for as long as the calls after the first leave")
{
    const PlacementAdvice figures = makeFigures(200ms, 20ms, 3000ms);
    CHECK(canBeValidTogether(figures, 100, ValidityStart::Call));
    CHECK_FALSE(canBeValidTogether(figures, 131, ValidityStart::Call));
    CHECK(canBeValidTogether(figures, 230, ValidityStart::Answer));
    CHECK_FALSE(canBeValidTogether(figures, 231, ValidityStart::Answer));
    CHECK_FALSE(canBeUsedTogether(figures, 230, ValidityStart::Answer));
    CHECK(canBeUsedTogether(makeFigures(200ms, 20ms, 0ms), 760, ValidityStart::Call));
}

TEST_CASE("a slow service is waited for longer and asked about fewer servers, until its figures change")
{
    ServiceTiming timing;
    SteadyTime now(1000s);
    const PlacementAdvice announced = makeFigures(200ms, 20ms, 3000ms);
    timing.announce(announced);
    CHECK(timing.timeout(30, now) == 1600ms);
    Duration last = timing.timeout(30, now);
    for (int call = 0; call < 3; ++call) {
        timing.timedOut(30, last, now);
        CHECK(timing.timeout(30, now) >= 2 * last - 800ms);
        last = timing.timeout(30, now);
    }
    CHECK(usualCallSize(timing.figures(now), ValidityStart::Answer) < 15);
    for (int call = 0; call < 40; ++call)
        timing.timedOut(30, timing.timeout(30, now), now);
    CHECK(timing.timeout(1, now) < 10min);
    timing.answered(1, 500ms, 0ms, now);
    CHECK(timing.figures(now).timePerServer == 300ms);
    timing.announce(makeFigures(200ms, 20ms, 4000ms));
    CHECK(timing.figures(now).timePerServer == 20ms);
}

TEST_CASE("only a start between the two possible ends of a ticket shows from when it counts")
{
    const SteadyTime called(1000s);
    const Ticket ticket { .text = "t", .calledAt = called, .answeredAt = called + 2s, .validity = 3000ms };
    ValidityEvidence evidence;
    CHECK_FALSE(evidence.learn(ticket, true, called + 2900ms, called + 2910ms));
    CHECK_FALSE(evidence.learn(ticket, false, called + 2900ms, called + 2910ms));
    CHECK_FALSE(evidence.learn(ticket, false, called + 4900ms, called + 5100ms));
    CHECK_FALSE(evidence.proven(called + 5s));
    CHECK(evidence.learn(ticket, false, called + 3100ms, called + 3110ms));
    CHECK(evidence.proven(called + 5s) == ValidityStart::Call);
    CHECK(evidence.learn(ticket, true, called + 4000ms, called + 4010ms));
    CHECK(evidence.proven(called + 5s) == ValidityStart::Answer);
    CHECK_FALSE(evidence.proven(called + 10min));
}
