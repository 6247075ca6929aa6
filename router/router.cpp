// Access to the shared tables of one routing host.
#include "router/router.h"

#include "decisions/membership.h"

namespace parsleyloft {

auto currentSettings(const router_process &router) -> wire::HostSettings
{
    const std::lock_guard guard(router.settings.lock);
    return router.settings.current;
}

auto currentRoutes(router_process &router) -> shared_routes
{
    const std::lock_guard guard(router.routes.lock);
    return router.routes.current;
}

auto queueHostsFor(members_table &members, const group_id &group) -> const std::vector<host_id> &
{
    auto &known = members.queueHosts[group];
    if (known.empty())
        known = rankQueueHosts(members.hosts, group);
    return known;
}

auto repeatWhileRunning(router_process &router, duration period, void (*work)(router_process &))
        -> void
{
    postEvery(*router.workers, period, [&router, work] {
        if (!router.stopping)
            work(router);
        return !router.stopping;
    });
}

} // namespace parsleyloft
