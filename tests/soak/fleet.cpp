#include "soak/fleet.h"

#include "utils/checkedjson.h"

#include <algorithm>
#include <csignal>
#include <fstream>

namespace WisteriaHill::Soak {

namespace {

constexpr Duration restartDelay { 300 };
constexpr int storeLinkOffset = 10; ///< ports from the first one
constexpr int serverOffset = 20;
constexpr int serverLinkOffset = 50;
constexpr int daemonOffset = 100;
constexpr int portsPerDaemon = 10;
constexpr int callersTarget = 0; ///< ports of one daemon
constexpr int readiness = 1;
constexpr int relay = 2;
constexpr int metrics = 3;
constexpr int heartbeat = 4;
constexpr int callersProxy = 5;

} // namespace

Fleet::Fleet(boost::asio::io_context& context, FleetOptions givenOptions)
    : options(std::move(givenOptions))
    , store({ this->options.buildDirectory + "/tests/storestandin", std::to_string(this->options.firstPort) },
          this->logPath("store"))
{
    this->store.start();
    for (int number = 0; number < this->options.servers; ++number) {
        const auto linkPort = static_cast<std::uint16_t>(this->options.firstPort + serverLinkOffset + number);
        Server server;
        server.link = std::make_unique<Proxy>(context, linkPort, this->serverPort(number));
        server.process = std::make_unique<ChildProcess>(
            std::vector<std::string> { this->options.buildDirectory + "/tests/serverstandin",
                std::to_string(this->serverPort(number)), std::to_string(number), std::to_string(this->storePort()),
                std::to_string(linkPort) },
            this->logPath("server-" + std::to_string(number)));
        server.process->start();
        this->servers.push_back(std::move(server));
    }
    for (int number = 0; number < this->options.daemons; ++number) {
        const auto storeProxy = static_cast<std::uint16_t>(this->options.firstPort + storeLinkOffset + number);
        this->writeSettings(number);
        Daemon daemon;
        daemon.storeLink = std::make_unique<Proxy>(context, storeProxy, this->storePort());
        daemon.callersLink
            = std::make_unique<Proxy>(context, this->callersPort(number), this->daemonPort(number, callersTarget));
        daemon.process = std::make_unique<ChildProcess>(
            std::vector<std::string> { this->options.buildDirectory + "/src/app/wisteriahilld", "--settings",
                this->options.workDirectory + "/daemon-" + std::to_string(number) + ".json" },
            this->logPath("daemon-" + std::to_string(number)));
        daemon.process->start();
        this->daemons.push_back(std::move(daemon));
    }
}

std::uint16_t Fleet::daemonPort(int daemon, int offset) const
{
    return static_cast<std::uint16_t>(this->options.firstPort + daemonOffset + portsPerDaemon * daemon + offset);
}

std::uint16_t Fleet::callersPort(int daemon) const { return this->daemonPort(daemon, callersProxy); }
std::uint16_t Fleet::readinessPort(int daemon) const { return this->daemonPort(daemon, readiness); }

std::uint16_t Fleet::serverPort(int server) const
{
    return static_cast<std::uint16_t>(this->options.firstPort + serverOffset + server);
}

std::string Fleet::logPath(const std::string& name) const { return this->options.workDirectory + "/" + name + ".log"; }

void Fleet::writeSettings(int daemon) const
{
    const auto endpoint = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    const Utils::Json settings { { "fleet",
        { { "node", "host-" + std::to_string(daemon) }, { "zone", "sawshed" }, { "address", "127.0.0.1" },
            { "callers", endpoint(this->daemonPort(daemon, callersTarget)) },
            { "readiness", endpoint(this->daemonPort(daemon, readiness)) },
            { "relay", endpoint(this->daemonPort(daemon, relay)) },
            { "metrics", endpoint(this->daemonPort(daemon, metrics)) },
            { "heartbeatPort", this->daemonPort(daemon, heartbeat) },
            { "store", endpoint(this->options.firstPort + storeLinkOffset + daemon) },
            { "leases", { { "maximum", "6s" }, { "stopTime", "200ms" } } }, { "stopBound", "6s" } } } };
    std::ofstream(this->options.workDirectory + "/daemon-" + std::to_string(daemon) + ".json") << settings.dump();
}

void Fleet::signalDaemon(int daemon, int number)
{
    Daemon& signalled = this->daemons.at(daemon);
    if (!signalled.process->isRunning())
        return;
    signalled.endExpected = signalled.endExpected || number == SIGKILL;
    if (number == SIGCONT && !signalled.openStops.empty())
        signalled.openStops.front().resumed = now();
    signalled.process->signal(number);
}

void Fleet::signalServer(int server, int number)
{
    if (number == SIGKILL)
        this->servers.at(server).kills.push_back(now());
    this->servers.at(server).process->signal(number);
}

void Fleet::stopDaemon(int daemon, bool calm)
{
    Daemon& stopped = this->daemons.at(daemon);
    if (!stopped.process->isRunning() || stopped.endExpected)
        return;
    stopped.endExpected = true;
    stopped.openStops = { { .daemon = daemon, .asked = now(), .calm = calm } };
    stopped.process->signal(SIGTERM);
}

bool Fleet::isAnyDaemonRunning() const
{
    return std::ranges::any_of(this->daemons, [](const Daemon& daemon) { return daemon.process->isRunning(); });
}

void Fleet::tickDaemon(int number, Daemon& daemon)
{
    if (const std::optional<int> status = daemon.process->reap()) {
        if (!daemon.endExpected)
            this->unexpectedEnds.push_back("daemon " + std::to_string(number) + " at "
                + std::to_string(now().time_since_epoch().count()) + ", status " + std::to_string(*status));
        for (PlannedStop& stop : daemon.openStops) {
            stop.gone = now();
            stop.status = *status;
            if (*status != -SIGKILL) // a kill that overtook the stop says nothing about it
                this->stops.push_back(stop);
        }
        daemon.openStops.clear();
        daemon.endExpected = false;
        daemon.startAt = now() + restartDelay;
    }
    if (this->restarting && daemon.startAt && now() >= *daemon.startAt) {
        daemon.process->start();
        daemon.startAt.reset();
    }
}

void Fleet::tick()
{
    for (int number = 0; number < this->options.daemons; ++number)
        this->tickDaemon(number, this->daemons.at(number));
    for (Server& server : this->servers) {
        if (server.process->reap())
            server.startAt = now() + restartDelay;
        if (this->restarting && server.startAt && now() >= *server.startAt) {
            server.process->start();
            server.startAt.reset();
        }
    }
}

void Fleet::readRuns(int server, History& history) const
{
    std::ifstream lines(this->logPath("server-" + std::to_string(server)));
    std::vector<Run> runs;
    std::vector<std::int64_t> lives;
    std::string text;
    while (std::getline(lines, text)) {
        const Utils::Json line = Utils::Json::parse(text, nullptr, false);
        if (!line.is_object() || !line.contains("event"))
            continue; // a diagnostic, or a line that a kill has cut
        const Run run { .server = line.at("server"),
            .task = line.at("task"),
            .attempt = line.at("attempt"),
            .started = Moment(Duration(line.at("at").get<std::int64_t>())) };
        const std::int64_t life = line.at("life");
        if (line.at("event") == "started") {
            runs.push_back(run);
            lives.push_back(life);
            continue;
        }
        for (std::size_t index = 0; index < runs.size(); ++index) {
            if (lives[index] != life || runs[index].task != run.task || runs[index].attempt != run.attempt)
                continue;
            if (line.at("event") == "ended")
                runs[index].ended = run.started;
            runs[index].how = line.at("how");
            runs[index].acknowledged = line.at("event") == "acknowledged";
        }
    }
    for (Run& run : runs) {
        const auto& kills = this->servers.at(server).kills;
        const auto kill = std::ranges::find_if(kills, [&](Moment killed) { return killed >= run.started; });
        if (!run.ended && kill != kills.end())
            run.ended = *kill;
        history.runs.push_back(run);
    }
}

void Fleet::readHistory(History& history) const
{
    for (int server = 0; server < this->options.servers; ++server)
        this->readRuns(server, history);
    history.stops = this->stops;
    history.unexpectedEnds = this->unexpectedEnds;
}

} // namespace WisteriaHill::Soak
