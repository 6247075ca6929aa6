// Start, periodic work and graceful stop of an entry host's process.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Opens the listeners and starts all periodic work. Fails when the journal can't be opened or a
// port is in use.
auto startDaemon(const wire::Settings &settings) -> result<std::unique_ptr<daemon_process>>;

// Drains the host and stops it: its groups are released and open requests complete. Blocks until
// then. Returns false when the drain limit of the settings passed before the host was drained.
auto stopDaemon(daemon_process &daemon) -> bool;

} // namespace parsleyloft
