// Applies changes of the platform's store to the tables.
#include "router/site_sync.h"

#include "codec/shared_state_codec.h"
#include "platform/site_decoder.h"
#include "router/store_follower.h"
#include "router/update_sync.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// Longer for servers, which change their entries several times while they warm up.
constexpr duration serversWatchDelay = 60ms;
constexpr duration operatorWatchDelay = 1ms;
constexpr duration sharedWatchDelay = 1ms;

auto toHttpLimits(const caller_limits &limits) -> http_limits
{
    return {limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout};
}

// Called with the directory's lock held, after each change.
auto publishDirectoryVersion(router_process &router) -> void
{
    router.directory.version = router.directory.directory.version;
}

auto adoptConfiguration(router_process &router, const store_item &item) -> void
{
    const auto inForce = currentRoutes(router);
    auto decoded = decodeConfiguration(item.value, inForce ? &inForce->configuration : nullptr);
    if (!decoded) {
        logEvent(log_level::Error, "configuration_unreadable",
                 {{"revision", std::to_string(item.position.revision)},
                  {"detail", decoded.error().detail}});
        countDefect(router.metrics, store_item_kind::Configuration);
        return;
    }
    const auto version = decoded->configuration.version;
    const auto limits = toHttpLimits(decoded->configuration.limits);
    {
        const std::scoped_lock guard(router.routes.lock, router.directory.lock);
        auto &current = router.routes.current;
        if (current && current->configuration.version >= version)
            return;
        current = makeRouteTable(std::move(decoded->configuration));
        router.routes.defects = decoded->defects;
        if (replaceServices(router.directory.directory, namedServices(current->configuration)))
            publishDirectoryVersion(router);
    }
    for (const auto &defect : decoded->defects) {
        logEvent(log_level::Warn, "configuration_item_defective",
                 {{"version", std::to_string(version)}, {"detail", defect}});
        countDefect(router.metrics, store_item_kind::Configuration);
    }
    setHttpLimits(router.callerServer, limits);
    logEvent(log_level::Info, "configuration_adopted",
             {{"version", std::to_string(version)},
              {"revision", std::to_string(item.position.revision)}});
}

auto applyEvacuation(router_process &router, const domain_id &domain, bool out) -> void
{
    const std::lock_guard guard(router.directory.lock);
    if (!setEvacuated(router.directory.directory, domain, out))
        return;
    publishDirectoryVersion(router);
    logEvent(log_level::Info, out ? "domain_out" : "domain_in_service", {{"domain", domain}});
}

auto applyOperatorItem(router_process &router, const store_item &item) -> void
{
    if (const auto domain = evacuatedDomain(item.key))
        applyEvacuation(router, *domain, !item.deleted);
    else if (item.key == configurationKeyName && !item.deleted)
        adoptConfiguration(router, item);
}

auto removeUnlistedEvacuations(router_process &router, const std::set<std::string> &present) -> void
{
    std::set<domain_id> domains;
    for (const auto &key : present) {
        if (const auto domain = evacuatedDomain(key))
            domains.insert(*domain);
    }
    const std::lock_guard guard(router.directory.lock);
    if (retainEvacuated(router.directory.directory, std::move(domains), monotonicNow()))
        publishDirectoryVersion(router);
    for (const auto &domain : router.directory.directory.unconfirmedEvacuations)
        logEvent(log_level::Warn, "evacuation_unconfirmed", {{"domain", domain}});
}

auto applyRemovedServer(router_process &router, const store_item &item) -> void
{
    const auto id = serverOfKey(item.key);
    const std::lock_guard guard(router.directory.lock);
    const auto changed = recordServerRemoved(router.directory.directory, id, monotonicNow());
    publishDirectoryVersion(router);
    logEvent(log_level::Info, "server_removed",
             {{"server", id},
              {"revision", std::to_string(item.position.revision)},
              {"kept", changed ? "no" : "yes"}});
}

// Called with the directory's lock held.
auto applyUnknownService(router_process &router, const store_item &item,
                         const server_record &record) -> void
{
    const auto removed = setAsideEntry(router.directory.directory, record, monotonicNow());
    publishDirectoryVersion(router);
    logEvent(removed ? log_level::Warn : log_level::Info, "server_entry_of_unknown_service",
             {{"server", record.id},
              {"service", record.service},
              {"removed", removed ? "yes" : "no"},
              {"revision", std::to_string(item.position.revision)}});
}

auto applyServerItem(router_process &router, const store_item &item) -> void
{
    if (item.deleted) {
        applyRemovedServer(router, item);
        return;
    }
    const auto record = decodeServer(item);
    if (!record) {
        logEvent(log_level::Warn, "server_entry_unreadable",
                 {{"key", item.key}, {"detail", record.error().detail}});
        countDefect(router.metrics, store_item_kind::Server);
        applyRemovedServer(router, item);
        return;
    }
    const std::lock_guard guard(router.directory.lock);
    auto &directory = router.directory.directory;
    if (!isServiceKnown(directory, *record)) {
        applyUnknownService(router, item, *record);
        return;
    }
    if (isOutdated(directory, *record))
        logEvent(log_level::Info, "server_entry_outdated",
                 {{"server", record->id},
                  {"sequence", std::to_string(record->sequence)},
                  {"revision", std::to_string(item.position.revision)},
                  {"era", std::to_string(item.position.era)}});
    if (!recordServer(directory, *record, monotonicNow()))
        return;
    publishDirectoryVersion(router);
    logEvent(log_level::Info, "server_updated",
             {{"server", record->id},
              {"service", record->service},
              {"domain", record->domain},
              {"draining", record->draining ? "yes" : "no"},
              {"warmup_left_ms", std::to_string(toMilliseconds(record->warmupLeft))},
              {"revision", std::to_string(item.position.revision)}});
}

auto removeUnlistedServers(router_process &router, const std::set<std::string> &present) -> void
{
    std::set<server_id> ids;
    for (const auto &key : present)
        ids.insert(serverOfKey(key));
    const std::lock_guard guard(router.directory.lock);
    retainServers(router.directory.directory, ids, monotonicNow());
    publishDirectoryVersion(router);
    router.directory.loaded = true;
}

auto applyHostItem(router_process &router, const store_item &item) -> void
{
    const auto id = item.key.substr(hostsPrefix.size());
    if (id == router.self.id)
        return;
    std::string address;
    auto changed = true;
    {
        const std::lock_guard guard(router.members.lock);
        auto &members = router.members;
        const auto member = item.deleted ? failure(error_code::NotFound, "deleted")
                                         : decodeMember(id, item.value);
        const auto known = members.hosts.find(id);
        changed = !member || known == members.hosts.end() || known->second != *member;
        if (changed)
            members.queueHosts.clear();
        if (member) {
            members.hosts[id] = *member;
            members.missing.ids.erase(id);
            members.suspicions.erase(id);
            address = member->peerAddress;
        } else {
            removeHost(members.hosts, members.missing, id, monotonicNow());
        }
    }
    if (changed)
        logEvent(log_level::Info, address.empty() ? "host_removed" : "host_updated",
                 {{"peer", id}, {"revision", std::to_string(item.position.revision)}});
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
        claim.position = item.position;
    }
    const std::lock_guard guard(router.members.lock);
    router.members.leader = claim;
    if (claim.position.revision != 0 && !claim.host.empty())
        router.members.lastClaim = claim;
    router.members.leaderlessSince = monotonicNow();
    logEvent(log_level::Info, "leader_changed",
             {{"leader", claim.host}, {"revision", std::to_string(item.position.revision)}});
}

auto applySharedItem(router_process &router, const store_item &item) -> void
{
    if (item.key.starts_with(hostsPrefix)) {
        applyHostItem(router, item);
    } else if (item.key == leaderKey) {
        applyLeaderItem(router, item);
    }
}

auto removeUnlistedMembers(router_process &router, const std::set<std::string> &present) -> void
{
    std::set<host_id> listed;
    for (const auto &key : present) {
        if (key.starts_with(hostsPrefix))
            listed.insert(key.substr(hostsPrefix.size()));
    }
    const auto now = monotonicNow();
    const std::lock_guard guard(router.members.lock);
    auto &members = router.members;
    members.queueHosts.clear();
    retainHosts(members.hosts, members.missing, listed, router.self.id, now);
    if (!present.contains(std::string(leaderKey)) && members.leader.position.revision != 0) {
        members.leader = {};
        members.leaderlessSince = now;
        logEvent(log_level::Info, "leader_changed", {{"leader", ""}, {"detail", "not listed"}});
    }
    // A host that joins a running fleet need not wait for its updates. In large fleets the reads of
    // all hosts together would cost more than the wait.
    const auto joins = present.contains(std::string(leaderKey))
            && findRelays(router.members.hosts, router.self.domain, {}).empty();
    if (!std::exchange(router.members.listed, true) && joins)
        post(*router.workers, [&router] { beginEarlyReads(router); });
}

using item_handler = void (*)(router_process &, const store_item &);
using listed_handler = void (*)(router_process &, const std::set<std::string> &);

auto makeHandlers(router_process &router, item_handler onItem, listed_handler onListed)
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
    router.followers = {
            makeFollower(router, std::string(operatorPrefix), operatorWatchDelay,
                         makeHandlers(router, applyOperatorItem, removeUnlistedEvacuations)),
            makeFollower(router, std::string(serversPrefix), serversWatchDelay,
                         makeHandlers(router, applyServerItem, removeUnlistedServers)),
            makeFollower(router, std::string(livePrefix), sharedWatchDelay,
                         makeHandlers(router, applySharedItem, removeUnlistedMembers))};
}

auto beginSync(router_process &router) -> void
{
    // The other prefixes are read from another host where there is one.
    if (const auto follower = findFollower(router, livePrefix))
        beginFollowing(follower);
    beginUpdateSync(router);
}

auto adoptLeavingServer(router_process &router, const server_id &server, std::int64_t startTimeMs)
        -> void
{
    const std::lock_guard guard(router.directory.lock);
    if (!recordServerLeaving(router.directory.directory, server, startTimeMs))
        return;
    router.directory.unreportedLeaving.emplace_back(server, startTimeMs);
    publishDirectoryVersion(router);
    logEvent(log_level::Info, "server_leaving",
             {{"server", server}, {"start_time_ms", std::to_string(startTimeMs)}});
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
    scheduleUpdateFlush(router);
    for (const auto &request : resumed)
        post(*router.workers, request.resume);
}

auto resumeExpiredRequests(router_process &router) -> void
{
    const auto now = monotonicNow();
    std::vector<parked_request> resumed;
    {
        const std::lock_guard guard(router.ownership.lock);
        auto &parked = router.ownership.parked;
        const auto expired =
                std::partition(parked.begin(), parked.end(),
                               [now](const auto &request) { return request.until > now; });
        std::move(expired, parked.end(), std::back_inserter(resumed));
        parked.erase(expired, parked.end());
    }
    for (const auto &request : resumed)
        request.resume();
}

auto startGracePeriods(router_process &router, duration grace) -> void
{
    const auto now = monotonicNow();
    const std::scoped_lock guard(router.directory.lock, router.members.lock);
    startGracePeriod(router.directory.directory, grace, now);
    router.directory.graceSinceView.reset();
    startEvacuationGrace(router.directory.directory, grace, now);
    router.members.missing.graceEnds = now + grace;
}

auto endGraceOfCutOffHost(router_process &router, duration unbroken) -> void
{
    {
        const std::lock_guard guard(router.directory.lock);
        auto &since = router.directory.graceSinceView;
        if (!since || unbroken < timeSince(*since, hostTimeNow()))
            return;
        since.reset();
        startGracePeriod(router.directory.directory, 0us, monotonicNow());
    }
    logEvent(log_level::Info, "grace_period_not_needed",
             {{"unbroken_ms", std::to_string(toMilliseconds(unbroken))}});
    endGracePeriods(router);
}

auto endGracePeriods(router_process &router) -> void
{
    const auto now = monotonicNow();
    {
        const std::lock_guard guard(router.directory.lock);
        if (dropMissing(router.directory.directory, now)) {
            publishDirectoryVersion(router);
            logEvent(log_level::Info, "grace_period_ended", {});
        }
    }
    const std::lock_guard guard(router.members.lock);
    if (!dropMissingHosts(router.members.hosts, router.members.missing, now))
        return;
    router.members.queueHosts.clear();
    logEvent(log_level::Info, "missing_hosts_removed", {});
}

} // namespace parsleyloft
