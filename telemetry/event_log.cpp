// Structured logging: one line of key=value pairs for each event. Built on log4cxx.
#include "telemetry/event_log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace parsleyloft {

namespace {

// Capacity of the event queue, about one megabyte of log lines.
constexpr int maxQueuedEvents = 4096;

auto toLog4cxxLevel(log_level level) -> log4cxx::LevelPtr
{
    switch (level) {
    case log_level::Trace:
        return log4cxx::Level::getTrace();
    case log_level::Debug:
        return log4cxx::Level::getDebug();
    case log_level::Info:
        return log4cxx::Level::getInfo();
    case log_level::Warn:
        return log4cxx::Level::getWarn();
    case log_level::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

// Quotes a value if necessary. Line breaks become spaces.
auto quoteIfNeeded(const std::string &value) -> std::string
{
    if (!value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos)
        return value;
    std::string text = "\"";
    for (const auto character : value) {
        if (character == '"' || character == '\\')
            text += '\\';
        text += character == '\n' ? ' ' : character;
    }
    return text + "\"";
}

} // namespace

auto startLog(log_level minLevel, const std::string &host, log_target target) -> void
{
    const auto pattern = "time=%d{ISO8601} level=%p host=" + host + " %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(
            layout,
            target == log_target::StandardOutput ? log4cxx::ConsoleAppender::getSystemOut()
                                                 : log4cxx::ConsoleAppender::getSystemErr());
    const auto appender = std::make_shared<log4cxx::AsyncAppender>();
    appender->setBufferSize(maxQueuedEvents);
    appender->setBlocking(false);
    appender->addAppender(console);
    const auto root = log4cxx::Logger::getRootLogger();
    root->addAppender(appender);
    setLogLevel(minLevel);
}

auto setLogLevel(log_level minLevel) -> void
{
    log4cxx::Logger::getRootLogger()->setLevel(toLog4cxxLevel(minLevel));
}

auto stopLog() -> void
{
    log4cxx::Logger::getRootLogger()->removeAllAppenders();
}

auto isLogLevelEnabled(log_level level) -> bool
{
    return log4cxx::Logger::getRootLogger()->isEnabledFor(toLog4cxxLevel(level));
}

auto logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
        -> void
{
    const auto root = log4cxx::Logger::getRootLogger();
    const auto libraryLevel = toLog4cxxLevel(level);
    if (!root->isEnabledFor(libraryLevel))
        return;
    auto line = "event=" + std::string(event);
    for (const auto &field : fields)
        line += " " + std::string(field.key) + "=" + quoteIfNeeded(field.value);
    root->log(libraryLevel, line);
}

} // namespace parsleyloft
