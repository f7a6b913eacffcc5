#include "support/fleetsteps.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace WisteriaHill;
using namespace WisteriaHill::Tests;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> nothing;

/// The model only counts steps; StepContext holds what the checks need, and the fleet is the system under test.
struct MachineState {
    std::size_t steps = 0;
};

struct Machine {
    explicit Machine(const FleetOptions& options)
        : fleet(options)
    {
        this->fleet.advance(5s);
    }
    Fleet fleet;
    StepContext context;
};

/// Any kind of step, but half of the steps submit work or advance the time.
rc::Gen<FleetStep> anyStep()
{
    const auto kind = rc::gen::weightedOneOf<StepKind>({
        { 3, rc::gen::element(StepKind::SendRequests, StepKind::RepeatKey, StepKind::SubmitGang, StepKind::Advance) },
        { 3,
            rc::gen::map(rc::gen::inRange(0, static_cast<int>(StepKind::Count)),
                [](int number) { return static_cast<StepKind>(number); }) },
    });
    return rc::gen::build<FleetStep>(rc::gen::set(&FleetStep::kind, kind),
        rc::gen::set(&FleetStep::first, rc::gen::inRange<std::uint32_t>(0, 10'000)),
        rc::gen::set(&FleetStep::second, rc::gen::inRange<std::uint32_t>(0, 10'000)));
}

struct StepCommand : rc::state::Command<MachineState, Machine> {
    FleetStep step = *anyStep();

    void apply(MachineState& state) const override { ++state.steps; }
    void run(const MachineState&, Machine& machine) const override
    {
        applyStep(machine.fleet, machine.context, this->step);
    }
    void show(std::ostream& out) const override { out << describeStep(this->step); }
};

Utils::Json renderGuarantee()
{
    return Utils::Json::parse(R"({"render": {"account": "large", "zone": "akl",
        "shape": {"servers": 2, "acceleratorsPerServer": 8}}})");
}

FleetOptions machineOptions(std::uint64_t seed, BrokenVariant broken = BrokenVariant::None)
{
    return { .zone = { .servers = 6, .serversPerRack = 6, .spareServers = 1 },
        .seed = seed,
        .guarantees = renderGuarantee(),
        .broken = broken };
}

/// Prints the events and table rows of a history, for the analysis of a failure.
void showLog(Fleet& fleet)
{
    for (const auto& event : fleet.log())
        std::cerr << Utils::describeEvent(event.event).name << ": " << event.details << "\n";
    for (const auto& [key, row] : fleet.table().rows())
        std::cerr << key << " = " << row.value << "\n";
}

/// Runs evenly drawn steps, removes all faults and lets the fleet settle. Returns the violations.
std::vector<std::string> violationsAfterHistory(std::uint64_t seed, BrokenVariant broken, bool jobsMustSettle)
{
    constexpr int stepsPerHistory = 80;
    Utils::RandomSource random(seed);
    Machine machine(machineOptions(seed, broken));
    for (int step = 0; step < stepsPerHistory; ++step) {
        const auto kind = static_cast<StepKind>(random.below(static_cast<std::uint64_t>(StepKind::Count)));
        const auto first = static_cast<std::uint32_t>(random.below(10'000));
        const auto second = static_cast<std::uint32_t>(random.below(10'000));
        applyStep(machine.fleet, machine.context, { kind, first, second });
    }
    machine.fleet.healAndSettle(120s);
    std::vector<std::string> violations = machine.fleet.violations();
    if (std::getenv("WISTERIAHILL_SHOW_LOG"))
        showLog(machine.fleet);
    if (jobsMustSettle) {
        for (const std::string& configuration : lostConfiguration(machine.fleet, machine.context))
            violations.push_back(configuration);
        for (const std::string& job : unsettledJobs(machine.fleet, machine.context))
            violations.push_back(job);
    }
    return violations;
}

/// The number of histories until the checks detect a broken variant; zero if they don't.
std::size_t seedsUntilDetected(BrokenVariant broken, std::size_t maximumSeeds)
{
    for (std::size_t seed = 1; seed <= maximumSeeds; ++seed) {
        if (!violationsAfterHistory(seed, broken, false).empty())
            return seed;
    }
    return 0;
}

} // namespace

TEST_CASE("the promises hold under random steps and faults")
{
    CHECK(rc::check([]() {
        Machine machine(machineOptions(*rc::gen::arbitrary<std::uint64_t>()));
        rc::state::check(MachineState {}, machine, rc::state::gen::execOneOfWithArgs<StepCommand>());
        machine.fleet.healAndSettle(120s);
        for (const std::string& violation : machine.fleet.violations())
            RC_FAIL(violation);
        for (const std::string& configuration : lostConfiguration(machine.fleet, machine.context))
            RC_FAIL(configuration);
        for (const std::string& job : unsettledJobs(machine.fleet, machine.context))
            RC_FAIL(job);
    }));
}

TEST_CASE("the promises hold through long histories of faults")
{
    // WISTERIAHILL_HISTORIES and WISTERIAHILL_FIRST_SEED extend the search; CI runs the default set.
    const char* histories = std::getenv("WISTERIAHILL_HISTORIES");
    const char* firstSeed = std::getenv("WISTERIAHILL_FIRST_SEED");
    const std::uint64_t count = histories ? std::strtoull(histories, nullptr, 10) : 400;
    const std::uint64_t first = firstSeed ? std::strtoull(firstSeed, nullptr, 10) : 1000;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        INFO("seed " << seed);
        CHECK(violationsAfterHistory(seed, BrokenVariant::None, true) == nothing);
    }
}

TEST_CASE("the checks detect each broken variant")
{
    constexpr std::size_t maximumSeeds = 200;
    CHECK(seedsUntilDetected(BrokenVariant::TableIgnoresConditions, maximumSeeds) > 0);
    CHECK(seedsUntilDetected(BrokenVariant::LostRequestReportedAsNotSent, maximumSeeds) > 0);
    CHECK(seedsUntilDetected(BrokenVariant::AnswersSwapped, maximumSeeds) > 0);
}
