/// The processes of a soak: a store, backend servers and daemons, with proxies between them.
#pragma once

#include "soak/childprocess.h"
#include "soak/history.h"
#include "soak/partition.h"
#include "soak/proxy.h"

#include <memory>
#include <string>
#include <vector>

namespace WisteriaHill::Soak {

struct FleetOptions {
    std::string buildDirectory;
    std::string workDirectory; ///< settings and output of the processes
    std::uint16_t firstPort = 0;
    int daemons = 3;
    int servers = 6;
    int zones = 1; ///< availability zones; daemons and servers are spread over them
    std::vector<int> failingPercents; ///< of the runs that each server starts; empty when no server fails
};

/// Starts all processes at once. Thread safety: none; all on the context's thread.
class Fleet {
public:
    Fleet(boost::asio::io_context& context, FleetOptions options);

    /// Records ended processes and restarts them after a short delay, as the platform does.
    void tick();

    /// Ended processes are no longer restarted.
    void stopRestarting() { this->restarting = false; }

    /// Sends a signal; after SIGKILL the end of the process is expected.
    void signalDaemon(int daemon, int number);
    void signalServer(int server, int number);
    void signalStore(int number) { this->store.signal(number); }

    /// Asks a daemon to stop gracefully; the stop is recorded when the daemon has exited. For `faultFree` see
    /// PlannedStop.
    void stopDaemon(int daemon, bool faultFree);

    bool isDaemonRunning(int daemon) const { return this->daemons.at(daemon).process->isRunning(); }
    bool isAnyDaemonRunning() const;

    Proxy& callersLink(int daemon) { return *this->daemons.at(daemon).callersLink; }
    Proxy& storeLink(int daemon) { return *this->daemons.at(daemon).storeLink; }
    Proxy& serverLink(int server) { return *this->servers.at(server).link; }

    /// What is inside of a cut of this availability zone; the store is outside of each.
    std::set<std::string> processesOfZone(int zone) const;
    int zoneOf(int number) const { return number % this->options.zones; }
    static std::string daemonName(int daemon) { return "daemon-" + std::to_string(daemon); }
    static std::string serverName(int server) { return "server-" + std::to_string(server); }

    Partition::Handle beginCut(Cut cut) { return this->partition.add(std::move(cut)); }

    /// Bytes that were held back are delivered, or dropped with their connections.
    void endCut(Partition::Handle cut, bool drop);

    std::uint16_t callersPort(int daemon) const;
    std::uint16_t readinessPort(int daemon) const;
    std::uint16_t metricsPort(int daemon) const;
    std::uint16_t storePort() const { return this->options.firstPort; }
    std::uint16_t serverPort(int server) const;
    int daemonCount() const { return this->options.daemons; }
    int serverCount() const { return this->options.servers; }
    int zoneCount() const { return this->options.zones; }
    bool hasFailingServers() const { return !this->options.failingPercents.empty(); }

    /// Adds the runs that the servers logged, the stops and the unexpected ends of processes.
    void readHistory(History& history) const;

private:
    struct Daemon {
        std::unique_ptr<ChildProcess> process;
        std::unique_ptr<Proxy> callersLink;
        std::unique_ptr<Proxy> storeLink;
        std::unique_ptr<Proxy> relayLink;
        std::unique_ptr<DatagramProxy> heartbeatLink;
        bool endExpected = false;
        std::optional<Moment> restartAt; ///< set while the process waits for its restart
        std::vector<PlannedStop> openStops; ///< requested, but not ended; at most one
    };

    struct Server {
        std::unique_ptr<ChildProcess> process;
        std::unique_ptr<Proxy> link;
        std::unique_ptr<Proxy> storeLink;
        std::optional<Moment> restartAt;
        std::vector<Moment> kills;
    };

    std::uint16_t daemonPort(int daemon, int offset) const;
    Server startedServer(boost::asio::io_context& context, int number);
    Daemon startedDaemon(boost::asio::io_context& context, int number);

    /// A link on which the partition applies between each client and the target of this name.
    ProxyOptions link(int port, int targetPort, const std::string& target);

    /// The daemon that has the connection from `clientPort` to `port`; empty when there is none.
    std::string clientOf(std::uint16_t clientPort, std::uint16_t port) const;
    std::string logPath(const std::string& name) const;
    void writeSettings(int daemon) const;
    void tickDaemon(int number, Daemon& daemon);
    void readRuns(int server, History& history) const;

    FleetOptions options;
    Partition partition;
    ChildProcess store;
    std::vector<Daemon> daemons;
    std::vector<Server> servers;
    std::vector<PlannedStop> stops;
    std::vector<std::string> unexpectedEnds;
    bool restarting = true;
};

} // namespace WisteriaHill::Soak
