// Grants to the backend servers of the groups that this host holds. A grant permits a server to
// run work for the listed shards until a given time on the server's own clock.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Renews the grants of all servers. Releases groups and shards that the leader withdraws once
// none of their work is running any more.
auto renewGrants(daemon_process &daemon) -> void;

} // namespace parsleyloft
