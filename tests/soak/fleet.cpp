#include "soak/fleet.h"

#include "utils/checkedjson.h"

#include <algorithm>
#include <csignal>
#include <fstream>

namespace WisteriaHill::Soak {

namespace asio = boost::asio;

namespace {

constexpr Duration restartDelay { 300 };
constexpr int storeLinkPortOffset = 10; ///< offsets up to daemonPortOffset count from the first port
constexpr int serverPortOffset = 20;
constexpr int serverLinkPortOffset = 50;
constexpr int serverStoreLinkPortOffset = 75;
constexpr int daemonPortOffset = 100;
constexpr int portsPerDaemon = 10;
constexpr int callersPortOffset = 0; ///< offsets from here on count from the first port of a daemon
constexpr int readinessPortOffset = 1;
constexpr int relayPortOffset = 2;
constexpr int metricsPortOffset = 3;
constexpr int heartbeatPortOffset = 4;
constexpr int callersProxyPortOffset = 5;
constexpr const char* storeName = "store";
constexpr const char* translatedAddress = "127.0.0.2"; ///< where daemons reach each other, through proxies

std::string zoneName(int zone) { return "zone-" + std::to_string(zone); }

} // namespace

Fleet::Fleet(boost::asio::io_context& context, FleetOptions givenOptions)
    : options(std::move(givenOptions))
    , store({ this->options.buildDirectory + "/tests/storestandin", std::to_string(this->options.firstPort) },
          this->logPath("store"))
{
    this->store.start();
    for (int number = 0; number < this->options.servers; ++number)
        this->servers.push_back(this->startedServer(context, number));
    for (int number = 0; number < this->options.daemons; ++number)
        this->daemons.push_back(this->startedDaemon(context, number));
}

Fleet::Server Fleet::startedServer(asio::io_context& context, int number)
{
    const int linkPort = this->options.firstPort + serverLinkPortOffset + number;
    const int storeProxy = this->options.firstPort + serverStoreLinkPortOffset + number;
    const std::string name = serverName(number);
    Server server;
    server.link = std::make_unique<Proxy>(context, this->link(linkPort, this->serverPort(number), name));
    ProxyOptions storeLink = this->link(storeProxy, this->storePort(), storeName);
    storeLink.identify = [name](std::uint16_t) { return std::string(name); };
    server.storeLink = std::make_unique<Proxy>(context, storeLink);
    server.process = std::make_unique<ChildProcess>(
        std::vector<std::string> { this->options.buildDirectory + "/tests/serverstandin",
            std::to_string(this->serverPort(number)), std::to_string(number), std::to_string(storeProxy),
            std::to_string(linkPort), zoneName(this->zoneOf(number)),
            std::to_string(this->hasFailingServers() ? this->options.failingPercents.at(number) : 0) },
        this->logPath(name));
    server.process->start();
    return server;
}

Fleet::Daemon Fleet::startedDaemon(asio::io_context& context, int number)
{
    const std::string name = daemonName(number);
    this->writeSettings(number);
    Daemon daemon;
    ProxyOptions storeLink
        = this->link(this->options.firstPort + storeLinkPortOffset + number, this->storePort(), storeName);
    storeLink.identify = [name](std::uint16_t) { return std::string(name); };
    daemon.storeLink = std::make_unique<Proxy>(context, storeLink);
    daemon.callersLink = std::make_unique<Proxy>(context,
        ProxyOptions { .port = this->callersPort(number), .targetPort = this->daemonPort(number, callersPortOffset) });
    const std::uint16_t relayPort = this->daemonPort(number, relayPortOffset);
    ProxyOptions relayLink = this->link(relayPort, relayPort, name);
    relayLink.address = translatedAddress;
    daemon.relayLink = std::make_unique<Proxy>(context, relayLink);
    daemon.heartbeatLink = std::make_unique<DatagramProxy>(
        context, translatedAddress, this->daemonPort(number, heartbeatPortOffset), [this, name](std::uint16_t port) {
            const int sender = (port - this->daemonPort(0, heartbeatPortOffset)) / portsPerDaemon;
            return this->partition.separates(daemonName(sender), name);
        });
    daemon.process = std::make_unique<ChildProcess>(
        std::vector<std::string> { this->options.buildDirectory + "/src/app/wisteriahilld", "--settings",
            this->options.workDirectory + "/" + name + ".json" },
        this->logPath(name));
    daemon.process->start();
    return daemon;
}

ProxyOptions Fleet::link(int port, int targetPort, const std::string& target)
{
    const auto listened = static_cast<std::uint16_t>(port);
    return { .port = listened,
        .targetPort = static_cast<std::uint16_t>(targetPort),
        .identify = [this, listened](std::uint16_t clientPort) { return this->clientOf(clientPort, listened); },
        .isCut = [this, target](const std::string& client) { return this->partition.separates(client, target); },
        .isAnyCut = [this]() { return !this->partition.isEmpty(); } };
}

std::string Fleet::clientOf(std::uint16_t clientPort, std::uint16_t port) const
{
    const std::string link = socketLink(clientPort, port);
    for (std::size_t number = 0; number < this->daemons.size(); ++number) {
        if (hasDescriptor(this->daemons[number].process->id(), link))
            return daemonName(static_cast<int>(number));
    }
    return {};
}

std::set<std::string> Fleet::processesOfZone(int zone) const
{
    std::set<std::string> names;
    for (int number = 0; number < std::max(this->options.daemons, this->options.servers); ++number) {
        if (this->zoneOf(number) != zone)
            continue;
        names.insert(daemonName(number));
        names.insert(serverName(number));
    }
    return names;
}

void Fleet::endCut(Partition::Handle cut, bool drop)
{
    for (const Server& server : this->servers) {
        server.storeLink->resetCutConnections(); // a late heartbeat could announce an earlier start of the server
        if (drop)
            server.link->resetCutConnections();
    }
    for (const Daemon& daemon : this->daemons) {
        if (!drop)
            continue;
        daemon.storeLink->resetCutConnections();
        daemon.relayLink->resetCutConnections();
    }
    this->partition.remove(cut);
}

std::uint16_t Fleet::daemonPort(int daemon, int offset) const
{
    return static_cast<std::uint16_t>(this->options.firstPort + daemonPortOffset + portsPerDaemon * daemon + offset);
}

std::uint16_t Fleet::callersPort(int daemon) const { return this->daemonPort(daemon, callersProxyPortOffset); }
std::uint16_t Fleet::readinessPort(int daemon) const { return this->daemonPort(daemon, readinessPortOffset); }
std::uint16_t Fleet::metricsPort(int daemon) const { return this->daemonPort(daemon, metricsPortOffset); }

std::uint16_t Fleet::serverPort(int server) const
{
    return static_cast<std::uint16_t>(this->options.firstPort + serverPortOffset + server);
}

std::string Fleet::logPath(const std::string& name) const { return this->options.workDirectory + "/" + name + ".log"; }

void Fleet::writeSettings(int daemon) const
{
    const auto endpoint = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    const Utils::Json settings { { "fleet",
        { { "node", "host-" + std::to_string(daemon) }, { "zone", zoneName(this->zoneOf(daemon)) },
            { "address", translatedAddress }, { "callers", endpoint(this->daemonPort(daemon, callersPortOffset)) },
            { "readiness", endpoint(this->daemonPort(daemon, readinessPortOffset)) },
            { "relay", endpoint(this->daemonPort(daemon, relayPortOffset)) },
            { "metrics", endpoint(this->daemonPort(daemon, metricsPortOffset)) },
            { "heartbeatPort", this->daemonPort(daemon, heartbeatPortOffset) },
            { "heartbeats", endpoint(this->daemonPort(daemon, heartbeatPortOffset)) },
            { "store", endpoint(this->options.firstPort + storeLinkPortOffset + daemon) },
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

void Fleet::stopDaemon(int daemon, bool faultFree)
{
    Daemon& stopped = this->daemons.at(daemon);
    if (!stopped.process->isRunning() || stopped.endExpected)
        return;
    stopped.endExpected = true;
    stopped.openStops = { { .daemon = daemon, .requested = now(), .faultFree = faultFree } };
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
            stop.exited = now();
            stop.status = *status;
            if (*status != -SIGKILL) // a kill during a stop says nothing about the stop
                this->stops.push_back(stop);
        }
        daemon.openStops.clear();
        daemon.endExpected = false;
        daemon.restartAt = now() + restartDelay;
    }
    if (this->restarting && daemon.restartAt && now() >= *daemon.restartAt) {
        daemon.process->start();
        daemon.restartAt.reset();
    }
}

void Fleet::tick()
{
    for (int number = 0; number < this->options.daemons; ++number)
        this->tickDaemon(number, this->daemons.at(number));
    for (Server& server : this->servers) {
        if (server.process->reap())
            server.restartAt = now() + restartDelay;
        if (this->restarting && server.restartAt && now() >= *server.restartAt) {
            server.process->start();
            server.restartAt.reset();
        }
    }
}

void Fleet::readRuns(int server, History& history) const
{
    std::ifstream lines(this->logPath("server-" + std::to_string(server)));
    std::vector<Run> runs;
    std::vector<std::int64_t> incarnations;
    std::string text;
    while (std::getline(lines, text)) {
        const Utils::Json line = Utils::Json::parse(text, nullptr, false);
        if (!line.is_object() || !line.contains("event"))
            continue; // a diagnostic, or a line that a kill truncated
        const Run run { .server = line.at("server"),
            .task = line.at("task"),
            .attempt = line.at("attempt"),
            .started = Moment(Duration(line.at("at").get<std::int64_t>())) };
        const std::int64_t incarnation = line.at("life");
        if (line.at("event") == "started") {
            runs.push_back(run);
            incarnations.push_back(incarnation);
            continue;
        }
        for (std::size_t index = 0; index < runs.size(); ++index) {
            if (incarnations[index] != incarnation || runs[index].task != run.task
                || runs[index].attempt != run.attempt)
                continue;
            if (line.at("event") == "ended")
                runs[index].ended = run.started;
            runs[index].outcome = line.at("how");
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
    history.servers = this->options.servers;
    history.stops = this->stops;
    history.unexpectedEnds = this->unexpectedEnds;
}

} // namespace WisteriaHill::Soak
