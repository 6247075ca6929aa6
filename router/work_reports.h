// The work that callers request, by key: reported by every host, summed up by the leader.
#pragma once

#include "router/router.h"

namespace parsleyloft {

auto keyedServices(router_process &router) -> std::vector<service_name>;

// The work that callers requested at this host since its last report, as part of a sync request.
auto takeWorkReport(router_process &router) -> wire::SyncRequest;

// At a relay: adds the report of another host to this host's next one.
auto relayWorkReport(router_process &router, const wire::SyncRequest &report) -> void;

// At the leader: adds a host's report to the reported work.
auto recordWorkReport(router_process &router, const wire::SyncRequest &report) -> void;

// The servers of a service and the sum of their slots.
struct service_capacity
{
    std::size_t servers = 0;
    std::size_t slots = 0;
};

// At the leader: recomputes the load of a service, at most once per interval. Called with the lock
// of the work table held.
auto updateLoad(router_process &router, const service_name &service,
                const service_capacity &capacity, instant now) -> void;

// At the leader: logs, from time to time, what moves of keys are decided by.
auto logLoad(router_process &router, const service_name &service) -> void;

} // namespace parsleyloft
