// Structured logging: one line of key=value pairs for each event. Built on log4cxx.
#pragma once

#include "core/error.h"
#include "core/names.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace parsleyloft {

enum class log_level { Trace, Debug, Info, Warn, Error };

inline constexpr name_table<log_level, 5> logLevelNames{{
        {log_level::Trace, "trace"},
        {log_level::Debug, "debug"},
        {log_level::Info, "info"},
        {log_level::Warn, "warn"},
        {log_level::Error, "error"},
}};

struct log_field
{
    std::string_view key;
    std::string value;
};

enum class log_target { StandardError, StandardOutput };

inline constexpr name_table<log_target, 2> logTargetNames{{
        {log_target::StandardError, "standard_error"},
        {log_target::StandardOutput, "standard_output"},
}};

// Starts writing events of at least the given level. Events pass through a bounded queue, so that
// a target that is read slowly never blocks a worker: events are dropped while the queue is full,
// and a log line reports how many.
auto startLog(log_level minLevel, const std::string &host,
              log_target target = log_target::StandardError) -> void;

auto setLogLevel(log_level minLevel) -> void;

// Flushes the queued events. Called before the process exits.
auto stopLog() -> void;

auto isLogLevelEnabled(log_level level) -> bool;

// Writes one event. Values are quoted if they are empty or contain spaces, tabs, line breaks,
// quotes or equals signs.
auto logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
        -> void;

} // namespace parsleyloft
