#include "app/daemon.h"

#include "utils/eventlog.h"
#include "utils/randomsource.h"

#include <chrono>

namespace WisteriaHill::App {

namespace {

using Controllers::DaemonCore;
using Utils::Duration;
using Utils::SteadyTime;

constexpr Duration tickInterval { 20 };
constexpr Duration exitCheckInterval { 20 };
constexpr Duration lateRequestWindow { 200 };

/// Combines the start time with 20 random bits. Hosts have no disk to record their last incarnation; this makes a
/// repetition very unlikely.
Model::Incarnation newIncarnation()
{
    const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
    const auto startedMs = std::chrono::duration_cast<Duration>(wallClock).count();
    return (static_cast<std::uint64_t>(startedMs) << 20U) ^ (Utils::systemRandom() & 0xfffffU);
}

Controllers::CoreOptions coreOptions(const DaemonSettings& settings)
{
    return { .identity
        = { .host = settings.host, .zone = settings.zone, .incarnation = newIncarnation(), .address = settings.peers },
        .seed = Utils::systemRandom(),
        .seeds = settings.seeds,
        .bootstrapTeam = settings.bootstrapTeam,
        .bootstrapCredentialSha256 = settings.bootstrapCredentialSha256,
        .stopNotice = settings.stopNotice,
        .stopBound = settings.stopBound };
}

} // namespace

Daemon::Daemon(const DaemonSettings& settings)
    : core(coreOptions(settings))
    , client(this->loop)
    , platform(this->client, settings.platform)
    , backend(this->client)
    , heartbeats(
          this->loop, settings.peers,
          [this](const Model::Heartbeat& heartbeat) {
              this->input([&](DaemonCore& daemon, SteadyTime now) { daemon.heartbeatReceived(heartbeat, now); });
          },
          [this](std::size_t bytes) { this->rejectPeerBytes(bytes); })
    , peerLink(
          this->loop, this->client, settings.peers,
          [this](const Model::PeerRequest& request) {
              Model::PeerReply reply;
              this->input([&](DaemonCore& daemon, SteadyTime now) { reply = daemon.answerPeer(request, now); });
              return reply;
          },
          [this](std::size_t bytes) { this->rejectPeerBytes(bytes); })
    , api(this->loop, { .address = settings.callers.address, .port = settings.callers.port }, this->core,
          [this](const std::function<void(DaemonCore&, SteadyTime)>& action) { this->input(action); })
    , peerTransport { this->heartbeats, this->peerLink }
    , frontEnd { this->api, *this }
    , runner(this->core, { this->platform, this->backend, this->peerTransport, this->frontEnd, this->clock })
{
    Utils::logEvent(Utils::Event::DaemonStarted,
        settings.host.value() + " in " + settings.zone.value() + ", callers " + settings.callers.address + ":"
            + std::to_string(settings.callers.port));
}

void Daemon::input(const std::function<void(DaemonCore&, SteadyTime)>& action) { this->runner.input(action); }

void Daemon::rejectPeerBytes(std::size_t bytes)
{
    Utils::logEvent(Utils::Event::PeerMessageRejected, std::to_string(bytes) + " bytes");
}

void Daemon::FrontEnd::log(const Controllers::LogEvent& effect) { Utils::logEvent(effect.event, effect.details); }

void Daemon::FrontEnd::exitProcess()
{
    this->api.closeConnectionsAfterResponses();
    // Requests that are already on their way are still served.
    Daemon& stopping = this->daemon;
    stopping.loop.after(lateRequestWindow, [&stopping]() { stopping.exitWhenResponsesWritten(); });
}

void Daemon::exitWhenResponsesWritten()
{
    if (this->api.openExchanges() == 0) {
        this->loop.stop();
        return;
    }
    this->loop.after(exitCheckInterval, [this]() { this->exitWhenResponsesWritten(); });
}

void Daemon::run()
{
    this->loop.every(
        tickInterval, [this]() { this->input([](DaemonCore& daemon, SteadyTime now) { daemon.tick(now); }); });
    this->loop.onTerminationSignal(
        [this]() { this->input([](DaemonCore& daemon, SteadyTime now) { daemon.beginStop(now); }); });
    this->loop.run();
}

} // namespace WisteriaHill::App
