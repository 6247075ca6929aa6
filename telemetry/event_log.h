// Structured logs: one line of key=value pairs for each event, by log4cxx.
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

// Writes events of the level and above from now on. A bounded queue stands between the
// workers and the target: when the reader stalls, events are dropped, never waited for, and
// a line tells how many.
auto startLog(log_level least, const std::string &host,
              log_target target = log_target::StandardError) -> void;

auto setLogLevel(log_level least) -> void;

// Writes what is queued. Called before the process ends.
auto stopLog() -> void;

auto isLogLevelEnabled(log_level level) -> bool;

// Writes one event. Values with spaces or quotes are quoted.
auto logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
        -> void;

} // namespace parsleyloft
