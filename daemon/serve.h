// The life of one entry host's process: start, work, graceful stop.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Opens the listeners and begins all work. Fails when a port is taken.
auto startDaemon(const wire::Settings &settings) -> result<std::unique_ptr<daemon_process>>;

// Hands back what this host holds, lets every request end, and stops. Blocks until then,
// at most for the settings' drain limit. Returns false when the limit cut it short.
auto stopDaemon(daemon_process &daemon) -> bool;

} // namespace parsleyloft
