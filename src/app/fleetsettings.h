/// Settings of a FleetDaemon, the member "fleet" of the settings file (docs/SETTINGS.md).
#pragma once

#include "utils/checkedjson.h"
#include "utils/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace WisteriaHill::App {

/// An IPv4 address and a port, written "10.0.0.1:8080".
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;
};

struct FleetSettings {
    std::string node; ///< unique name of this entry host
    std::string zone; ///< its availability zone
    std::string address; ///< its IPv4 address
    Endpoint callers; ///< listens for clients
    Endpoint readiness; ///< listens for the balancer's readiness polls
    Endpoint relay; ///< listens for store calls of other daemons
    Endpoint metrics; ///< listens for the product's own interface: metrics, dump, jobs, explanations
    std::uint16_t heartbeatPort = 0; ///< UDP; where other daemons send heartbeats, at `address`
    Endpoint heartbeats; ///< receives and sends heartbeats; `address` and `heartbeatPort` unless they are translated
    Endpoint store; ///< of the state store
    Endpoint advisor; ///< of the placement advice service; port 0 when there is none
    Endpoint machines; ///< of the machine service; port 0 when there is none
    Utils::Duration maximumLease { 0 }; ///< longest lease that backend servers grant
    Utils::Duration stopTime { 0 }; ///< longest time that stopping a run takes
    Utils::Duration gangPatience { 0 }; ///< how long a server lets a gang member wait for the other members
    Utils::Duration jobRetention { 0 }; ///< how long clients may ask for the state of a job that has ended
    Utils::Duration evacuationBound { 0 }; ///< nothing may start in a zone so long after its evacuation; 0 for none
    Utils::Duration upkeepTime { 0 }; ///< time that a machine's upkeep takes
    double processorShare = 1; ///< in cores; up to 1, a larger share makes the host a candidate earlier
    Utils::Duration stopBound { 0 }; ///< time from SIGTERM until the process is killed
    double memoryMb = 256; ///< memory that this process may use
    double descriptors = 4096; ///< files that it may have open, with its connections
    std::size_t connectionsPerAddress = 0; ///< of clients; zero for no limit of its own
    std::string logLevel; ///< information, warning or error
};

/// True when the text is a JSON object with the member "fleet".
bool isFleetSettings(std::string_view text);

/// Parses and checks JSON with comments; on failure returns every fault with its path.
Utils::Result<FleetSettings, Utils::JsonFaults> parseFleetSettings(std::string_view text);

} // namespace WisteriaHill::App
