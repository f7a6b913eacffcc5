#include "utils/eventlog.h"
#include "utils/steadytime.h"

#include <chrono>
#include <fcntl.h>
#include <iostream>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <map>
#include <memory>
#include <unistd.h>
#include <utility>

namespace WisteriaHill::Utils {

namespace {

log4cplus::LogLevel log4cplusThreshold(const std::string& level)
{
    if (level == "error")
        return log4cplus::ERROR_LOG_LEVEL;
    if (level == "warning")
        return log4cplus::WARN_LOG_LEVEL;
    return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::LogLevel log4cplusLevel(EventLevel level)
{
    switch (level) {
    case EventLevel::Information:
        return log4cplus::INFO_LOG_LEVEL;
    case EventLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case EventLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

/// Maximum number of lines of one event per rate interval. A busy scheduler places about 200 runs per second.
constexpr int linesPerInterval = 200;
constexpr std::chrono::seconds rateInterval { 1 };

struct EventRate {
    std::chrono::steady_clock::time_point intervalStart {};
    int written = 0;
    std::uint64_t dropped = 0;
};

struct StructuredLog {
    std::string processName;
    std::map<Event, EventRate> rates;
    std::uint64_t dropped = 0;
};

StructuredLog& structuredLog()
{
    static StructuredLog log;
    return log;
}

void writeStructured(Event event, nlohmann::json fields)
{
    const EventDescription& description = describeEvent(event);
    const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
    fields["event"] = static_cast<int>(event);
    fields["name"] = description.name;
    fields["node"] = structuredLog().processName;
    fields["wallMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(wallClock).count();
    const std::string line = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    log4cplus::Logger::getRoot().log(log4cplusLevel(description.level), line);
    if (!std::cout) {
        std::cout.clear();
        ++structuredLog().dropped;
    }
}

} // namespace

void initialiseEventLog(const EventLogOptions& options)
{
    static const log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(!options.structured, true));
    const std::string pattern
        = options.structured ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%q} " + options.processName + " %-5p %m%n";
    structuredLog().processName = options.processName;
    if (options.structured)
        ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(log4cplusThreshold(options.level));
}

void logEvent(Event event, const std::string& details)
{
    const EventDescription& description = describeEvent(event);
    const std::string line
        = "E" + std::to_string(static_cast<int>(event)) + " " + std::string(description.name) + ": " + details;
    log4cplus::Logger::getRoot().log(log4cplusLevel(description.level), line);
}

void logStructured(Event event, const nlohmann::json& fields)
{
    const SteadyTime now = steadyNow();
    EventRate& rate = structuredLog().rates[event];
    if (now - rate.intervalStart > rateInterval) {
        const std::uint64_t dropped = std::exchange(rate.dropped, 0);
        rate.intervalStart = now;
        rate.written = 0;
        if (dropped > 0)
            writeStructured(
                Event::LogLinesDropped, { { "droppedEvent", static_cast<int>(event) }, { "count", dropped } });
    }
    if (rate.written >= linesPerInterval) {
        ++rate.dropped;
        ++structuredLog().dropped;
        return;
    }
    ++rate.written;
    writeStructured(event, fields);
}

std::uint64_t droppedLogLines() { return structuredLog().dropped; }

} // namespace WisteriaHill::Utils
