/// The daemon process: the core and its links on one event loop.
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

/// Thread safety: none, but for the signal that ends it.
class Daemon {
public:
    /// Listens on all addresses; throws std::runtime_error when one can't be had.
    explicit Daemon(const DaemonSettings& settings);

    /// Serves until a termination signal, then stops gracefully and returns.
    void run();

private:
    /// Heartbeats and questions to other daemons, as DaemonRunner wants them.
    struct Peers {
        Adapters::HeartbeatLink& heartbeats;
        Adapters::PeerLink& questions;

        void sendHeartbeat(const Model::PeerAddress& to, const Model::Heartbeat& heartbeat)
        {
            this->heartbeats.send(to, heartbeat);
        }
        void call(const Model::PeerAddress& to, const Model::PeerRequest& question, Utils::Duration timeout,
            std::function<void(Controllers::PeerResult)> done)
        {
            this->questions.call(to, question, timeout, std::move(done));
        }
    };

    /// Callers, log and process end, as DaemonRunner wants them.
    struct Front {
        Adapters::HttpApi& api;
        Daemon& daemon;

        void answer(const Controllers::AnswerCaller& effect) { this->api.answer(effect); }
        void answer(const Controllers::AnswerDocument& effect) { this->api.answer(effect); }
        void log(const Controllers::LogEvent& effect);
        void exitProcess();
    };
    using Runner
        = Adapters::DaemonRunner<Adapters::PlatformClient, Adapters::BackendClient, Peers, Front, Utils::SystemClock>;

    void input(const std::function<void(Controllers::DaemonCore&, Utils::SteadyTime)>& give);
    void rejectPeerBytes(std::size_t bytes);
    void exitWhenWritten();

    Adapters::EventLoop loop;
    Controllers::DaemonCore core;
    Adapters::HttpClient client;
    Adapters::PlatformClient platform;
    Adapters::BackendClient backend;
    Adapters::HeartbeatLink heartbeats;
    Adapters::PeerLink questions;
    Adapters::HttpApi api;
    Peers peers;
    Front front;
    Utils::SystemClock clock;
    Runner runner;
};

} // namespace WisteriaHill::App
