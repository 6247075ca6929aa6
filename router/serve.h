// Start, reload and graceful stop of a routing host.
#pragma once

#include "router/router.h"

namespace parsleyloft {

// Starts to listen, to follow the store and to serve. Fails with Unreachable when a port is taken.
// The store does not have to be reachable.
auto startRouter(const wire::HostSettings &settings) -> result<std::unique_ptr<router_process>>;

// Applies changed settings: the bounds and the log level. Other changes need a restart.
auto reloadRouter(router_process &router, const wire::HostSettings &settings) -> void;

// Stops accepting callers and completes the requests under way. Returns when none is left or the
// grace period is nearly over. Returns true if all requests were completed.
auto stopRouter(router_process &router) -> bool;

} // namespace parsleyloft
