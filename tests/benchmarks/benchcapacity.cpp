/// Measures what control costs one daemon in processor time, traffic and memory at several sizes, with fakes around one
/// core. Only the core and the codecs are measured; benchload measures sockets on real processes.
#include "adapters/tablecodec.h"
#include "controllers/daemoncore.h"
#include "support/documents.h"
#include "support/eventqueue.h"
#include "support/serverstate.h"
#include "support/tablestate.h"
#include "utils/digest.h"

#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>

namespace {

using namespace WisteriaHill;
using namespace WisteriaHill::Tests;
using Controllers::DaemonCore;

constexpr std::size_t zoneCount = 6;
constexpr std::size_t peersInZone = 6;
constexpr std::size_t peersElsewhere = 34;
constexpr std::size_t accountCount = 58;
constexpr Duration tickInterval { 20 };
constexpr Duration warmUp { 30'000 };
constexpr Duration measured { 60'000 };
constexpr std::size_t datagramOverhead = 28; ///< bytes of IP and UDP headers
constexpr std::size_t requestOverhead = 450; ///< bytes of HTTP and TCP headers and of opening and closing, one way

struct Size {
    std::size_t serversInZone = 0;
    std::size_t tasksOwned = 0;
};

struct Cost {
    double processorShare = 0; ///< share of one core
    double bytesSent = 0; ///< per second, as all bytes below
    double bytesReceived = 0;
    double heartbeatBytes = 0;
    double probeBytes = 0; ///< lease messages without operations, both ways
    double leaseBytes = 0;
    double platformBytes = 0;
    double tableWrites = 0; ///< rows per second
    double tableReads = 0; ///< per second
    double residentMegabytes = 0;
};

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    constexpr double nanosecond = 1e-9;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * nanosecond;
}

double residentMegabytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    constexpr double pageMegabytes = 4096.0 / (1024 * 1024);
    return static_cast<double>(resident) * pageMegabytes;
}

/// One core with fakes that answer after 1 ms.
class Bench {
public:
    explicit Bench(Size size)
        : size(size)
        , core(coreOptions())
    {
        this->seed();
        this->schedulePeers();
        this->scheduleTick();
    }

    Cost run()
    {
        this->queue.advance(Duration(3000));
        this->submitTasks();
        this->queue.advance(warmUp);
        const Model::Counters before = this->core.state().counters;
        this->cost = {};
        this->usedProcessorSeconds = 0;
        this->queue.advance(measured);
        const Model::Counters& after = this->core.state().counters;
        const double seconds = std::chrono::duration<double>(measured).count();
        Cost result = this->cost;
        result.processorShare = this->usedProcessorSeconds / seconds;
        for (double* bytes : { &result.bytesSent, &result.bytesReceived, &result.heartbeatBytes, &result.probeBytes,
                 &result.leaseBytes, &result.platformBytes })
            *bytes /= seconds;
        result.tableWrites = static_cast<double>(after.tableRowsWritten - before.tableRowsWritten) / seconds;
        result.tableReads = static_cast<double>(after.tableReads - before.tableReads) / seconds;
        result.residentMegabytes = residentMegabytes();
        return result;
    }

    std::size_t tasksRunning() const
    {
        std::size_t count = 0;
        for (const auto& [id, entry] : this->core.state().jobs)
            count += entry.record.state == Model::JobState::Running ? 1 : 0;
        return count;
    }

private:
    static Controllers::CoreOptions coreOptions()
    {
        return { .identity = { .host = Model::EntryHostId("zone0-host0"),
                     .zone = Model::AvailabilityZoneId("zone0"),
                     .incarnation = 1,
                     .address = { "10.0.0.1", 9000 } },
            .seed = 7 };
    }

    void seed()
    {
        Model::SectionDocuments documents;
        for (std::size_t zone = 0; zone < zoneCount; ++zone) {
            const std::string name = "zone" + std::to_string(zone);
            auto sections = zoneDocuments(
                { .zone = name, .servers = static_cast<std::uint32_t>(this->size.serversInZone), .entryHosts = 7 });
            documents["inventory"].update(sections["inventory"]);
            documents["services"] = sections["services"];
        }
        for (std::size_t account = 0; account < accountCount; ++account) {
            const std::string name = "team" + std::to_string(account);
            documents["accounts"][name] = { { "credentialSha256", Utils::sha256Hex(name) } };
        }
        Model::TableTransaction transaction;
        for (const auto& [name, document] : documents) {
            const Utils::Json row { { "changeId", "seed" }, { "document", document } };
            transaction.writes.push_back({ "configuration/section/" + name, row.dump() });
        }
        transaction.writes.push_back({ "configuration/revision", R"({"revision": 1})" });
        this->table.apply(transaction);
        for (std::size_t server = 0; server < this->size.serversInZone; ++server)
            this->servers.emplace_back(8U, 100 + server);
    }

    void submitTasks()
    {
        for (std::size_t task = 0; task < this->size.tasksOwned; ++task) {
            Model::JobSpecification specification { .account
                = Model::ClientAccountId("team" + std::to_string(task % accountCount)),
                .shape = { 1, 1 },
                .payload = "100000000" };
            this->input([&]() { this->core.submitJob(task + 1, specification, this->queue.now()); });
        }
    }

    /// The heartbeats of peers report all servers that this daemon does not probe.
    void schedulePeers()
    {
        for (std::size_t peer = 0; peer < peersInZone + peersElsewhere; ++peer) {
            const bool sameZone = peer < peersInZone;
            this->schedulePeer(peer, sameZone, Duration(sameZone ? 500 : 6000));
        }
    }

    void schedulePeer(std::size_t peer, bool sameZone, Duration interval)
    {
        this->queue.after(interval, [this, peer, sameZone, interval]() {
            Model::Heartbeat heartbeat { .host = Model::EntryHostId("host" + std::to_string(peer + 1)),
                .zone = Model::AvailabilityZoneId(sameZone ? "zone0" : "zone1"),
                .incarnation = 2 + peer,
                .sequence = ++this->sequence,
                .phase = Model::HostPhase::Ready,
                .address = { "10.0.0.2", static_cast<std::uint16_t>(9001 + peer) },
                .revision = 1 };
            const std::size_t share = this->size.serversInZone / (peersInZone + 1);
            // Each peer refreshes its share of the servers every five seconds.
            for (std::size_t index = 0; sameZone && index < share / 10 + 1; ++index) {
                const std::size_t server = (peer * share + this->sequence + index) % this->size.serversInZone;
                heartbeat.servers.push_back({ .server = Model::BackendServerId("zone0-w" + std::to_string(server)),
                    .incarnation = 100 + server,
                    .free = this->servers[server].report(false).free });
            }
            const std::string bytes = Model::encodeHeartbeat(heartbeat);
            this->cost.bytesReceived += static_cast<double>(bytes.size() + datagramOverhead);
            this->cost.heartbeatBytes += static_cast<double>(bytes.size() + datagramOverhead);
            this->input([&]() {
                const auto decoded = Model::decodeHeartbeat(bytes);
                this->core.heartbeatReceived(*decoded, this->queue.now());
            });
            this->schedulePeer(peer, sameZone, interval);
        });
    }

    void scheduleTick()
    {
        this->queue.after(tickInterval, [this]() {
            this->input([this]() { this->core.tick(this->queue.now()); });
            this->scheduleTick();
        });
    }

    /// Measures the processor time of the daemon's own work, then performs the effects.
    template <typename Work> void input(Work work)
    {
        const double begin = processorSeconds();
        work();
        Controllers::Effects effects = this->core.takeEffects();
        this->usedProcessorSeconds += processorSeconds() - begin;
        for (Controllers::Effect& effect : effects)
            std::visit([this](auto& known) { this->perform(known); }, effect);
    }

    template <typename Work> auto timed(Work work)
    {
        const double begin = processorSeconds();
        auto result = work();
        this->usedProcessorSeconds += processorSeconds() - begin;
        return result;
    }

    void countTraffic(double& kind, std::size_t sent, std::size_t received)
    {
        this->cost.bytesSent += static_cast<double>(sent + requestOverhead);
        this->cost.bytesReceived += static_cast<double>(received + requestOverhead);
        kind += static_cast<double>(sent + received + 2 * requestOverhead);
    }

    void answer(Controllers::CallId call, Controllers::CallAnswer value)
    {
        this->queue.after(Duration(1), [this, call, value = std::move(value)]() {
            this->input([&]() { this->core.callAnswered(call, value, this->queue.now()); });
        });
    }

    void perform(const Controllers::CallTable& effect)
    {
        const std::string request
            = this->timed([&]() { return Adapters::tableOperationToJson(effect.operation).dump(); });
        const std::string text = Adapters::tableAnswerToJson(this->table.apply(effect.operation)).dump();
        this->countTraffic(this->cost.platformBytes, request.size(), text.size());
        const auto value = this->timed([&]() { return Adapters::tableAnswerFromJson(Utils::Json::parse(text)); });
        this->answer(effect.call, value);
    }
    void perform(const Controllers::FetchHostList& effect)
    {
        constexpr std::size_t unchangedAnswer = 40;
        this->countTraffic(this->cost.platformBytes, 0, unchangedAnswer);
        this->answer(effect.call, Controllers::HostListResult(std::vector<Controllers::ListedHost> {}));
    }
    void perform(const Controllers::RunOnServer&) { }
    void perform(const Controllers::SendLeaseBatch& effect)
    {
        const std::string request = this->timed([&]() { return Model::leaseBatchToJson(effect.batch).dump(); });
        const std::size_t server = std::stoul(effect.server.id.value().substr(std::string("zone0-w").size()));
        const std::string text
            = Model::leaseBatchAnswerToJson(this->servers[server].apply(effect.batch, this->queue.now())).dump();
        const bool probe = effect.batch.operations.empty();
        this->countTraffic(probe ? this->cost.probeBytes : this->cost.leaseBytes, request.size(), text.size());
        const auto value = this->timed([&]() { return Model::leaseBatchAnswerFromJson(Utils::Json::parse(text)); });
        this->answer(effect.call, Controllers::LeaseBatchResult(value));
    }
    void perform(const Controllers::SendHeartbeat& effect)
    {
        const std::string bytes = this->timed([&]() { return Model::encodeHeartbeat(effect.heartbeat); });
        this->cost.bytesSent += static_cast<double>(bytes.size() + datagramOverhead);
        this->cost.heartbeatBytes += static_cast<double>(bytes.size() + datagramOverhead);
    }
    void perform(const Controllers::CallPeer& effect)
    {
        this->answer(effect.call, Controllers::PeerResult(Controllers::PeerError::Unreachable));
    }
    void perform(const Controllers::AnswerCaller&) { }
    void perform(const Controllers::AnswerDocument&) { }
    void perform(const Controllers::LogEvent&) { }
    void perform(const Controllers::ExitProcess&) { }

    Size size;
    EventQueue queue;
    TableState table;
    std::vector<ServerState> servers;
    DaemonCore core;
    std::uint64_t sequence = 0;
    Cost cost;
    double usedProcessorSeconds = 0;
};

void printLine(const Size& size, const Cost& cost, std::size_t running)
{
    std::cout << std::fixed << std::setprecision(2) << "| " << size.serversInZone << " | " << running << " | "
              << cost.processorShare * 100 << " | " << std::setprecision(0) << cost.bytesSent << " | "
              << cost.bytesReceived << " | " << cost.heartbeatBytes << " | " << cost.probeBytes << " | "
              << cost.leaseBytes << " | " << cost.platformBytes << " | " << std::setprecision(2) << cost.tableWrites
              << " | " << cost.tableReads << " | " << std::setprecision(1) << cost.residentMegabytes << " |\n";
}

} // namespace

int main(int argc, char** argv)
{
    // One size per process, so that the resident memory is that of the size.
    if (argc != 3) {
        std::cout << "| servers in zone | tasks owned | core % | sent B/s | received B/s | heartbeats B/s | probes B/s "
                     "| leases B/s | platform B/s | rows written/s | reads/s | resident MB |\n"
                     "|---|---|---|---|---|---|---|---|---|---|---|---|\n";
        return 0;
    }
    const Size size { std::stoul(argv[1]), std::stoul(argv[2]) };
    Bench bench(size);
    const Cost cost = bench.run();
    printLine(size, cost, bench.tasksRunning());
    return 0;
}
