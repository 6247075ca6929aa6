// Grants to the backend servers of the groups that this host may send to.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Renews the grants of all servers, and releases what the leader wants back once its
// work has ended.
auto renewGrants(daemon_process &daemon) -> void;

} // namespace parsleyloft
