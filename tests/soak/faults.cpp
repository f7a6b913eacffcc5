#include "soak/faults.h"

#include "soak/httpconnection.h"

#include <csignal>

namespace WisteriaHill::Soak {

namespace asio = boost::asio;

namespace {

constexpr Duration minimumGap { 150 }; ///< between the starts of two faults
constexpr Duration maximumGap { 1400 };
constexpr Duration minimumFaultDuration { 200 };
constexpr Duration maximumFaultDuration { 4000 };
constexpr Duration maximumDelay { 400 }; ///< per chunk, of a slow link
constexpr int repeatPercent = 20; ///< of faults that are injected twice

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
    asio::spawn(this->context, [this, end](const asio::yield_context& yield) { this->run(end, yield); });
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
    this->finished = true;
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
