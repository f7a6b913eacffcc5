/// Settings of a daemon of the fleet (docs/SETTINGS.md).
#pragma once

#include "utils/checkedjson.h"
#include "utils/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace WisteriaHill::App {

/// An IP number and a port, written "10.0.0.1:8080".
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;
};

struct FleetSettings {
    std::string node; ///< unique name of this entry host
    std::string zone; ///< its availability zone
    std::string address; ///< its IP number
    Endpoint callers; ///< listens for clients
    Endpoint readiness; ///< listens for the balancer's question
    Endpoint relay; ///< listens for store calls of other daemons
    Endpoint metrics; ///< listens for questions of operators: metrics, dump, explanations
    std::uint16_t heartbeatPort = 0; ///< UDP
    Endpoint store; ///< of the state store
    Endpoint advisor; ///< of placement advice; port 0 when there is none
    Endpoint machines; ///< of the machines' service; port 0 when there is none
    Utils::Duration maximumLease { 0 }; ///< longest lease that backend servers grant
    Utils::Duration stopTime { 0 }; ///< longest time that stopping a run takes
    Utils::Duration upkeepTime { 0 }; ///< time that a machine's upkeep takes
    double processorShare = 1; ///< of a core, that this host has; better hosts schedule first
    Utils::Duration stopBound { 0 }; ///< time from SIGTERM until the process is killed
    std::string logLevel;
};

/// True when the document is meant for a daemon of the fleet.
bool isFleetSettings(std::string_view text);

/// Reads JSON with comments; reports every fault with its path.
Utils::Result<FleetSettings, Utils::JsonFaults> parseFleetSettings(std::string_view text);

} // namespace WisteriaHill::App
