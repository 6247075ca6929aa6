// Keeps the tables in line with the platform's store.
#include "router/site_sync.h"

#include "codec/shared_state_codec.h"
#include "platform/site_decoder.h"
#include "router/relay.h"
#include "router/store_follower.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// Servers change their entries several times while they warm up.
constexpr duration serversPause = 60ms;
constexpr duration operatorPause = 1ms;
constexpr duration sharedPause = 1ms;

auto toHttpLimits(const caller_limits &limits) -> http_limits
{
    return {limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout};
}

auto adoptConfiguration(router_process &router, const store_item &item) -> void
{
    auto decoded = decodeConfiguration(item.value);
    if (!decoded) {
        logEvent(log_level::Error, "configuration_unreadable",
                 {{"revision", std::to_string(item.revision)}, {"detail", decoded.error().detail}});
        return;
    }
    const auto version = decoded->version;
    const auto limits = toHttpLimits(decoded->limits);
    {
        const std::lock_guard guard(router.routes.lock);
        auto &current = router.routes.current;
        if (current && current->configuration.version >= version)
            return;
        current = makeRouteTable(std::move(*decoded));
    }
    setHttpLimits(router.callerServer, limits);
    logEvent(log_level::Info, "configuration_adopted",
             {{"version", std::to_string(version)}, {"revision", std::to_string(item.revision)}});
}

auto noteDirectoryChange(router_process &router) -> void
{
    router.directory.version = router.directory.directory.version;
}

auto applyEvacuation(router_process &router, const domain_id &domain, bool out) -> void
{
    const std::lock_guard guard(router.directory.lock);
    auto domains = router.directory.directory.evacuated;
    if (out)
        domains.insert(domain);
    else
        domains.erase(domain);
    if (!setEvacuated(router.directory.directory, std::move(domains)))
        return;
    noteDirectoryChange(router);
    logEvent(log_level::Info, out ? "domain_out" : "domain_back", {{"domain", domain}});
}

auto applyOperatorItem(router_process &router, const store_item &item) -> void
{
    if (const auto domain = evacuatedDomain(item.key))
        applyEvacuation(router, *domain, !item.deleted);
    else if (item.key == configurationKeyName && !item.deleted)
        adoptConfiguration(router, item);
}

auto keepOnlyEvacuated(router_process &router, const std::set<std::string> &present) -> void
{
    std::set<domain_id> domains;
    for (const auto &key : present) {
        if (const auto domain = evacuatedDomain(key))
            domains.insert(*domain);
    }
    const std::lock_guard guard(router.directory.lock);
    if (setEvacuated(router.directory.directory, std::move(domains)))
        noteDirectoryChange(router);
}

auto applyGoneServer(router_process &router, const store_item &item) -> void
{
    const auto id = serverOfKey(item.key);
    const std::lock_guard guard(router.directory.lock);
    const auto changed = recordServerRemoved(router.directory.directory, id, monotonicNow());
    noteDirectoryChange(router);
    logEvent(log_level::Info, "server_gone",
             {{"server", id},
              {"revision", std::to_string(item.revision)},
              {"kept", changed ? "no" : "yes"}});
}

auto applyServerItem(router_process &router, const store_item &item) -> void
{
    if (item.deleted) {
        applyGoneServer(router, item);
        return;
    }
    const auto record = decodeServer(item);
    if (!record) {
        logEvent(log_level::Warn, "server_entry_unreadable",
                 {{"key", item.key}, {"detail", record.error().detail}});
        applyGoneServer(router, item);
        return;
    }
    const std::lock_guard guard(router.directory.lock);
    if (!recordServer(router.directory.directory, *record, monotonicNow()))
        return;
    noteDirectoryChange(router);
    logEvent(log_level::Info, "server_heard",
             {{"server", record->id},
              {"service", record->service},
              {"domain", record->domain},
              {"draining", record->draining ? "yes" : "no"},
              {"warmup_left_ms", std::to_string(toMilliseconds(record->warmupLeft))},
              {"revision", std::to_string(item.revision)}});
}

auto keepOnlyListed(router_process &router, const std::set<std::string> &present) -> void
{
    std::set<server_id> ids;
    for (const auto &key : present)
        ids.insert(serverOfKey(key));
    const std::lock_guard guard(router.directory.lock);
    retainServers(router.directory.directory, ids, monotonicNow());
    noteDirectoryChange(router);
    router.directory.read = true;
}

auto applyHostItem(router_process &router, const store_item &item) -> void
{
    const auto id = item.key.substr(hostsPrefix.size());
    if (id == router.self.id)
        return;
    std::string address;
    {
        const std::lock_guard guard(router.members.lock);
        router.members.keepers.clear();
        const auto member =
                item.deleted ? failure(error_code::NotFound, "gone") : decodeMember(id, item.value);
        if (member) {
            router.members.hosts[id] = *member;
            router.members.doubts.erase(id);
            address = member->peerAddress;
        } else {
            router.members.hosts.erase(id);
        }
    }
    logEvent(log_level::Info, address.empty() ? "host_gone" : "host_heard",
             {{"peer", id}, {"revision", std::to_string(item.revision)}});
    if (!address.empty())
        connectPeer(router.peers, address);
}

auto applyLeaderItem(router_process &router, const store_item &item) -> void
{
    leader_claim claim;
    if (!item.deleted) {
        const auto decoded = decodeLeader(item.value);
        if (!decoded)
            logEvent(log_level::Error, "leader_unreadable", {{"detail", decoded.error().detail}});
        claim = decoded.value_or(leader_claim{});
        claim.revision = item.revision;
    }
    const std::lock_guard guard(router.members.lock);
    router.members.leader = claim;
    router.members.leaderlessSince = monotonicNow();
    logEvent(log_level::Info, "leader_heard",
             {{"leader", claim.host}, {"revision", std::to_string(item.revision)}});
}

auto applySharedItem(router_process &router, const store_item &item) -> void
{
    if (item.key.starts_with(hostsPrefix)) {
        applyHostItem(router, item);
    } else if (item.key == leaderKey) {
        applyLeaderItem(router, item);
    }
}

auto keepOnlyShared(router_process &router, const std::set<std::string> &present) -> void
{
    const std::lock_guard guard(router.members.lock);
    router.members.keepers.clear();
    std::erase_if(router.members.hosts, [&](const auto &one) {
        return one.first != router.self.id
                && !present.contains(std::string(hostsPrefix) + one.first);
    });
    if (!present.contains(std::string(leaderKey))) {
        router.members.leader = {};
    }
}

using item_handler = void (*)(router_process &, const store_item &);
using listed_handler = void (*)(router_process &, const std::set<std::string> &);

auto handlersOf(router_process &router, item_handler onItem, listed_handler onListed)
        -> follower_handlers
{
    return {[&router, onItem](const store_item &item) { onItem(router, item); },
            [&router, onListed](const std::set<std::string> &present) {
                onListed(router, present);
            }};
}

} // namespace

auto prepareSync(router_process &router) -> void
{
    router.followers = {makeFollower(router, std::string(operatorPrefix), operatorPause,
                                     handlersOf(router, applyOperatorItem, keepOnlyEvacuated)),
                        makeFollower(router, std::string(serversPrefix), serversPause,
                                     handlersOf(router, applyServerItem, keepOnlyListed)),
                        makeFollower(router, std::string(livePrefix), sharedPause,
                                     handlersOf(router, applySharedItem, keepOnlyShared))};
}

auto beginSync(router_process &router) -> void
{
    // The rest comes from another host where there is one.
    for (const auto &follower : router.followers) {
        if (follower->prefix == livePrefix)
            beginFollowing(follower);
    }
    beginRelay(router);
}

auto adoptOwnership(router_process &router, ownership_table table, table_source source) -> void
{
    std::vector<parked_request> resumed;
    {
        const std::lock_guard guard(router.ownership.lock);
        auto &known = router.ownership.services[table.service];
        if (known.table && !isLater(table, *known.table))
            return;
        known = trackTable(known, std::move(table), source);
        resumed.swap(router.ownership.parked);
    }
    planFlush(router);
    for (const auto &one : resumed)
        post(*router.workers, one.resume);
}

auto resumeExpired(router_process &router) -> void
{
    const auto now = monotonicNow();
    std::vector<parked_request> resumed;
    {
        const std::lock_guard guard(router.ownership.lock);
        auto &parked = router.ownership.parked;
        const auto expired = std::partition(parked.begin(), parked.end(),
                                            [now](const auto &one) { return one.until > now; });
        std::move(expired, parked.end(), std::back_inserter(resumed));
        parked.erase(expired, parked.end());
    }
    for (const auto &one : resumed)
        one.resume();
}

auto dropVanishedServers(router_process &router) -> void
{
    const std::lock_guard guard(router.directory.lock);
    if (!dropMissing(router.directory.directory, monotonicNow()))
        return;
    noteDirectoryChange(router);
    logEvent(log_level::Info, "vanished_servers_dropped", {});
}

} // namespace parsleyloft
