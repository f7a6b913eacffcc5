// Entries of backend servers that are not written by the servers that the configuration names.

#include "support/schedulerbench.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace WisteriaHill::TestSupport;
using namespace std::chrono_literals;

namespace {

constexpr const char* knownService = "scoring";
constexpr const char* otherService = "inventory";

/// An entry for another server on the machine of `server`, as a program wrote it that started after the server.
ServerEntry entryOfLaterLife(const FakeServer& server, const std::string& service)
{
    ServerEntry entry = server.entry;
    entry.id = "a-writer"; // sorts before the ids of the servers
    entry.service = service;
    entry.address = "10.0.0.99";
    entry.startedAt = server.startedAt + 1000;
    return entry;
}

} // namespace

// The server of a new entry was taken for the next life of its machine before anyone had spoken to it, so that tasks
// started elsewhere while a server that was cut off still ran them.
TEST_CASE("an entry that nobody answers for does not end the runs of a server that is cut off")
{
    const std::string service = GENERATE(as<std::string>(), knownService, otherService);
    CAPTURE(service);
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(4, 1, 14s) });
    REQUIRE(bench.runUntilActive("job", 4, 1s));
    FakeServer& cut = bench.serverRunning("job");
    const auto runs = static_cast<int>(cut.active.size());
    cut.reachable = false;
    bench.run(3s);
    bench.storeEntry(entryOfLaterLife(cut, service));
    bench.run(2s);
    CHECK(bench.startsOf("job") == 4);
    cut.reachable = true;
    bench.run(2s);
    CHECK(static_cast<int>(cut.active.size()) == runs);
    CHECK(bench.runUntil("job", JobState::Completed, 14s));
    CHECK(bench.startsOf("job") == 4);
    CHECK(bench.violations().empty());
}

// The machine's first entry was taken for its only server, so that the upkeep cut the runs of the others off.
TEST_CASE("upkeep evacuates all servers of a machine that several entries name")
{
    const std::string service = GENERATE(as<std::string>(), knownService, otherService);
    CAPTURE(service);
    SchedulerBench bench({});
    bench.run(2s);
    StepSpecification saving = makeStep(8, 2, 30s);
    saving.savesProgress = true;
    bench.submit("job", "ordinary", { saving });
    REQUIRE(bench.runUntilActive("job", 8, 1s));
    std::size_t busy = 0;
    while (bench.server(busy).active.empty())
        ++busy;
    bench.storeEntry(entryOfLaterLife(bench.server(busy), service));
    bench.run(1s);
    bench.requestUpkeep(1, { busy }, 1, 20s);
    bench.run(18s);
    CHECK(bench.waveStatus(1) == "completed");
    CHECK(bench.maximumMachinesDown == 1);
    CHECK(bench.violations().empty());
}

TEST_CASE("a server whose service no configuration names is neither polled nor used")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 1 });
    int pollsOfOther = 0;
    bench.onUnanswered
        = [&](const std::string& server, const ServerOrder&) { pollsOfOther += server == "a-writer" ? 1 : 0; };
    int unusedEntries = 0;
    bench.onLog = [&](std::size_t, const LogLine& line) {
        unusedEntries += line.event == WisteriaHill::Utils::Event::ServerEntryUnused ? 1 : 0;
    };
    bench.run(2s);
    for (int heartbeat = 0; heartbeat < 5; ++heartbeat) {
        bench.storeEntry(entryOfLaterLife(bench.server(0), otherService));
        bench.run(1s);
    }
    CHECK(pollsOfOther == 0);
    CHECK(unusedEntries == 1);
}

TEST_CASE("a server is used as soon as a configuration names its service, without a new entry")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 2 });
    bench.setServices({ otherService });
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(2, 8, 1s) });
    bench.run(3s);
    REQUIRE(bench.startsOf("job") == 0);
    bench.setServices({ knownService, otherService });
    CHECK(bench.runUntilActive("job", 2, 500ms));
    CHECK(bench.runUntil("job", JobState::Completed, 3s));
}

TEST_CASE("a service that is withdrawn while its servers run tasks ends none of them")
{
    const bool leaderChanges = GENERATE(false, true);
    CAPTURE(leaderChanges);
    SchedulerBench bench({});
    bench.run(2s);
    bench.submit("job", "ordinary", { makeStep(2, 8, 12s) });
    REQUIRE(bench.runUntilActive("job", 2, 1s));
    bench.setServices({ otherService });
    bench.run(1s);
    if (leaderChanges)
        bench.killDaemon(bench.leader());
    CHECK(bench.runUntil("job", JobState::Completed, 14s));
    CHECK(bench.startsOf("job") == 2);
    bench.run(10s); // nothing of the job is left on the servers
    bench.submit("next", "ordinary", { makeStep(2, 8, 1s) });
    bench.run(3s);
    CHECK(bench.startsOf("next") == 0);
    bench.setServices({ knownService });
    CHECK(bench.runUntil("next", JobState::Completed, 3s));
    CHECK(bench.violations().empty());
}

TEST_CASE("an entry of another service under the id of a server changes nothing about the server")
{
    SchedulerBench bench({ .racks = 1, .serversPerRack = 1 });
    bench.run(2s);
    ServerEntry entry = entryOfLaterLife(bench.server(0), otherService);
    entry.id = bench.server(0).entry.id;
    bench.storeEntry(entry);
    bench.run(1s);
    bench.submit("job", "ordinary", { makeStep(1, 1, 2s) });
    CHECK(bench.runUntil("job", JobState::Completed, 4s));
    CHECK(bench.startsOf("job") == 1);
}

// A start without an answer was sent again though its server had said meanwhile that it leaves, also by a new leader.
TEST_CASE("a start without an answer is not sent again to a server that drains")
{
    const bool leaderChanges = GENERATE(false, true);
    CAPTURE(leaderChanges);
    SchedulerBench bench({});
    bench.run(2s);
    std::string chosen;
    int starts = 0;
    bench.onUnanswered = [&](const std::string& server, const ServerOrder& order) {
        if (!std::holds_alternative<StartOrder>(order))
            return;
        chosen = server;
        ++starts;
    };
    for (std::size_t index = 0; index < bench.serverCount(); ++index)
        bench.lateOrders[bench.server(index).entry.id] = { .count = 1000, .delay = 60s, .startsOnly = true };
    bench.submit("job", "ordinary", { makeStep(1, 1, 2s) });
    bench.run(700ms);
    REQUIRE(starts > 0);
    for (std::size_t index = 0; index < bench.serverCount(); ++index) {
        FakeServer& server = bench.server(index);
        if (server.entry.id != chosen) {
            bench.lateOrders.erase(server.entry.id);
            continue;
        }
        server.entry.draining = true;
        bench.putEntry(server);
    }
    if (leaderChanges)
        bench.killDaemon(bench.leader());
    else
        bench.run(600ms); // until the entry is read
    starts = 0;
    CHECK(bench.runUntil("job", JobState::Completed, 8s));
    CHECK(starts == 0);
    CHECK(bench.violations().empty());
}
