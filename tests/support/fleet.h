/// The cores of several daemons, a platform and backend servers in one process, on a fake clock and with injected
/// faults.
#pragma once

#include "controllers/daemoncore.h"
#include "support/documents.h"
#include "support/eventqueue.h"
#include "support/oracle.h"
#include "support/serverstate.h"
#include "support/tablestate.h"
#include "utils/randomsource.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Tests {

/// A defect built into a fake, to show that the checks detect it.
enum class BrokenVariant {
    None,
    TableIgnoresConditions,
    LostRequestReportedAsNotSent,
    ServerIgnoresLeaseExpiry,
    AnswersSwapped,
};

struct FleetOptions {
    ZoneDocumentOptions zone;
    std::uint32_t hosts = 3;
    std::uint64_t seed = 1;
    Utils::Json policy = { { "leasePeriod", "10s" }, { "reclaimGrace", "2s" }, { "urgentGrace", "500ms" } };
    Utils::Json guarantees = Utils::Json::object();
    Duration serviceTime { 20 };
    Duration checkpointTime { 200 }; ///< that an evicted task takes to save its work
    BrokenVariant broken = BrokenVariant::None;
};

/// Faults of the networks and the platform that are in effect. Rates are shares from 0 to 1.
struct FleetFaults {
    bool platformDown = false;
    Duration platformDelay { 0 };
    double tableAnswerLossRate = 0; ///< of answers to transactions that took effect
    double requestLossRate = 0; ///< of messages to backend servers
    double answerLossRate = 0; ///< of answers from backend servers
    double heartbeatLossRate = 0;
};

/// Thread safety: none.
class Fleet {
public:
    explicit Fleet(FleetOptions options);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    void advance(Duration duration) { this->queue.advance(duration); }
    SteadyTime now() const { return this->queue.now(); }

    /// Hosts are numbered from 0. A killed host can be started again as a new process.
    void kill(std::size_t host);
    void start(std::size_t host);
    void pause(std::size_t host);
    void resume(std::size_t host);
    void stopGracefully(std::size_t host);
    bool isRunning(std::size_t host) const;
    bool hasExited(std::size_t host) const;
    std::size_t hostCount() const { return this->hosts.size(); }
    Controllers::DaemonCore& core(std::size_t host);

    /// Cut or restore a host's connection to the platform, to its peers, or to one backend server.
    void cutFromPlatform(std::size_t host, bool cut);
    void cutFromPeers(std::size_t host, bool cut);
    void cutFromServer(std::size_t host, std::size_t server, bool cut);

    /// Backend servers are numbered from 0.
    void killServer(std::size_t server);
    void restartServer(std::size_t server);
    void setSilent(std::size_t server, bool silent);
    void setLeaving(std::size_t server);
    void listAsLeaving(std::size_t server, Duration lag);
    void setFailsEverything(std::size_t server, bool fails);
    void setServiceTime(std::size_t server, Duration time);
    std::size_t serverCount() const { return this->servers.size(); }
    Model::BackendServerId serverId(std::size_t server) const;
    /// When the server last began a request or granted a new lease.
    SteadyTime lastNewWork(std::size_t server) const;
    std::uint64_t requestsRun(std::size_t server) const;

    FleetFaults faults;

    /// Calls of clients and operators; the result identifies the caller. Bodies of requests should be unique unless a
    /// key is repeated.
    Model::CallerId request(
        std::size_t host, const std::string& body, const std::string& key = {}, const std::string& account = "large");
    Model::CallerId job(std::size_t host, const Model::JobSpecification& specification);
    Model::CallerId cancelJob(std::size_t host, const Model::JobId& job);
    Model::CallerId describeJob(std::size_t host, const Model::JobId& job);
    Model::CallerId edit(std::size_t host, const std::string& section, const Utils::Json& document,
        Model::RowVersion expected, const std::string& changeId);
    void drain(std::size_t host, std::size_t server, bool drained);
    /// The answer to an operator's or a job's call, or null before it is answered.
    const Controllers::AnswerDocument* documentAnswer(Model::CallerId caller) const;

    /// Ends all faults, resumes and starts every host, restarts servers that are down or leaving, and advances the
    /// clock by the bound of a graceful stop and `duration`.
    void healAndSettle(Duration duration);

    Oracle& oracle() { return this->facts; }
    std::vector<std::string> violations() const { return this->facts.violations(this->queue.now()); }
    TableState& table() { return this->tableState; }
    /// Numbered events that any host logged, with their details.
    const std::vector<Controllers::LogEvent>& log() const { return this->events; }
    bool logged(Utils::Event event) const;

private:
    struct Host;
    struct Server;
    using Input = std::function<void(Controllers::DaemonCore&)>;

    void seedConfiguration();
    void applyInput(std::size_t host, const Input& input);
    void deliver(std::size_t host, std::uint64_t generation, Input input);
    void checkRevision(std::size_t host);
    void performEffects(std::size_t host);
    void scheduleTick(std::size_t host, std::uint64_t generation);
    Duration networkDelay();

    void perform(std::size_t host, const Controllers::CallTable& effect);
    void perform(std::size_t host, const Controllers::FetchHostList& effect);
    void perform(std::size_t host, const Controllers::RunOnServer& effect);
    void perform(std::size_t host, const Controllers::SendLeaseBatch& effect);
    void perform(std::size_t host, const Controllers::SendHeartbeat& effect);
    void perform(std::size_t host, const Controllers::CallPeer& effect);
    void perform(std::size_t host, const Controllers::AnswerCaller& effect);
    void perform(std::size_t host, const Controllers::AnswerDocument& effect);
    void perform(std::size_t host, const Controllers::LogEvent& effect);
    void perform(std::size_t host, const Controllers::ExitProcess& effect);

    /// A host's outstanding call; it is answered exactly once, at the latest by its timeout.
    struct Call;
    std::shared_ptr<Call> openCall(
        std::size_t host, Controllers::CallId id, Duration timeout, const Controllers::CallAnswer& timeoutAnswer);
    void answerCall(const std::shared_ptr<Call>& call, const Controllers::CallAnswer& answer, Duration delay);
    Controllers::CallAnswer lostRequestResult(
        const Controllers::CallAnswer& asUnknown, const Controllers::CallAnswer& asNotSent) const;

    void runRequest(std::size_t server, const std::shared_ptr<Call>& call, const Model::RunRequest& request);
    void applyLeases(std::size_t server, const std::shared_ptr<Call>& call, const Model::LeaseBatch& batch);
    void scheduleLeaseCheck(std::size_t server);
    void collectChanges(std::size_t server);
    bool reachable(std::size_t host, std::size_t server) const;
    std::size_t serverIndex(const Model::BackendServerId& id) const;
    std::size_t hostAt(const Model::PeerAddress& address) const;

    FleetOptions options;
    EventQueue queue;
    Utils::RandomSource random;
    TableState tableState;
    Oracle facts;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<Controllers::ListedHost> listed;
    std::map<Model::CallerId, Controllers::AnswerDocument> documents;
    std::vector<Controllers::LogEvent> events;
    Model::CallerId lastCaller = 0;
    std::uint64_t lastIncarnation = 100;
    std::uint64_t lastGeneration = 0;
};

} // namespace WisteriaHill::Tests
