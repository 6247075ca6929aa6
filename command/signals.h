// Waiting for the signals that stop a program or make it reload its settings.
#pragma once

#include "core/names.h"
#include "core/time.h"

#include <memory>

namespace parsleyloft {

enum class received_signal { None, Stop, Reload };

inline constexpr name_table<received_signal, 3> receivedSignalNames{{
        {received_signal::None, "none"},
        {received_signal::Stop, "stop"},
        {received_signal::Reload, "reload"},
}};

struct signal_watch
{
    struct internals;
    std::shared_ptr<internals> impl;
};

// Handles SIGTERM, SIGINT and SIGHUP from this call on, and ignores SIGPIPE.
auto watchSignals() -> signal_watch;

// Blocks until a signal arrives or the limit has passed: None then.
auto waitForSignal(signal_watch &watch, duration limit) -> received_signal;

} // namespace parsleyloft
