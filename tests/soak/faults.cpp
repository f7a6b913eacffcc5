#include "soak/faults.h"

#include "soak/httpconnection.h"

#include <csignal>
#include <sstream>

namespace WisteriaHill::Soak {

namespace asio = boost::asio;

namespace {

constexpr Duration minimumGap { 150 }; ///< between the starts of two faults
constexpr Duration maximumGap { 1400 };
constexpr Duration minimumFaultDuration { 200 };
constexpr Duration maximumFaultDuration { 4000 };
constexpr Duration maximumDelay { 400 }; ///< per chunk, of a slow link
constexpr int repeatPercent = 20; ///< of faults that are injected twice
constexpr Duration minimumCut { 12'000 }; ///< twice the lease
constexpr Duration maximumCut { 30'000 };
constexpr Duration minimumCutGap { -2000 }; ///< from the end of a cut to the start of the next; they may overlap
constexpr Duration maximumCutGap { 8000 };
constexpr Duration maximumFaultGap { 8000 }; ///< between faults of processes during cuts
constexpr Duration metricsTimeout { 300 };
constexpr int leaderPercent = 75; ///< of cuts that are around the leader
constexpr int zonePercent = 60; ///< of cuts that are of a whole zone
constexpr int groupPercent = 50; ///< of the others; those that cut off the leader with some servers
constexpr int serverPercent = 50; ///< of servers that such a cut concerns
constexpr int dropPercent = 50; ///< of cuts at whose end the bytes that were held back are dropped

HttpRequest postRequest(const std::string& path, const std::string& body)
{
    return { .method = "POST", .path = path, .body = body };
}

} // namespace

FaultInjector::FaultInjector(asio::io_context& context, Fleet& fleet, const std::string& logPath, std::uint64_t seed)
    : context(context)
    , fleet(fleet)
    , log(logPath)
    , random(seed)
{
}

void FaultInjector::start(Moment end)
{
    asio::spawn(this->context, [this, end](const asio::yield_context& yield) {
        if (this->fleet.zoneCount() > 1 || this->fleet.hasFailingServers())
            this->runCuts(end, yield);
        else
            this->run(end, yield);
        this->finished = true;
    });
}

void FaultInjector::run(Moment end, const boost::asio::yield_context& yield)
{
    while (now() < end) {
        const Fault fault = this->randomFault();
        const int times = this->random.chance(repeatPercent) ? 2 : 1;
        for (int time = 0; time < times; ++time) {
            ++this->active;
            asio::spawn(this->context, [this, fault](const asio::yield_context& yield) {
                this->inject(fault, this->random.between(minimumFaultDuration, maximumFaultDuration), yield);
            });
            waitFor(this->context, this->random.between(minimumGap, maximumGap), yield);
        }
    }
}

void FaultInjector::runCuts(Moment end, const boost::asio::yield_context& yield)
{
    waitFor(this->context, this->random.between(minimumFaultDuration, maximumCutGap), yield);
    while (now() < end) {
        const Duration length = this->random.between(minimumCut, maximumCut);
        const Moment next = now() + length + this->random.between(minimumCutGap, maximumCutGap);
        this->startFault(this->randomCut(yield), length);
        while (now() < next) {
            waitFor(this->context, std::min(this->random.between(minimumGap, maximumFaultGap), next - now()), yield);
            if (now() < next && this->fleet.zoneCount() > 1)
                this->startFault(
                    this->processFault(), this->random.between(minimumFaultDuration, maximumFaultDuration));
        }
    }
}

void FaultInjector::startFault(const Fault& fault, Duration length)
{
    ++this->active;
    asio::spawn(
        this->context, [this, fault, length](const asio::yield_context& yield) { this->inject(fault, length, yield); });
}

/// The daemon that leads in the latest term; a random one when none leads.
int FaultInjector::leader(const boost::asio::yield_context& yield)
{
    int leader = this->random.between(0, this->fleet.daemonCount() - 1);
    std::uint64_t latestTerm = 0;
    for (int daemon = 0; daemon < this->fleet.daemonCount(); ++daemon) {
        HttpConnection connection(this->context, this->fleet.metricsPort(daemon));
        std::istringstream lines(connection.call({ .path = "/metrics", .timeout = metricsTimeout }, yield).body);
        std::uint64_t term = 0;
        bool leading = false;
        std::string name;
        for (std::string line; std::getline(lines, line);) {
            std::istringstream words(line);
            words >> name;
            if (name == "wisteriahill_term")
                words >> term;
            else if (name == "wisteriahill_leading")
                words >> leading;
        }
        if (leading && term > latestTerm) {
            latestTerm = term;
            leader = daemon;
        }
    }
    return leader;
}

FaultInjector::Fault FaultInjector::randomCut(const boost::asio::yield_context& yield)
{
    const int daemon = this->random.chance(leaderPercent) ? this->leader(yield)
                                                          : this->random.between(0, this->fleet.daemonCount() - 1);
    std::set<std::string> someServers;
    std::string names;
    const int certain = this->random.between(0, this->fleet.serverCount() - 1);
    for (int server = 0; server < this->fleet.serverCount(); ++server) {
        if (!this->random.chance(serverPercent) && server != certain)
            continue;
        someServers.insert(Fleet::serverName(server));
        names += " " + std::to_string(server);
    }
    Cut cut;
    std::string name;
    if (this->fleet.zoneCount() == 1) {
        cut.inside = someServers;
        name = "cut off servers" + names;
    } else if (this->random.chance(zonePercent)) {
        cut.inside = this->fleet.processesOfZone(this->fleet.zoneOf(daemon));
        name = "cut off zone of daemon " + std::to_string(daemon);
    } else if (this->random.chance(groupPercent)) {
        cut.inside = someServers;
        cut.inside.insert(Fleet::daemonName(daemon));
        name = "cut off daemon " + std::to_string(daemon) + " with servers" + names;
    } else {
        cut = { .inside = { Fleet::daemonName(daemon) }, .outside = someServers };
        name = "cut daemon " + std::to_string(daemon) + " from servers" + names;
    }
    const bool drop = this->random.chance(dropPercent);
    auto handle = std::make_shared<Partition::Handle>();
    return { name + (drop ? ", bytes dropped," : ", bytes delivered late,"),
        [=, this]() { *handle = this->fleet.beginCut(cut); }, [=, this]() { this->fleet.endCut(*handle, drop); } };
}

void FaultInjector::inject(const Fault& fault, Duration length, const boost::asio::yield_context& yield)
{
    this->log << now().time_since_epoch().count() << " " << fault.name << " for " << length.count() << " ms"
              << std::endl;
    fault.begin();
    waitFor(this->context, length, yield);
    if (fault.end) {
        fault.end();
        this->log << now().time_since_epoch().count() << " " << fault.name << " ended" << std::endl;
    }
    --this->active;
}

void FaultInjector::postToStandIn(
    std::uint16_t port, const std::string& path, const std::string& body, const boost::asio::yield_context& yield)
{
    HttpConnection connection(this->context, port);
    const HttpRequest request = postRequest(path, body);
    connection.call(request, yield);
}

FaultInjector::Fault FaultInjector::randomFault()
{
    constexpr int kinds = 5;
    const int kind = this->random.between(1, kinds);
    return kind <= 2 ? this->processFault() : kind <= 4 ? this->linkFault() : this->standInFault();
}

FaultInjector::Fault FaultInjector::processFault()
{
    const int daemon = this->random.between(0, this->fleet.daemonCount() - 1);
    const int server = this->random.between(0, this->fleet.serverCount() - 1);
    const std::string ofDaemon = " daemon " + std::to_string(daemon);
    const std::string ofServer = " server " + std::to_string(server);
    constexpr int kinds = 7;
    switch (this->random.between(1, kinds)) {
    case 1:
        return { "kill" + ofDaemon, [=, this]() { this->fleet.signalDaemon(daemon, SIGKILL); }, {} };
    case 2:
        return { "stop" + ofDaemon, [=, this]() { this->fleet.stopDaemon(daemon, false); }, {} };
    case 3:
        return { "reload" + ofDaemon, [=, this]() { this->fleet.signalDaemon(daemon, SIGHUP); }, {} };
    case 4:
        return { "pause" + ofDaemon, [=, this]() { this->fleet.signalDaemon(daemon, SIGSTOP); },
            [=, this]() { this->fleet.signalDaemon(daemon, SIGCONT); } };
    case 5:
        return { "kill" + ofServer, [=, this]() { this->fleet.signalServer(server, SIGKILL); }, {} };
    case 6:
        return { "pause" + ofServer, [=, this]() { this->fleet.signalServer(server, SIGSTOP); },
            [=, this]() { this->fleet.signalServer(server, SIGCONT); } };
    default:
        return { "pause store", [this]() { this->fleet.signalStore(SIGSTOP); },
            [this]() { this->fleet.signalStore(SIGCONT); } };
    }
}

FaultInjector::Fault FaultInjector::linkFault()
{
    constexpr int links = 3;
    constexpr int kinds = 7;
    const int link = this->random.between(1, links);
    const int number = this->random.between(0, (link == 1 ? this->fleet.serverCount() : this->fleet.daemonCount()) - 1);
    Proxy* proxy = link == 1 ? &this->fleet.serverLink(number)
        : link == 2          ? &this->fleet.storeLink(number)
                             : &this->fleet.callersLink(number);
    const std::string name = (link == 1          ? " link to server "
                                     : link == 2 ? " store link of daemon "
                                                 : " callers of daemon ")
        + std::to_string(number);
    const auto faulty = [proxy](const char* what, const std::string& name, const LinkFault& fault) -> Fault {
        return { what + name, [proxy, fault]() { proxy->setFault(fault); }, [proxy]() { proxy->setFault({}); } };
    };
    switch (this->random.between(1, kinds)) {
    case 1:
        return faulty("refuse", name, { .refuse = true });
    case 2:
        return faulty("cut to target:", name, { .silentToTarget = true });
    case 3:
        return faulty("cut to client:", name, { .silentToClient = true });
    case 4:
        return faulty("cut both ways:", name, { .silentToTarget = true, .silentToClient = true });
    case 5:
        return faulty("delay", name, { .delay = this->random.between(Duration(1), maximumDelay) });
    case 6:
        return { "reset" + name, [proxy]() { proxy->resetConnections(); }, {} };
    default:
        return { "silence open connections:" + name, [proxy]() { proxy->silenceOpenConnections(); }, {} };
    }
}

FaultInjector::Fault FaultInjector::standInFault()
{
    const auto post = [this](std::uint16_t port, const std::string& path, const std::string& body) {
        asio::spawn(this->context, [this, port, path, body](const asio::yield_context& yield) {
            this->postToStandIn(port, path, body, yield);
        });
    };
    constexpr int kinds = 3;
    const int kind = this->random.between(1, kinds);
    if (kind == 1) {
        const std::uint16_t port = this->fleet.storePort();
        return { "store forgets its history", [=]() { post(port, "/stand-in/forget", ""); }, {} };
    }
    const int server = this->random.between(0, this->fleet.serverCount() - 1);
    const std::uint16_t port = this->fleet.serverPort(server);
    const std::string health = kind == 2 ? "fails" : "stands";
    return { "server " + std::to_string(server) + " " + health, [=]() { post(port, "/stand-in/health", health); },
        [=]() { post(port, "/stand-in/health", "sound"); } };
}

} // namespace WisteriaHill::Soak
