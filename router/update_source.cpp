// Selects the host from which this host receives updates of the store and the ownership tables.
#include "router/update_source.h"

#include "decisions/membership.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

constexpr std::uint32_t maxConnectFailures = 3;
constexpr duration minSuspicion = 1s;
constexpr duration maxSuspicion = 4s;
// Hosts that start at the same time have announced themselves after this.
constexpr duration hostsReadInterval = 400ms;
constexpr duration startupWait = 1500ms;
// In fleets with relays the updates of the first leader take one more step.
constexpr duration relayedStartupWait = 2500ms;

} // namespace

auto chooseUpdateSource(router_process &router) -> std::optional<update_source>
{
    const auto now = monotonicNow();
    const std::scoped_lock guard(router.members.lock, router.updateSync.lock);
    const auto &members = router.members;
    for (const auto &id : findUpdateSources(members.hosts, members.leader.host, router.self.id)) {
        if (!isSuspected(router.updateSync.suspicions, id, now))
            return update_source{id, members.hosts.at(id).peerAddress};
    }
    return std::nullopt;
}

auto suspectSource(router_process &router, const host_id &id, const std::string &reason) -> void
{
    logEvent(log_level::Info, "update_source_lost", {{"peer", id}, {"detail", reason}});
    const std::lock_guard guard(router.updateSync.lock);
    auto &suspicion = router.updateSync.suspicions[id];
    extendSuspicion(suspicion, minSuspicion, maxSuspicion, monotonicNow());
    router.updateSync.source.clear();
    router.updateSync.connectFailures = 0;
}

auto confirmSource(router_process &router, const host_id &id) -> void
{
    const std::lock_guard guard(router.updateSync.lock);
    if (router.updateSync.source != id)
        logEvent(log_level::Info, "update_source_changed", {{"peer", id}});
    router.updateSync.suspicions.erase(id);
    router.updateSync.source = id;
    router.updateSync.connectFailures = 0;
}

auto clearSourceSuspicions(router_process &router) -> bool
{
    {
        const std::lock_guard guard(router.updateSync.lock);
        router.updateSync.suspicions.clear();
    }
    return chooseUpdateSource(router).has_value();
}

auto isConnecting(router_process &router, const result<wire::SyncReply> &reply) -> bool
{
    if (reply || reply.error().code != error_code::Unreachable)
        return false;
    const std::lock_guard guard(router.updateSync.lock);
    return ++router.updateSync.connectFailures < maxConnectFailures;
}

auto beginStartupWait(router_process &router) -> void
{
    const auto now = monotonicNow();
    const std::lock_guard guard(router.updateSync.lock);
    router.updateSync.startupWaitUntil = now + startupWait;
    router.updateSync.nextHostsRead = now + hostsReadInterval;
}

auto isAwaitingUpdates(router_process &router) -> bool
{
    const auto now = monotonicNow();
    const std::scoped_lock guard(router.members.lock, router.updateSync.lock);
    const auto &members = router.members;
    const auto relayed =
            !findRelays(members.hosts, router.self.domain, members.leader.host).empty();
    const auto waitUntil = router.updateSync.startupWaitUntil
            + (relayed ? relayedStartupWait - startupWait : duration(0));
    if (router.directory.confirmed || now >= waitUntil)
        return false;
    // The leader's key may still name the previous run of this host. The other hosts then request
    // updates from this one, so it must not wait for them.
    if (members.leader.host == router.self.id)
        return false;
    const auto settled =
            now >= router.updateSync.startupWaitUntil - startupWait + hostsReadInterval;
    return !settled || leadershipRank(members.hosts, router.self.id) > 0;
}

auto isHostsReadDue(router_process &router) -> bool
{
    const auto now = monotonicNow();
    const std::lock_guard guard(router.updateSync.lock);
    if (now < router.updateSync.nextHostsRead)
        return false;
    router.updateSync.nextHostsRead = now + hostsReadInterval;
    return true;
}

} // namespace parsleyloft
