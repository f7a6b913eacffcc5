#include "app/fleetdaemon.h"

#include "app/daemonsettings.h"
#include "app/scheduleroptions.h"
#include "platform/documents.h"
#include "platform/wirenames.h"
#include "utils/eventlog.h"
#include "utils/httpstatus.h"
#include "utils/randomsource.h"
#include "utils/steadytime.h"

#include <algorithm>
#include <chrono>

namespace WisteriaHill::App {

namespace {

using Scheduling::CallerAnswer;
using Scheduling::CallerContext;
using Scheduling::CallerOutcome;
using Utils::Duration;
using Utils::Event;
using Utils::Json;
using Utils::steadyNow;

constexpr Duration tickInterval { 10 };
constexpr Duration leaderHeartbeatInterval { 200 }; ///< a third of the heartbeat timeout that starts a takeover
constexpr Duration heartbeatInterval { 1000 };
constexpr Duration heartbeatIntervalPerPeer { 50 }; ///< limits the send rate in a large fleet
constexpr Duration maximumSummaryAge { 1800 }; ///< counts of pending jobs may be at most 2 s old
constexpr Duration probeTimeout { 350 }; ///< of a direct call to the store, which answers in a few milliseconds
constexpr Duration exitCheckInterval { 20 };
constexpr Duration doorsLogInterval { 1000 };
constexpr Duration stopNotice { 1200 }; ///< the balancer polls the readiness once a second
constexpr Duration stopReserve { 1000 }; ///< margin before the end of the stop bound, when the process is killed

Scheduling::MemberRow ownMember(const FleetSettings& settings)
{
    return { .node = settings.node,
        .zone = settings.zone,
        .address = settings.address,
        .heartbeatPort = settings.heartbeatPort,
        .relayPort = settings.relay.port,
        .incarnation = Utils::systemRandom() >> 1U };
}

const char* orderKind(const Scheduling::ServerOrder& order)
{
    return std::visit(
        Utils::Overloaded { [](const Scheduling::StartOrder&) { return "start"; },
            [](const Scheduling::StopOrder&) { return "stop"; }, [](const Scheduling::PollOrder&) { return "look"; },
            [](const Scheduling::PaceOrder&) { return "pace"; } },
        order);
}

} // namespace

FleetDaemon::FleetDaemon(const FleetSettings& initialSettings, std::string settingsPath)
    : settings(initialSettings)
    , settingsPath(std::move(settingsPath))
    , doors(this->settings)
    , peers(this->effects, ownMember(this->settings), steadyNow)
    , storeRoute(this->effects, { .address = this->settings.store.address, .port = this->settings.store.port },
          this->settings.node)
    , configuration(this->effects, { Platform::Wire::operatorTable, "", Platform::Wire::configurationKey },
          Platform::decodeConfiguration, steadyNow)
    , configurationRelay({ Platform::Wire::operatorTable, "", Platform::Wire::configurationKey })
    , intake(this->effects, steadyNow, [this]() { return this->storeRoute.evidence(steadyNow()); })
    , scheduler(schedulerOptions(this->settings, this->peers.own().incarnation), Platform::decodeServerEntry, steadyNow,
          this->storeClock)
    , store(this->loop,
          { .choose = [this]() { return this->storeRoute.choose(this->peers, steadyNow()); },
              .report = [this](const Scheduling::StoreEndpoint& endpoint,
                            bool answered) { this->storeRoute.report(endpoint, answered, steadyNow()); },
              .reportWatch = [this](const Scheduling::StoreEndpoint& endpoint,
                                 bool answered) { this->storeRoute.reportWatch(endpoint, answered, steadyNow()); },
              .direct = { .address = this->settings.store.address, .port = this->settings.store.port } },
          this->storeClock)
    , servers(this->loop)
    , services(this->loop,
          { .advice = { .address = this->settings.advisor.address, .port = this->settings.advisor.port },
              .machines = { .address = this->settings.machines.address, .port = this->settings.machines.port } })
    , heartbeats(this->loop, { .address = this->settings.heartbeats.address, .port = this->settings.heartbeats.port },
          [this](const std::string& bytes) { this->heartbeatReceived(bytes); })
    , callers(this->loop, this->settings.callers.address, this->settings.callers.port,
          { .jobs = this->callerHandlers(),
              .pending =
                  [this](const CallerContext& context, const Scheduling::AnswerCallback& answer) {
                      this->answerPending(context, this->withLatencyRecorded("pending", answer));
                  },
              .findQueue = [this](const CallerContext& context) -> const Scheduling::Queue* {
                  const auto& inForce = this->configuration.inForce();
                  return inForce ? inForce->findQueue(context.host, context.path) : nullptr;
              },
              .accountOf = [this](const std::string& key) -> std::string {
                  const auto& inForce = this->configuration.inForce();
                  const auto* account = inForce ? inForce->accountOfKey(key) : nullptr;
                  return account ? account->name : std::string();
              } },
          this->doors.callers())
    , readiness(this->loop,
          { .address = this->settings.readiness.address,
              .port = this->settings.readiness.port,
              .maximumBody = 0,
              .ledger = this->doors.readiness() },
          [this](Adapters::HttpExchangeId exchange, const Adapters::HttpRequest& request) {
              this->answerReadiness(exchange, request);
          })
    , relay(this->loop,
          { .address = this->settings.relay.address,
              .port = this->settings.relay.port,
              .headers = { Platform::timeLeftHeader },
              .ledger = this->doors.relay(),
              .isOwn = [this](const std::string& address) { return this->peers.isKnownAddress(address); } },
          [this](Adapters::HttpExchangeId exchange, Adapters::HttpRequest request) {
              this->answerRelayed(exchange, std::move(request));
          })
    , operatorApi(this->loop, this->settings.metrics.address, this->settings.metrics.port, this->scheduler,
          { .jobs = this->callerHandlers(),
              .configuration = [this]() { return this->configuration.inForce().get(); },
              .metrics = [this]() { return this->metrics.text(this->gauges(steadyNow()), this->doors); } },
          this->doors.metrics())
{
    this->configuration.onApplied([this](const std::shared_ptr<const Scheduling::FleetConfiguration>& inForce) {
        this->intake.setConfiguration(inForce);
        this->scheduler.setConfiguration(inForce);
        this->configurationRelay.setRow(this->configuration.row());
        this->nextHeartbeat = SteadyTime(); // daemons that the store rejects learn of the version at once
    });
    Utils::logStructured(Event::DaemonStarted,
        { { "zone", this->settings.zone }, { "callers", this->settings.callers.address },
            { "port", this->settings.callers.port }, { "incarnation", this->peers.own().incarnation } });
}

bool FleetDaemon::run()
{
    this->loop.onError([this](const std::exception& error) { this->handleUnexpectedError(error); });
    this->loop.every(tickInterval, [this]() { this->tick(); });
    this->loop.onTerminationSignal([this]() { this->beginStop(); });
    this->loop.onReloadSignal([this]() { this->reloadSettings(); });
    this->loop.run();
    Utils::logStructured(Event::DaemonStopped, Json::object());
    return !this->failed;
}

void FleetDaemon::handleUnexpectedError(const std::exception& error)
{
    Utils::logStructured(Event::UnexpectedError,
        { { "reason", error.what() }, { "leading", this->scheduler.leadership().isLeader() },
            { "term", this->scheduler.leadership().knownTerm() } });
    this->runningEffects = false;
    this->failed = true;
    this->beginStop();
}

Duration FleetDaemon::wallOffset(SteadyTime now) const
{
    if (!this->storeClock.isKnown())
        return Duration(0);
    const auto wallNow = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(wallNow) - this->storeClock.at(now);
}

Scheduling::WallTime FleetDaemon::agreedWallTime(SteadyTime now) const
{
    const Duration agreed
        = Scheduling::agreedWallOffset(this->wallOffset(now), this->peers.activeWithin(heartbeatInterval * 3, now));
    return this->storeClock.at(now) + agreed;
}

void FleetDaemon::tick()
{
    const SteadyTime now = steadyNow();
    this->peers.tick(now);
    this->configuration.tick(now);
    this->configurationRelay.tick(now);
    this->intake.tick(now);
    this->scheduler.tick(now, this->agreedWallTime(now));
    if (now >= this->nextHeartbeat)
        this->sendHeartbeats(now);
    if (now >= this->nextDoorsLog) {
        this->nextDoorsLog = now + doorsLogInterval;
        this->doors.tick();
    }
    if (this->storeRoute.probeIsDue(now))
        this->store.probeDirect(probeTimeout);
    this->runEffects();
}

void FleetDaemon::runEffects()
{
    if (this->runningEffects)
        return;
    this->runningEffects = true;
    Scheduling::Effects& scheduled = this->scheduler.pendingEffects();
    while (!this->effects.empty() || !scheduled.empty()) {
        this->execute(this->effects.empty() ? scheduled.pop() : this->effects.pop());
    }
    this->runningEffects = false;
}

void FleetDaemon::execute(Scheduling::Effect effect)
{
    using StoreRecorder = void (FleetMetrics::*)(const std::string&, Duration);
    // Records the latency of a call, passes on its result and runs the effects that the result causes.
    const auto recordThenReact = [this](auto done, StoreRecorder record, const char* kind) {
        return [this, done = std::move(done), record, kind, begin = steadyNow()](auto result) {
            (this->metrics.*record)(kind, std::chrono::duration_cast<Duration>(steadyNow() - begin));
            done(std::move(result));
            this->scheduler.react(steadyNow());
            this->runEffects();
        };
    };
    if (auto* commit = std::get_if<Scheduling::CommitCall>(&effect)) {
        commit->done = recordThenReact(std::move(commit->done), &FleetMetrics::recordStoreCall, "commit");
        this->store.commit(std::move(*commit));
    } else if (auto* read = std::get_if<Scheduling::ReadCall>(&effect)) {
        read->done = recordThenReact(std::move(read->done), &FleetMetrics::recordStoreCall, "read");
        this->store.read(std::move(*read));
    } else if (auto* watch = std::get_if<Scheduling::WatchCall>(&effect)) {
        watch->done = recordThenReact(std::move(watch->done), &FleetMetrics::recordStoreCall, "watch");
        this->store.watch(std::move(*watch));
    } else if (auto* order = std::get_if<Scheduling::ServerCall>(&effect)) {
        order->done = recordThenReact(std::move(order->done), &FleetMetrics::recordServerCall, orderKind(order->order));
        this->servers.send(std::move(*order));
    } else if (auto* advice = std::get_if<Scheduling::AdviceCall>(&effect)) {
        advice->done = recordThenReact(std::move(advice->done), &FleetMetrics::recordServerCall, "advice");
        this->services.requestAdvice(std::move(*advice));
    } else if (auto* upkeep = std::get_if<Scheduling::UpkeepCall>(&effect)) {
        upkeep->done = recordThenReact(std::move(upkeep->done), &FleetMetrics::recordServerCall, "upkeep");
        this->services.orderUpkeep(std::move(*upkeep));
    } else if (const auto* line = std::get_if<Scheduling::LogLine>(&effect)) {
        this->metrics.countEvent(line->event);
        Utils::logStructured(line->event, line->fields);
    } else if (const auto* run = std::get_if<Scheduling::RunMeasurement>(&effect)) {
        this->metrics.recordRun(*run);
    } else if (const auto* job = std::get_if<Scheduling::JobMeasurement>(&effect)) {
        this->metrics.recordJob(*job);
    }
}

Scheduling::AnswerCallback FleetDaemon::withLatencyRecorded(const char* kind, Scheduling::AnswerCallback answer)
{
    return [this, kind, answer = std::move(answer), begin = steadyNow()](const CallerAnswer& given) {
        this->metrics.recordCall(kind, given.outcome, std::chrono::duration_cast<Duration>(steadyNow() - begin));
        answer(given);
    };
}

FleetGauges FleetDaemon::gauges(SteadyTime now) const
{
    return { .configurationVersion = this->configuration.inForce() ? this->configuration.inForce()->version : 0,
        .term = this->scheduler.leadership().knownTerm(),
        .leading = this->scheduler.isActive(),
        .storeReachable = this->storeRoute.isReachable(now),
        .storeDirect = this->storeRoute.isDirect(),
        .jobs = this->scheduler.state().jobs.size(),
        .servers = this->scheduler.state().servers.size(),
        .evacuatedZones = this->scheduler.state().evacuatedZones.all().size(),
        .serversInEvacuatedZones = static_cast<std::size_t>(std::ranges::count_if(this->scheduler.state().servers,
            [this](const auto& known) { return this->scheduler.state().evacuatedZones.contains(known.second.zone); })),
        .waitingSteps = Scheduling::countWaitingSteps(this->scheduler.state()),
        .peers = this->peers.activeWithin(heartbeatInterval * 3, now).size(),
        .storeCalls = this->store.callsMade(),
        .serverCalls = this->servers.callsMade(),
        .heartbeatBytesSent = this->heartbeats.bytesSent(),
        .heartbeatBytesReceived = this->heartbeats.bytesReceived() };
}

Scheduling::CallerHandlers FleetDaemon::callerHandlers()
{
    return { .submit
        = [this](const CallerContext& context, const std::string& id, Scheduling::JobSpecification job,
              Scheduling::AnswerCallback answer) { this->submit(context, id, std::move(job), std::move(answer)); },
        .cancel = [this](const CallerContext& context, const std::string& id,
                      Scheduling::AnswerCallback answer) { this->cancel(context, id, std::move(answer)); },
        .state = [this](const CallerContext& context, const std::string& id,
                     Scheduling::AnswerCallback answer) { this->readState(context, id, std::move(answer)); } };
}

void FleetDaemon::submit(const CallerContext& context, const std::string& id, Scheduling::JobSpecification job,
    Scheduling::AnswerCallback answer)
{
    this->intake.submit(context, id, std::move(job), this->storeClock.at(steadyNow()),
        this->withLatencyRecorded("submit", std::move(answer)));
    this->runEffects();
}

void FleetDaemon::cancel(const CallerContext& context, const std::string& id, Scheduling::AnswerCallback answer)
{
    this->intake.cancel(context, id, this->withLatencyRecorded("cancel", std::move(answer)));
    this->runEffects();
}

void FleetDaemon::readState(const CallerContext& context, const std::string& id, Scheduling::AnswerCallback answer)
{
    this->intake.state(context, id, this->withLatencyRecorded("state", std::move(answer)));
    this->runEffects();
}

Scheduling::PeerHeartbeat FleetDaemon::ownHeartbeat(SteadyTime now)
{
    const Scheduling::MemberRow& self = this->peers.own();
    const bool scheduling = this->scheduler.isActive();
    return { .node = self.node,
        .zone = self.zone,
        .address = self.address,
        .heartbeatPort = self.heartbeatPort,
        .relayPort = self.relayPort,
        .incarnation = self.incarnation,
        .configurationVersion = this->configuration.inForce() ? this->configuration.inForce()->version : 0,
        .term = this->scheduler.leadership().knownTerm(),
        .leading = this->scheduler.leadership().isLeader(),
        .scheduling = scheduling,
        .leaving = this->stopping,
        .storeReachable = this->storeRoute.isDirect() && this->storeRoute.isReachable(now),
        .wallOffset = this->wallOffset(now).count(),
        .pending = scheduling ? this->scheduler.summary().pending : std::map<std::string, std::int64_t> {},
        .successes = this->scheduler.successesToReport(now),
        .processorShare = this->settings.processorShare };
}

void FleetDaemon::sendHeartbeats(SteadyTime now)
{
    const std::vector<Scheduling::MemberRow> destinations = this->peers.takeDestinations(now);
    const Duration perPeer = heartbeatIntervalPerPeer * static_cast<std::int64_t>(destinations.size());
    this->nextHeartbeat = now
        + (this->scheduler.leadership().isLeader() ? leaderHeartbeatInterval : std::max(heartbeatInterval, perPeer));
    const Scheduling::PeerHeartbeat heartbeat = this->ownHeartbeat(now);
    const std::string bytes = Scheduling::encodePeerHeartbeat(heartbeat);
    std::string previousBytes;
    for (const Scheduling::MemberRow& member : destinations) {
        this->heartbeats.send({ .address = member.address, .port = member.heartbeatPort }, bytes);
        if (!this->peers.needsPreviousVersion(member.node))
            continue;
        if (previousBytes.empty())
            previousBytes = Scheduling::encodePreviousPeerHeartbeat(heartbeat);
        this->heartbeats.send({ .address = member.address, .port = member.heartbeatPort }, previousBytes);
    }
}

void FleetDaemon::heartbeatReceived(const std::string& bytes)
{
    const std::optional<Scheduling::PeerHeartbeat> heartbeat = Scheduling::decodePeerHeartbeat(bytes);
    if (!heartbeat) {
        Utils::logStructured(Event::PeerMessageRejected, { { "bytes", bytes.size() } });
        return;
    }
    const SteadyTime now = steadyNow();
    if (!this->peers.handleHeartbeat(*heartbeat, now))
        return;
    if (heartbeat->leading && !heartbeat->leaving)
        this->scheduler.leadership().handleLeaderHeartbeat(heartbeat->node, heartbeat->term, now);
    else if (heartbeat->leaving && heartbeat->node == this->scheduler.leadership().leaderNode())
        this->scheduler.leadership().handleLeaderStepDown(heartbeat->term, now);
    this->scheduler.leadership().handlePeerHeartbeat(heartbeat->node, heartbeat->leading, heartbeat->term, now);
    this->scheduler.applySuccesses(heartbeat->successes, now);
    this->configuration.handlePeerVersion(heartbeat->configurationVersion, now);
}

void FleetDaemon::answerPending(const CallerContext& context, const Scheduling::AnswerCallback& answer)
{
    const Scheduling::Queue* queue = nullptr;
    const Scheduling::ClientAccount* account = nullptr;
    if (const std::optional<CallerAnswer> refusal = this->intake.admit(context, queue, account)) {
        answer(*refusal);
        return;
    }
    const SteadyTime now = steadyNow();
    std::map<std::string, std::int64_t> pending;
    bool known = this->scheduler.isActive();
    if (known)
        pending = this->scheduler.summary().pending;
    for (const Scheduling::Peer* peer : this->peers.activeWithin(maximumSummaryAge, now)) {
        if (known || !peer->heartbeat.scheduling || peer->heartbeat.node != this->scheduler.leadership().leaderNode())
            continue;
        known = true;
        pending = peer->heartbeat.pending;
    }
    if (!known) {
        answer({ .outcome = CallerOutcome::NotReady,
            .retryAfter = heartbeatInterval,
            .reason = "this entry host knows no active scheduler" });
        return;
    }
    const auto found = pending.find(queue->host + ' ' + queue->pathPrefix);
    answer({ .outcome = CallerOutcome::Pending, .pending = found == pending.end() ? 0 : found->second });
}

bool FleetDaemon::isReady(SteadyTime now) const
{
    return !this->stopping && this->configuration.inForce() && this->storeRoute.isReachable(now);
}

void FleetDaemon::answerRelayed(Adapters::HttpExchangeId exchange, Adapters::HttpRequest request)
{
    const auto answerPage = [this, exchange](const Scheduling::RowPage& page) {
        const Adapters::HttpHeaders fromMemory { { Platform::fromMemoryHeader, "1" } };
        if (page.rows.empty()) {
            this->relay.respond(exchange, { .headers = fromMemory, .body = Platform::encodePage(page) });
            return;
        }
        // Every daemon that the store rejects asks for the same page, which may be large.
        if (this->encodedPage.first != page.version)
            this->encodedPage = { page.version, Platform::encodePage(page) };
        this->relay.respond(exchange, { .headers = fromMemory, .body = this->encodedPage.second });
    };
    if (const auto range = Platform::decodeReadRequest(request)) {
        if (const auto page = this->configurationRelay.read(*range)) {
            answerPage(*page);
            return;
        }
    }
    const auto watch = Platform::decodeWatchRequest(request);
    if (watch && this->configurationRelay.watches(watch->table)) {
        this->configurationRelay.watch(watch->after, steadyNow() + watch->wait, answerPage);
        return;
    }
    if (!this->storeRoute.isDirect()) { // surely not done, and the other daemon learns it at once
        this->relay.respond(exchange, { .status = Utils::HttpStatus::unavailable });
        return;
    }
    this->store.forward(std::move(request),
        [this, exchange](Adapters::HttpResponse response) { this->relay.respond(exchange, std::move(response)); });
}

void FleetDaemon::answerReadiness(Adapters::HttpExchangeId exchange, const Adapters::HttpRequest& request)
{
    const bool isReadinessPath = request.path == Platform::Wire::readyPath;
    this->readiness.respond(exchange,
        { .status = !isReadinessPath         ? Utils::HttpStatus::notFound
                : this->isReady(steadyNow()) ? Utils::HttpStatus::ok
                                             : Utils::HttpStatus::unavailable });
}

void FleetDaemon::reloadSettings()
{
    const auto text = readTextFile(this->settingsPath);
    const auto* read = std::get_if<std::string>(&text);
    const auto parsed = parseFleetSettings(read ? *read : std::string());
    if (const auto* faults = std::get_if<Utils::JsonFaults>(&parsed)) {
        Utils::logStructured(Event::SettingsInvalid, { { "faults", Utils::formatFaults(*faults) } });
        return;
    }
    Utils::logStructured(Event::SettingsReloaded, { { "path", this->settingsPath } });
}

void FleetDaemon::beginStop()
{
    if (this->stopping)
        return;
    const SteadyTime now = steadyNow();
    this->stopping = true;
    this->stopBegan = now;
    Utils::logStructured(Event::DaemonStopping, { { "openCalls", this->callers.openCalls() } });
    this->callers.closeConnectionsAfterResponses();
    this->scheduler.releaseLeadership([this]() {
        this->leadershipReleased = true;
        this->sendHeartbeats(steadyNow());
    });
    this->scheduler.react(now);
    this->runEffects();
    this->loop.after(exitCheckInterval, [this]() { this->exitWhenIdle(); });
}

void FleetDaemon::exitWhenIdle()
{
    const SteadyTime now = steadyNow();
    const bool noticePeriodOver = now - this->stopBegan > stopNotice;
    const bool released = this->leadershipReleased || !this->scheduler.leadership().isLeader();
    if (noticePeriodOver && released && this->callers.openCalls() == 0) {
        this->loop.stop();
        return;
    }
    if (now - this->stopBegan > this->settings.stopBound - stopReserve) {
        this->intake.stop();
        this->store.refuseWaiting();
        this->runEffects();
        this->callers.answerOpenCalls();
        this->loop.after(exitCheckInterval, [this]() { this->loop.stop(); });
        return;
    }
    this->loop.after(exitCheckInterval, [this]() { this->exitWhenIdle(); });
}

} // namespace WisteriaHill::App
