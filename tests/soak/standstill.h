/// Jobs that stand still although servers have room for them.
#pragma once

#include "soak/history.h"

namespace WisteriaHill::Soak {

struct Standstills {
    std::vector<std::string> findings; ///< one line for each that is longer than allowed
    Duration longest { 0 };
};

/// Judges the time from 14 s after the end of the traffic on. A job may have nothing running for 3 s at most while the
/// turn of one of its tasks has come, servers have room for it twice over, and less than half of their capacity is in
/// use; a gang is one task here. A task that lasts may be without a run for 6 s at most, whether others of its job run
/// or not, and however much capacity is in use.
Standstills findStandstills(const History& history);

} // namespace WisteriaHill::Soak
