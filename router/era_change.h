// What a host does when the store has come back from an older copy of itself: changes, leases and
// revisions since that copy are gone, and revisions and lease ids are given out again.
#pragma once

#include "router/router.h"

namespace parsleyloft {

// Registers the reaction to a newer era of the store. Called before the first call on the store.
auto watchForNewEras(router_process &router) -> void;

} // namespace parsleyloft
