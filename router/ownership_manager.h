// At the leader: plans the ownership of keys, writes the ownership tables to the store, and sends
// grants and releases to the servers.
#pragma once

#include "router/router.h"

namespace parsleyloft {

// Runs one round for every keyed service. Does nothing on hosts that do not lead.
auto manageOwnership(router_process &router) -> void;

} // namespace parsleyloft
