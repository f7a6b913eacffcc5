#include "utils/eventlog.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>

namespace WisteriaHill::Utils {

namespace {

log4cplus::LogLevel threshold(const std::string& level)
{
    if (level == "error")
        return log4cplus::ERROR_LOG_LEVEL;
    if (level == "warning")
        return log4cplus::WARN_LOG_LEVEL;
    return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::LogLevel levelOf(EventLevel level)
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

} // namespace

void initialiseEventLog(const EventLogOptions& options)
{
    static const log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    const std::string pattern = "%D{%Y-%m-%dT%H:%M:%S.%q} " + options.processName + " %-5p %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(threshold(options.level));
}

void logEvent(Event event, const std::string& details)
{
    const EventDescription& description = describeEvent(event);
    const std::string line
        = "E" + std::to_string(static_cast<int>(event)) + " " + std::string(description.name) + ": " + details;
    log4cplus::Logger::getRoot().log(levelOf(description.level), line);
}

} // namespace WisteriaHill::Utils
