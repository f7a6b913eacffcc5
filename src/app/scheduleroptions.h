/// Options of the scheduler in a daemon of the fleet.
#pragma once

#include "app/fleetsettings.h"
#include "scheduling/scheduler.h"

#include <cstdint>

namespace WisteriaHill::App {

/// The scheduler's options as the settings and the platform's names make them. `incarnation` is that of this process.
Scheduling::SchedulerOptions schedulerOptions(const FleetSettings& settings, std::uint64_t incarnation);

} // namespace WisteriaHill::App
