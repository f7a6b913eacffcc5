/// Which speed of server a waiting step is placed on. Pure: no clock, no input or output. Thread safety: none.
#pragma once

#include "scheduling/estimates/serverspeeds.h"
#include "scheduling/placement.h"

#include <cstddef>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling::Placement {

using Estimates::SpeedClass;

/// What is known of one server's speed.
struct ServerSpeed {
    double slowness = 1; ///< compared with a typical server of the service
    SpeedClass speedClass = SpeedClass::Unknown;
};

/// Speeds of the servers of one service. `differ` is false as long as they are not proved to be uneven; then nothing is
/// placed or forecast by speed.
struct SpeedSpread {
    bool differ = false;
    double fast = 1; ///< mean slowness of the servers known as fast; 1 when none is
    double slow = 1; ///< mean slowness of the servers known as slow; 1 when none is
    std::size_t fastServers = 0;
    std::size_t slowServers = 0;

    void add(const ServerSpeed& server);
};

/// What a waiting step asks of its servers' speed.
struct SpeedNeed {
    SpeedPreference preference = SpeedPreference::None;
    /// How many times as long as on a typical server the rest of the job may take and still end within its objective;
    /// 0 while the servers of the service are not proved to differ.
    double bearable = 0;
};

/// The inputs of speedNeedOf() that describe the step.
struct SpeedDemand {
    bool ordinary = true; ///< not of priority 0
    bool single = true; ///< its tasks do not end together
    Duration timeLeft { 0 }; ///< until the objective, when the step starts now
    Duration expected { 0 }; ///< of the rest of the job, on typical servers
};

/// Answers the load of a service with uneven servers and more than one class of work. Work that misses its objective on
/// a slow server takes known fast servers first, then unknown ones. Ordinary work that bears slow servers, or that is
/// late on fast ones too, leaves the fast ones to others; its single tasks go to unknown servers, so that their speed
/// becomes known. Only steers: no step waits for a server because of its speed.
SpeedNeed speedNeedOf(const SpeedDemand& demand, const SpeedSpread& spread);

/// Name of a preference, for logs.
std::string speedPreferenceName(SpeedPreference preference);

} // namespace WisteriaHill::Scheduling::Placement
