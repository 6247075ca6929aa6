// Structured logs: one line of key=value pairs for each event, by log4cxx.
#include "telemetry/event_log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace parsleyloft {

namespace {

// Events that wait for a slow reader: about a megabyte of lines.
constexpr int queuedEvents = 4096;

auto toLibrary(log_level level) -> log4cxx::LevelPtr
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

auto quoted(const std::string &value) -> std::string
{
    if (!value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos)
        return value;
    std::string text = "\"";
    for (const auto one : value) {
        if (one == '"' || one == '\\')
            text += '\\';
        text += one == '\n' ? ' ' : one;
    }
    return text + "\"";
}

} // namespace

auto startLog(log_level least, const std::string &host, log_target target) -> void
{
    const auto pattern = "time=%d{ISO8601} level=%p host=" + host + " %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(
            layout,
            target == log_target::StandardOutput ? log4cxx::ConsoleAppender::getSystemOut()
                                                 : log4cxx::ConsoleAppender::getSystemErr());
    const auto appender = std::make_shared<log4cxx::AsyncAppender>();
    appender->setBufferSize(queuedEvents);
    appender->setBlocking(false);
    appender->addAppender(console);
    const auto root = log4cxx::Logger::getRootLogger();
    root->addAppender(appender);
    setLogLevel(least);
}

auto setLogLevel(log_level least) -> void
{
    log4cxx::Logger::getRootLogger()->setLevel(toLibrary(least));
}

auto stopLog() -> void
{
    log4cxx::Logger::getRootLogger()->removeAllAppenders();
}

auto isLogLevelEnabled(log_level level) -> bool
{
    return log4cxx::Logger::getRootLogger()->isEnabledFor(toLibrary(level));
}

auto logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
        -> void
{
    const auto root = log4cxx::Logger::getRootLogger();
    const auto wanted = toLibrary(level);
    if (!root->isEnabledFor(wanted))
        return;
    auto line = "event=" + std::string(event);
    for (const auto &field : fields)
        line += " " + std::string(field.key) + "=" + quoted(field.value);
    root->log(wanted, line);
}

} // namespace parsleyloft
