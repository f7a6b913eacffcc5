/// Writes numbered events through log4cplus.
#pragma once

#include "utils/eventcatalogue.h"

#include <string>

namespace WisteriaHill::Utils {

struct EventLogOptions {
    std::string processName; ///< stands in every line
    std::string level = "information"; ///< information, warning or error
};

/// Sets up logging to standard error. Call once, before the first logEvent.
void initialiseEventLog(const EventLogOptions& options);

/// Writes "E<number> <name>: <details>". Thread safety: as log4cplus, any thread.
void logEvent(Event event, const std::string& details);

} // namespace WisteriaHill::Utils
