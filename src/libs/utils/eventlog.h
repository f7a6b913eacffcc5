/// Writes numbered events through log4cplus.
#pragma once

#include "utils/eventcatalogue.h"

#include <nlohmann/json.hpp>
#include <string>

namespace WisteriaHill::Utils {

struct EventLogOptions {
    std::string processName; ///< stands in every line
    std::string level = "information"; ///< information, warning or error
    bool structured = false; ///< one JSON object a line on standard output, for logStructured()
};

/// Sets up logging to standard error. Call once, before the first logEvent.
void initialiseEventLog(const EventLogOptions& options);

/// Writes "E<number> <name>: <details>". Thread safety: as log4cplus, any thread.
void logEvent(Event event, const std::string& details);

/// Writes one JSON object: the time, the process, the event's number and name, and `fields`. Lines of one event beyond
/// a rate are left out and counted; the count follows as LogLinesDropped. Never blocks: a line that standard output
/// does not take at once is dropped and counted. Precondition: `structured` was set. Thread safety: the loop's thread
/// only.
void logStructured(Event event, const nlohmann::json& fields);

/// Lines that were left out since the start.
std::uint64_t droppedLogLines();

} // namespace WisteriaHill::Utils
