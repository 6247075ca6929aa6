// Which host this one hears news of the store from.
#include "router/news_source.h"

#include "decisions/membership.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

constexpr std::uint32_t mostUnconnected = 3;
constexpr duration firstDoubt = 1s;
constexpr duration longestDoubt = 4s;
// Hosts that start together have announced themselves after this.
constexpr duration hostsReadPeriod = 400ms;
constexpr duration startPatience = 1500ms;

} // namespace

auto nextSource(router_process &router) -> std::optional<news_source>
{
    const auto now = monotonicNow();
    const std::scoped_lock guard(router.members.lock, router.relay.lock);
    const auto &members = router.members;
    for (const auto &id : findUpdateSources(members.hosts, members.leader.host, router.self.id)) {
        if (!isSuspected(router.relay.doubts, id, now))
            return news_source{id, members.hosts.at(id).peerAddress};
    }
    return std::nullopt;
}

auto noteSourceLost(router_process &router, const host_id &id, const std::string &why) -> void
{
    logEvent(log_level::Info, "news_source_lost", {{"peer", id}, {"detail", why}});
    const std::lock_guard guard(router.relay.lock);
    auto &doubt = router.relay.doubts[id];
    extendSuspicion(doubt, firstDoubt, longestDoubt, monotonicNow());
    router.relay.source.clear();
    router.relay.unconnected = 0;
}

auto noteSource(router_process &router, const host_id &id) -> void
{
    const std::lock_guard guard(router.relay.lock);
    if (router.relay.source != id)
        logEvent(log_level::Info, "news_source", {{"peer", id}});
    router.relay.doubts.erase(id);
    router.relay.source = id;
    router.relay.unconnected = 0;
}

auto isConnecting(router_process &router, const result<wire::SyncReply> &ended) -> bool
{
    if (ended || ended.error().code != error_code::Unreachable)
        return false;
    const std::lock_guard guard(router.relay.lock);
    return ++router.relay.unconnected < mostUnconnected;
}

auto beginPatience(router_process &router) -> void
{
    const auto now = monotonicNow();
    const std::lock_guard guard(router.relay.lock);
    router.relay.patientUntil = now + startPatience;
    router.relay.nextHostsRead = now + hostsReadPeriod;
}

auto waitsForOthers(router_process &router) -> bool
{
    const auto now = monotonicNow();
    const std::scoped_lock guard(router.members.lock, router.relay.lock);
    if (router.directory.read || now >= router.relay.patientUntil)
        return false;
    const auto &members = router.members;
    // The leader's key may be that of this host's life before: the others ask it for news.
    if (members.leader.host == router.self.id)
        return false;
    const auto settled = now >= router.relay.patientUntil - startPatience + hostsReadPeriod;
    return !settled || leadershipRank(members.hosts, router.self.id) > 0;
}

auto mayReadHosts(router_process &router) -> bool
{
    const auto now = monotonicNow();
    const std::lock_guard guard(router.relay.lock);
    if (now < router.relay.nextHostsRead)
        return false;
    router.relay.nextHostsRead = now + hostsReadPeriod;
    return true;
}

} // namespace parsleyloft
