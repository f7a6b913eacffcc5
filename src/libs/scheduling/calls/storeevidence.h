/// What a daemon knows of the state store when it decides about a client's call.
#pragma once

#include "utils/steadytime.h"

namespace WisteriaHill::Scheduling::Calls {

using Utils::Duration;

/// Taken from the results of this daemon's calls on all routes to the store.
struct StoreEvidence {
    bool failing = false; ///< all routes have failed for a while
    int failures = 0; ///< calls that failed since the last read or commit that was answered
    Duration outage { 0 }; ///< since the first of these failures
    Duration silence { 0 }; ///< since the last answered read or commit; zero before the first one
};

} // namespace WisteriaHill::Scheduling::Calls
