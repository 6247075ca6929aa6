// Work that callers ask for by key: reported by every host, gathered by the leader.
#pragma once

#include "router/router.h"

namespace parsleyloft {

auto keyedServices(router_process &router) -> std::vector<service_name>;

// What this host tells the leader of the work that it saw since the last time.
auto takeWorkReport(router_process &router) -> wire::SyncRequest;

// At the leader: takes in what a host reported.
auto noteSync(router_process &router, const wire::SyncRequest &report) -> void;

// At the leader: works the load of a service with so many servers out anew, now and then. Called
// with the work's lock.
auto refreshLoad(router_process &router, const service_name &service, std::size_t servers,
                 instant now) -> void;

} // namespace parsleyloft
