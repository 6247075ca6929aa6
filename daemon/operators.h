// Changes that operators make to the configuration.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Stores a change and takes it over. With an expected revision a change by another
// operator is a Conflict; without one the change is applied to what is stored. Errors:
// those of applyChange, Unreachable when nothing was stored, Unknown when it can't be told.
auto changeConfiguration(daemon_process &daemon, const configuration_change &change,
                         std::optional<std::uint64_t> expected, store_callback<configuration> done)
        -> void;

} // namespace parsleyloft
