/// The daemon process around Controllers::DaemonCore: the core and its network links on one event loop. FleetDaemon is
/// the daemon around the controllers of src/libs/scheduling; the settings select one of the two.
#pragma once

#include "adapters/backendclient.h"
#include "adapters/daemonrunner.h"
#include "adapters/eventloop.h"
#include "adapters/heartbeatlink.h"
#include "adapters/httpapi.h"
#include "adapters/peerlink.h"
#include "adapters/platformclient.h"
#include "app/daemonsettings.h"
#include "controllers/daemoncore.h"

namespace WisteriaHill::App {

/// Thread safety: none, except for the termination signal.
class Daemon {
public:
    /// Starts to listen on all addresses; throws std::runtime_error when that fails for one of them.
    explicit Daemon(const DaemonSettings& settings);

    /// Serves until a termination signal, then stops gracefully and returns.
    void run();

private:
    /// Sends heartbeats and requests to other daemons for DaemonRunner.
    struct PeerTransport {
        Adapters::HeartbeatLink& heartbeats;
        Adapters::PeerLink& peerLink;

        void sendHeartbeat(const Model::PeerAddress& to, const Model::Heartbeat& heartbeat)
        {
            this->heartbeats.send(to, heartbeat);
        }
        void call(const Model::PeerAddress& to, const Model::PeerRequest& request, Utils::Duration timeout,
            std::function<void(Controllers::PeerResult)> done)
        {
            this->peerLink.call(to, request, timeout, std::move(done));
        }
    };

    /// Responds to callers, writes the log and ends the process for DaemonRunner.
    struct FrontEnd {
        Adapters::HttpApi& api;
        Daemon& daemon;

        void answer(const Controllers::AnswerCaller& effect) { this->api.answer(effect); }
        void answer(const Controllers::AnswerDocument& effect) { this->api.answer(effect); }
        void log(const Controllers::LogEvent& effect);
        void exitProcess();
    };
    using Runner = Adapters::DaemonRunner<Adapters::PlatformClient, Adapters::BackendClient, PeerTransport, FrontEnd,
        Utils::SystemClock>;

    /// Runs `action` on the core and carries out the effects that it causes.
    void input(const std::function<void(Controllers::DaemonCore&, Utils::SteadyTime)>& action);
    void rejectPeerBytes(std::size_t bytes);
    void exitWhenResponsesWritten();

    Adapters::EventLoop loop;
    Controllers::DaemonCore core;
    Adapters::HttpClient client;
    Adapters::PlatformClient platform;
    Adapters::BackendClient backend;
    Adapters::HeartbeatLink heartbeats;
    Adapters::PeerLink peerLink;
    Adapters::HttpApi api;
    PeerTransport peerTransport;
    FrontEnd frontEnd;
    Utils::SystemClock clock;
    Runner runner;
};

} // namespace WisteriaHill::App
