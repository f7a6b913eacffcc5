// Randomized soak of the real programs on one machine. Faults are injected from outside the processes, and invariants
// are checked against what callers and backend servers observed.

#include "platform/wirenames.h"
#include "soak/callers.h"
#include "soak/faults.h"
#include "soak/standstill.h"
#include "utils/base64.h"
#include "utils/checkedjson.h"
#include "utils/httpstatus.h"

#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>
#include <functional>
#include <iostream>

namespace {

using namespace WisteriaHill;
using namespace Soak;
namespace asio = boost::asio;
namespace HttpStatus = Utils::HttpStatus;
namespace Wire = Platform::Wire;
using Utils::Json;

constexpr const char* usage = R"(Runs a fleet of real processes under random faults and checks its invariants.

Usage:
  soak --seed=N --build=DIR --work=DIR [--seconds=N] [--port=N] [--daemons=N] [--servers=N] [--zones=N] [--failing]

Options:
  --seed=N      seed of the faults and the load
  --build=DIR   build directory of the programs
  --work=DIR    settings and output of the processes; must exist and be empty
  --seconds=N   how long faults are injected [default: 15]
  --port=N      first of 200 ports on loopback [default: 19000]
  --daemons=N   [default: 3]
  --servers=N   [default: 6]
  --zones=N     availability zones; if more than one, the faults are cuts that outlast leases, and tasks are longer
                [default: 1]
  --failing     most servers fail a third to a half of what they start, until the end; the faults are cuts
)";

constexpr Duration tickInterval { 10 };
constexpr Duration startBound { 15'000 }; ///< until every daemon must be ready
constexpr Duration faultFreeTime { 3000 }; ///< after the last fault, until time limits apply again
constexpr Duration settleBound { 40'000 }; ///< until every job must have ended
constexpr Duration longestJob { 4800 }; ///< three attempts of each task
constexpr LoadScale scaleOfCuts { .work = 16, .pause = 8 }; ///< runs span cuts, which outlast leases
constexpr LoadScale scaleOfFailing { .work = 16, .pause = 2, .lastingJobs = 2 };
constexpr Duration lastingTime { 30'000 }; ///< of tasks that last, after the end of the traffic
constexpr int failingServersPercent = 90;
constexpr int leastFailingPercent = 33; ///< of the runs of a server that fails
constexpr int mostFailingPercent = 50;
constexpr Duration configurationBound { 2000 }; ///< until a change must be active
constexpr Duration stopBound { 7000 }; ///< above the 6 s that a stop may take

HttpRequest requestFor(const std::string& path, const std::string& key = {}) { return { .path = path, .key = key }; }

HttpRequest writeRequest(const Json& row)
{
    return {
        .method = "POST", .path = Wire::transactionPath, .body = Json { { Wire::write, Json::array({ row }) } }.dump()
    };
}

class SoakRun {
public:
    SoakRun(asio::io_context& context, const FleetOptions& options, std::uint64_t seed, Duration faultTime)
        : context(context)
        , scale(!options.failingPercents.empty() ? scaleOfFailing
                  : options.zones > 1            ? scaleOfCuts
                                                 : LoadScale())
        , fleet(context, options)
        , callers(context, this->fleet, this->history, seed, this->scale)
        , faults(context, this->fleet, options.workDirectory + "/faults.log", seed + 1)
        , faultTime(faultTime)
    {
    }

    void run(const boost::asio::yield_context& yield)
    {
        asio::spawn(this->context, [this](const asio::yield_context& yield) { this->tick(yield); });
        for (int daemon = 0; daemon < this->fleet.daemonCount(); ++daemon)
            this->waitUntilReady(daemon, yield);
        this->callers.start();
        this->faults.start(now() + this->faultTime);
        while (!this->faults.isHealed())
            waitFor(this->context, tickInterval, yield);
        if (this->fleet.hasFailingServers())
            this->endTraffic();
        waitFor(this->context, faultFreeTime, yield);
        this->history.healed = now();
        this->changeConfiguration(yield);
        for (int daemon = 0; daemon < this->fleet.daemonCount() && !this->fleet.hasFailingServers(); ++daemon)
            this->replace(daemon, yield);
        if (!this->fleet.hasFailingServers())
            this->endTraffic();
        if (this->scale.lastingJobs > 0)
            waitFor(this->context, this->history.trafficEnded + lastingTime - now(), yield);
        this->callers.cancelLastingJobs();
        this->waitWhile([this]() { return this->callers.openJobs() > 0; },
            now() + settleBound + longestJob * (this->scale.work - 1), yield);
        this->stopAll(yield);
        this->history.finished = now();
        this->fleet.readHistory(this->history);
        for (const std::string& violation : findViolations(this->history))
            this->findings.push_back(violation);
        this->completed = true;
        this->context.stop();
    }

    /// Prints the totals and the findings; true when the run was complete and has no findings.
    bool report() const
    {
        std::size_t calls = 0;
        for (const auto& [id, job] : this->history.jobs)
            calls += job.calls.size();
        std::cout << this->history.jobs.size() << " jobs, " << calls << " calls, " << this->history.runs.size()
                  << " runs, " << this->history.stops.size() << " graceful stops, longest standstill "
                  << findStandstills(this->history).longest.count() << " ms\n";
        for (const std::string& finding : this->findings)
            std::cout << "BROKEN " << finding << "\n";
        return this->completed && this->findings.empty();
    }

private:
    void endTraffic()
    {
        this->callers.stopSubmitting();
        this->history.trafficEnded = now();
    }

    void tick(const boost::asio::yield_context& yield)
    {
        for (;;) {
            this->fleet.tick();
            waitFor(this->context, tickInterval, yield);
        }
    }

    /// Returns once the condition is false, at the latest at `bound`.
    void waitWhile(const std::function<bool()>& condition, Moment bound, const boost::asio::yield_context& yield)
    {
        while (condition() && now() < bound)
            waitFor(this->context, tickInterval, yield);
    }

    void waitUntilReady(int daemon, const boost::asio::yield_context& yield)
    {
        const Moment begin = now();
        for (;;) {
            HttpConnection connection(this->context, this->fleet.readinessPort(daemon));
            if ((connection.call(requestFor(Wire::readyPath), yield)).status == HttpStatus::ok)
                return;
            if (now() > begin + startBound) {
                this->findings.push_back("daemon " + std::to_string(daemon) + " did not become ready");
                return;
            }
            waitFor(this->context, tickInterval, yield);
        }
    }

    /// Stops a daemon gracefully and waits until its replacement is ready.
    void replace(int daemon, const boost::asio::yield_context& yield)
    {
        this->fleet.stopDaemon(daemon, true);
        const Moment bound = now() + stopBound;
        this->waitWhile([&]() { return this->fleet.isDaemonRunning(daemon); }, bound, yield);
        this->waitWhile([&]() { return !this->fleet.isDaemonRunning(daemon); }, bound, yield);
        this->waitUntilReady(daemon, yield);
    }

    void stopAll(const boost::asio::yield_context& yield)
    {
        this->fleet.stopRestarting();
        for (int daemon = 0; daemon < this->fleet.daemonCount(); ++daemon)
            this->fleet.stopDaemon(daemon, true);
        this->waitWhile([this]() { return this->fleet.isAnyDaemonRunning(); }, now() + stopBound, yield);
        if (this->fleet.isAnyDaemonRunning())
            this->findings.push_back("a daemon did not stop");
    }

    /// Adds a key to the client account; every daemon must accept it within the bound, and refuse an unknown key.
    void changeConfiguration(const boost::asio::yield_context& yield)
    {
        HttpConnection store(this->context, this->fleet.storePort());
        const HttpResponse read = store.call(
            requestFor(std::string(Wire::readPath) + "?Table=op&part=&StartKey=config&To=&Limit=1"), yield);
        Json row = Json::parse(read.body).at(Wire::rows).at(0);
        Json document = Json::parse(*Utils::fromBase64(row.at(Wire::value).get<std::string>()));
        document[Wire::documentVersion] = document.at(Wire::documentVersion).get<int>() + 1;
        document[Wire::tenants][0][Wire::apiKeys].push_back("added-key");
        row[Wire::value] = Utils::toBase64(document.dump());
        row.erase(Wire::version);
        const HttpResponse written = store.call(writeRequest(row), yield);
        if (written.status != HttpStatus::ok) {
            this->findings.push_back(
                "the store did not accept the configuration: status " + std::to_string(written.status));
            return;
        }
        waitFor(this->context, configurationBound, yield);
        for (int daemon = 0; daemon < this->fleet.daemonCount(); ++daemon) {
            HttpConnection connection(this->context, this->fleet.callersPort(daemon));
            const HttpResponse added = connection.call(requestFor("/score/0000000000000000", "added-key"), yield);
            const HttpResponse unknown = connection.call(requestFor("/score/0000000000000000", "stolen"), yield);
            if (added.status == HttpStatus::unauthorised || added.status == 0)
                this->findings.push_back("daemon " + std::to_string(daemon) + ": does not accept the added key: status "
                    + std::to_string(added.status));
            if (unknown.status != HttpStatus::unauthorised)
                this->findings.push_back("daemon " + std::to_string(daemon) + ": accepts an unknown key: status "
                    + std::to_string(unknown.status));
        }
    }

    asio::io_context& context;
    LoadScale scale;
    Fleet fleet;
    History history;
    Callers callers;
    FaultInjector faults;
    Duration faultTime;
    std::vector<std::string> findings;
    bool completed = false;
};

constexpr int exitViolation = 1; ///< an invariant was violated, or the run is incomplete
constexpr int exitNotRun = 2;

std::vector<int> failingPercents(std::uint64_t seed, int servers)
{
    SeededRandom random(seed);
    std::vector<int> percents;
    for (int server = 0; server < servers; ++server) {
        const bool fails = random.chance(failingServersPercent);
        percents.push_back(fails ? random.between(leastFailingPercent, mostFailingPercent) : 0);
    }
    return percents;
}

int runSoak(const std::map<std::string, docopt::value>& arguments)
{
    const auto number = [&arguments](const char* name) { return std::stoll(arguments.at(name).asString()); };
    asio::io_context context;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    const auto seed = static_cast<std::uint64_t>(number("--seed"));
    SoakRun soakRun(context,
        { .buildDirectory = arguments.at("--build").asString(),
            .workDirectory = arguments.at("--work").asString(),
            .firstPort = static_cast<std::uint16_t>(number("--port")),
            .daemons = static_cast<int>(number("--daemons")),
            .servers = static_cast<int>(number("--servers")),
            .zones = static_cast<int>(number("--zones")),
            .failingPercents = arguments.at("--failing").asBool()
                ? failingPercents(seed + 2, static_cast<int>(number("--servers")))
                : std::vector<int>() },
        seed, std::chrono::seconds(number("--seconds")));
    asio::spawn(context, [&soakRun](const asio::yield_context& yield) { soakRun.run(yield); });
    context.run();
    return soakRun.report() ? 0 : exitViolation;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runSoak(docopt::docopt(usage, { argv + 1, argv + argc }));
    } catch (const std::exception& error) {
        std::cerr << "the soak could not go on: " << error.what() << "\n";
        return exitNotRun;
    }
}
