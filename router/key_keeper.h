// What the leading host does for the owners of keys: plans, writes the table, grants.
#pragma once

#include "router/router.h"

namespace parsleyloft {

// One round for every keyed service; ends at once on hosts that don't lead.
auto keepOwners(router_process &router) -> void;

} // namespace parsleyloft
