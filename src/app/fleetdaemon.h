/// The daemon around the controllers of src/libs/scheduling: it connects them with the platform's clients and the event
/// loop.
#pragma once

#include "adapters/datagramlink.h"
#include "adapters/eventloop.h"
#include "adapters/httpserver.h"
#include "app/doors.h"
#include "app/fleetapi.h"
#include "app/fleetmetrics.h"
#include "app/fleetsettings.h"
#include "platform/callerapi.h"
#include "platform/serverclient.h"
#include "platform/serviceclient.h"
#include "platform/storeclient.h"
#include "scheduling/configurationfollower.h"
#include "scheduling/configurationrelay.h"
#include "scheduling/intake.h"
#include "scheduling/peers.h"
#include "scheduling/scheduler.h"
#include "scheduling/storeclock.h"
#include "scheduling/storeroute.h"

#include <string>

namespace WisteriaHill::App {

/// Thread safety: none; everything runs on the loop's thread.
class FleetDaemon {
public:
    /// Starts to listen; throws std::runtime_error when that fails for an address. On SIGHUP the file at `settingsPath`
    /// is read and checked again; changed values take effect only in a new process.
    FleetDaemon(const FleetSettings& settings, std::string settingsPath);
    FleetDaemon(const FleetDaemon&) = delete;
    FleetDaemon& operator=(const FleetDaemon&) = delete;

    /// Serves until a graceful stop is complete. Returns false when an unexpected error caused the stop.
    bool run();

private:
    using SteadyTime = Utils::SteadyTime;

    void tick();
    void runEffects();
    void execute(Scheduling::Effect effect);
    void sendHeartbeats(SteadyTime now);
    Scheduling::PeerHeartbeat ownHeartbeat(SteadyTime now);
    void heartbeatReceived(const std::string& bytes);
    void answerPending(const Scheduling::CallerContext& context, const Scheduling::AnswerCallback& answer);
    /// Answers another daemon's call to the store, from memory where possible.
    void answerRelayed(Adapters::HttpExchangeId exchange, Adapters::HttpRequest request);
    void answerReadiness(Adapters::HttpExchangeId exchange, const Adapters::HttpRequest& request);
    /// Handlers of job calls, shared by the two HTTP interfaces.
    Scheduling::CallerHandlers callerHandlers();
    void submit(const Scheduling::CallerContext& context, const std::string& id, Scheduling::JobSpecification job,
        Scheduling::AnswerCallback answer);
    void cancel(const Scheduling::CallerContext& context, const std::string& id, Scheduling::AnswerCallback answer);
    void readState(const Scheduling::CallerContext& context, const std::string& id, Scheduling::AnswerCallback answer);
    FleetGauges gauges(SteadyTime now) const;
    /// Wraps `answer` so that a call records its outcome and latency under `kind`.
    Scheduling::AnswerCallback withLatencyRecorded(const char* kind, Scheduling::AnswerCallback answer);
    bool isReady(SteadyTime now) const;
    void beginStop();
    void handleUnexpectedError(const std::exception& error);
    void exitWhenIdle();
    void reloadSettings();
    Scheduling::WallTime agreedWallTime(SteadyTime now) const;
    Utils::Duration wallOffset(SteadyTime now) const;

    FleetSettings settings;
    std::string settingsPath;
    Adapters::EventLoop loop;
    FleetMetrics metrics;
    Doors doors;
    Scheduling::Effects effects;
    Scheduling::StoreClock storeClock;
    Scheduling::PeerDirectory peers;
    Scheduling::StoreRoute storeRoute;
    Scheduling::ConfigurationFollower configuration;
    Scheduling::ConfigurationRelay configurationRelay;
    std::pair<Scheduling::RowVersion, std::string> encodedPage; ///< newest page of configurationRelay, by version
    Scheduling::Intake intake;
    Scheduling::Scheduler scheduler;
    Platform::StoreClient store;
    Platform::ServerClient servers;
    Platform::ServiceClient services;
    Adapters::DatagramLink heartbeats;
    Platform::CallerApi callers;
    Adapters::HttpServer readiness;
    Adapters::HttpServer relay;
    FleetApi operatorApi;
    SteadyTime nextHeartbeat {};
    SteadyTime nextDoorsLog {};
    SteadyTime stopBegan {};
    bool stopping = false;
    bool leadershipReleased = false; ///< set during a stop; a follower sets it at once
    bool runningEffects = false;
    bool failed = false; ///< an unexpected error caused the stop
};

} // namespace WisteriaHill::App
