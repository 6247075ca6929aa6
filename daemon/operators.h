// Configuration changes by operators.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Stores a change and adopts the new configuration. With an expected revision, a change that
// another operator has made since gives Conflict; without one, the change is applied to the stored
// configuration. Errors: those of applyChange, Conflict when concurrent writes won every attempt,
// Unreachable when nothing was stored, Unknown when the change may have been stored.
auto changeConfiguration(daemon_process &daemon, const configuration_change &change,
                         std::optional<std::uint64_t> expected, store_callback<configuration> done)
        -> void;

} // namespace parsleyloft
