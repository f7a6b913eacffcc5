/// Writes numbered events through log4cplus.
#pragma once

#include "utils/eventcatalogue.h"

#include <nlohmann/json.hpp>
#include <string>

namespace WisteriaHill::Utils {

struct EventLogOptions {
    std::string processName; ///< written to every line
    std::string level = "information"; ///< lowest level that is written: information, warning or error
    bool structured = false; ///< write one JSON object per line to standard output, for logStructured()
};

/// Sets up logging to standard error, or to standard output when `structured` is set. Call it once, before the first
/// event is logged.
void initialiseEventLog(const EventLogOptions& options);

/// Writes "E<number> <name>: <details>". May be called from any thread.
void logEvent(Event event, const std::string& details);

/// Writes one JSON object: the time, the process, the event's number and name, and `fields`. At most 200 lines of one
/// event are written per second; the others are dropped and counted, and LogLinesDropped reports their number later.
/// Never blocks: a line that standard output does not accept at once is dropped and counted. Precondition: `structured`
/// was set. Thread safety: only on the event loop's thread.
void logStructured(Event event, const nlohmann::json& fields);

/// Returns the number of lines that were dropped since the start. Thread safety: only on the event loop's thread.
std::uint64_t droppedLogLines();

} // namespace WisteriaHill::Utils
