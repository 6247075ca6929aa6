// Store updates and ownership updates, sent from the leader to the other hosts on request.
#include "router/update_sync.h"

#include "codec/compression.h"
#include "codec/shared_state_codec.h"
#include "decisions/membership.h"
#include "platform/site_decoder.h"
#include "router/leadership.h"
#include "router/site_sync.h"
#include "router/store_follower.h"
#include "router/update_source.h"
#include "router/work_reports.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// An update source answers at least this often. A host that gets no answer within this time and the
// margin tries another source. A new source has less time, so that a simultaneous failure of the
// leader and the standby is detected within the time in which requests to a leaving server must
// stop.
constexpr duration syncWait = 400ms;
constexpr duration initialSyncWait = 300ms;
constexpr duration syncTimeoutMargin = 300ms;
// Delay before the next call while the connection to the source is being opened.
constexpr duration connectDelay = 60ms;
constexpr duration sourceCheckInterval = 100ms;
// A source answers each 0.4 s. A relay whose source is silent for longer than this serves no
// updates.
constexpr duration maxSourceSilence = 900ms;
// Changes that arrive close together are sent together. Each flush costs the leader a message to
// every host, so it is delayed longer in larger fleets. The delay is acceptable because a change
// has to be known everywhere only within 2 s or more.
constexpr duration minFlushDelay = 8ms;
constexpr duration flushDelayPerHost = 1ms;
constexpr duration maxFlushDelay = 150ms;
constexpr duration ownersReadInterval = 1s;
// Longer values are compressed: a configuration with thousands of routes takes up to a megabyte,
// and most hosts have a link of 10 Mbit/s.
constexpr std::size_t compressionThresholdBytes = 2048;
// Bound for decompressed values: sixteen times the largest value that the store accepts.
constexpr std::size_t maxValueBytes = 16U << 20U;

// A relay serves the updates of its own source while that is current.
auto canRelayUpdates(router_process &router) -> bool
{
    {
        const std::lock_guard guard(router.updateSync.lock);
        if (monotonicNow() - router.updateSync.sourceCurrentAt > maxSourceSilence)
            return false;
    }
    return std::all_of(router.followers.begin(), router.followers.end(),
                       [](const auto &follower) { return isConfirmed(*follower); });
}

auto isRelay(router_process &router) -> bool
{
    const std::lock_guard guard(router.members.lock);
    const auto relays =
            findRelays(router.members.hosts, router.self.domain, router.members.leader.host);
    return std::find(relays.begin(), relays.end(), router.self.id) != relays.end();
}

auto canServeUpdates(router_process &router) -> bool
{
    if (router.usesUpdateSource)
        return isRelay(router) && canRelayUpdates(router);
    return std::all_of(router.followers.begin(), router.followers.end(),
                       [](const auto &follower) { return isCurrent(*follower); });
}

auto reportedVersion(const wire::SyncRequest &request, const service_name &service)
        -> wire::OwnersVersion
{
    for (const auto &version : request.owners()) {
        if (version.service() == service)
            return version;
    }
    return {};
}

auto ledSince(const wire::OwnersVersion &version) -> store_position
{
    return {version.led_since_era(), version.led_since()};
}

auto addOwners(router_process &router, const wire::SyncRequest &request, wire::SyncReply &reply)
        -> void
{
    std::vector<std::shared_ptr<const ownership_table>> fullTables;
    {
        const std::lock_guard guard(router.ownership.lock);
        for (const auto &[service, known] : router.ownership.services) {
            const auto version = reportedVersion(request, service);
            ownership_table peerTable;
            peerTable.leaderRevision = ledSince(version);
            peerTable.sequence = version.sequence();
            if (!isLater(*known.table, peerTable))
                continue;
            const auto change = version.whole()
                    ? std::nullopt
                    : changeSince(known, ledSince(version), version.sequence());
            if (change)
                *reply.add_owner_changes() = toWire(*change);
            else
                fullTables.push_back(known.table);
        }
    }
    for (const auto &table : fullTables)
        reply.add_owners(encodeOwnership(*table));
}

// The compressed form of a value, computed once for all hosts.
auto compressedValue(router_process &router, const store_item &item) -> std::string
{
    {
        const std::lock_guard guard(router.updateSync.lock);
        const auto known = router.updateSync.compressed.find(item.key);
        if (known != router.updateSync.compressed.end() && known->second.position == item.position)
            return known->second.value;
    }
    auto value = compressValue(item.value);
    const std::lock_guard guard(router.updateSync.lock);
    router.updateSync.compressed[item.key] = {item.position, value};
    return value;
}

auto encodeItem(router_process &router, const store_item &item, wire::FollowedItem &message) -> void
{
    message.set_key(item.key);
    message.set_revision(item.position.revision);
    message.set_deleted(item.deleted);
    if (item.value.size() >= compressionThresholdBytes)
        message.set_packed_value(compressedValue(router, item));
    if (message.packed_value().empty())
        message.set_value(item.value);
}

auto decodeItem(const wire::FollowedItem &message, store_era era) -> result<store_item>
{
    store_item item{message.key(), message.value(), {era, message.revision()}, message.deleted()};
    if (message.packed_value().empty())
        return item;
    auto value = decompressValue(message.packed_value(), maxValueBytes);
    if (!value)
        return tl::unexpected(value.error());
    item.value = std::move(*value);
    return item;
}

auto addChanges(router_process &router, store_follower &follower,
                const wire::PrefixPosition &position, wire::SyncReply &reply) -> void
{
    const auto updates = updatesSince(follower, {position.era(), position.at()});
    if (updates.items.empty() && !updates.full)
        return;
    auto *changes = reply.add_changes();
    changes->set_prefix(follower.prefix);
    changes->set_at(updates.position.revision);
    changes->set_era(updates.position.era);
    changes->set_whole(updates.full);
    for (const auto &item : updates.items)
        encodeItem(router, item, *changes->add_items());
    for (const auto &key : updates.unchanged)
        changes->add_unchanged(key);
}

// current says whether this host can serve updates now.
auto makeReply(router_process &router, const wire::SyncRequest &request, bool current)
        -> wire::SyncReply
{
    wire::SyncReply reply;
    reply.set_current(current);
    reply.set_era(currentEra(router.store));
    if (!reply.current())
        return reply;
    if (const auto servers = findFollower(router, serversPrefix))
        reply.set_unbroken_us(unbrokenTime(*servers).count());
    for (const auto &position : request.positions()) {
        if (const auto follower = findFollower(router, position.prefix()))
            addChanges(router, *follower, position, reply);
    }
    addOwners(router, request, reply);
    return reply;
}

// True when a request waits while this host is not current, because it may become so during the
// call. That holds for patient requests; for all at a relay: a relay that loses its source soon
// has another one, and its hosts should not all turn to the leader and the standby meanwhile; and
// for those of hosts that have not seen the newest era: this host is reading the store anew then.
auto waitsForCurrent(const router_process &router, const wire::SyncRequest &request) -> bool
{
    return request.patient() || router.usesUpdateSource || request.era() < currentEra(router.store);
}

// True when the reply should be sent at once.
auto isReplyDue(const router_process &router, const wire::SyncRequest &request,
                const wire::SyncReply &reply) -> bool
{
    return (!reply.current() && !waitsForCurrent(router, request)) || reply.changes_size() > 0
            || reply.owners_size() > 0 || reply.owner_changes_size() > 0;
}

// Answers the waiting hosts for which there are updates, or whose wait is over.
auto answerWaitingHosts(router_process &router) -> void
{
    std::vector<waiting_host> waiting;
    {
        const std::lock_guard guard(router.updateSync.lock);
        router.updateSync.flushPlanned = false;
        waiting.swap(router.updateSync.waiting);
    }
    const auto now = monotonicNow();
    const auto current = canServeUpdates(router);
    std::vector<waiting_host> stillWaiting;
    for (auto &host : waiting) {
        auto reply = makeReply(router, host.request, current);
        if (isReplyDue(router, host.request, reply) || now >= host.until)
            host.respond(std::move(reply));
        else
            stillWaiting.push_back(std::move(host));
    }
    const std::lock_guard guard(router.updateSync.lock);
    std::move(stillWaiting.begin(), stillWaiting.end(),
              std::back_inserter(router.updateSync.waiting));
}

// When this host stops using an update source, its followers start to watch the store.
auto setUsesUpdateSource(router_process &router, bool uses) -> void
{
    if (router.usesUpdateSource.exchange(uses) == uses || uses)
        return;
    logEvent(log_level::Info, "watching_store_directly", {});
    for (const auto &follower : router.followers)
        resumeWatching(follower);
}

auto isStoreUnreachable(router_process &router) -> bool
{
    const std::lock_guard guard(router.directory.lock);
    return router.directory.storeUnreachableSince.has_value();
}

auto listOwners(router_process &router) -> void
{
    listItems(router.store, std::string(ownersPrefix), [&router](const result<store_items> &reply) {
        countStoreCall(router.metrics, "range", reply.has_value());
        if (!reply) {
            logEvent(log_level::Info, "owners_read_failed", {{"detail", reply.error().detail}});
            return;
        }
        recordStoreAnswer(router);
        for (const auto &item : reply->items) {
            auto table = decodeOwnership(item.value);
            if (table)
                adoptOwnership(router, std::move(*table), table_source::Store);
            else
                logEvent(log_level::Error, "ownership_unreadable",
                         {{"key", item.key}, {"detail", table.error().detail}});
        }
        recordOwnersCurrent(router);
    });
}

// Reads the ownership tables from the store at an interval, while no update source sends them.
auto readOwners(router_process &router) -> void
{
    if (isStoreUnreachable(router))
        return;
    {
        const auto now = monotonicNow();
        const std::lock_guard guard(router.updateSync.lock);
        if (now < router.updateSync.nextOwnersRead)
            return;
        router.updateSync.nextOwnersRead = now + ownersReadInterval;
    }
    listOwners(router);
}

// After a change that cannot be applied, the next sync request asks for the whole table.
auto applyOwnershipChange(router_process &router, const wire::OwnershipChange &message) -> void
{
    auto change = fromWire(message);
    result<ownership_table> table =
            failure(error_code::InvalidInput, "the change cannot be decoded");
    if (change) {
        const std::lock_guard guard(router.ownership.lock);
        const auto known = router.ownership.services.find(change->service);
        if (known != router.ownership.services.end()) {
            table = applyChange(known->second, *change);
            known->second.fromLeader = known->second.fromLeader && table;
        }
    }
    if (table)
        adoptOwnership(router, std::move(*table), table_source::Leader);
    else
        logEvent(log_level::Warn, "ownership_change_not_applied",
                 {{"service", message.service()},
                  {"base", std::to_string(message.base())},
                  {"detail", table.error().detail}});
}

// Returns false and applies nothing if an item cannot be decoded.
auto applyPrefixChanges(router_process &router, const wire::PrefixChanges &changes) -> bool
{
    prefix_updates updates;
    updates.position = {changes.era(), changes.at()};
    updates.full = changes.whole();
    updates.unchanged.assign(changes.unchanged().begin(), changes.unchanged().end());
    for (const auto &message : changes.items()) {
        auto item = decodeItem(message, changes.era());
        if (!item) {
            logEvent(log_level::Error, "update_unreadable",
                     {{"key", message.key()}, {"detail", item.error().detail}});
            return false;
        }
        updates.items.push_back(std::move(*item));
    }
    if (const auto follower = findFollower(router, changes.prefix()))
        applyUpdates(follower, updates);
    return true;
}

// Returns false if changes under a prefix could not be decoded.
auto applyReply(router_process &router, const wire::SyncReply &reply) -> bool
{
    auto decoded = true;
    if (reply.changes_size() > 0)
        scheduleUpdateFlush(router);
    for (const auto &change : reply.owner_changes())
        applyOwnershipChange(router, change);
    for (const auto &changes : reply.changes())
        decoded = applyPrefixChanges(router, changes) && decoded;
    for (const auto &record : reply.owners()) {
        auto table = decodeOwnership(record);
        if (table)
            adoptOwnership(router, std::move(*table), table_source::Leader);
        else
            logEvent(log_level::Error, "ownership_unreadable", {{"detail", table.error().detail}});
    }
    return decoded;
}

auto makeRequest(router_process &router, bool newSource) -> wire::SyncRequest
{
    auto request = takeWorkReport(router);
    request.set_wait_us((newSource ? initialSyncWait : syncWait).count());
    const auto reads = std::any_of(router.followers.begin(), router.followers.end(),
                                   [](const auto &follower) { return isOfOlderEra(*follower); });
    request.set_patient(newSource || reads);
    request.set_era(currentEra(router.store));
    for (const auto &follower : router.followers) {
        auto *position = request.add_positions();
        position->set_prefix(follower->prefix);
        const auto followed = followedPosition(*follower);
        position->set_at(followed.revision);
        position->set_era(followed.era);
    }
    const std::lock_guard guard(router.ownership.lock);
    for (const auto &[service, known] : router.ownership.services) {
        auto *version = request.add_owners();
        version->set_service(service);
        version->set_led_since(known.table->leaderRevision.revision);
        version->set_led_since_era(known.table->leaderRevision.era);
        version->set_sequence(known.table->sequence);
        version->set_whole(!known.fromLeader);
    }
    return request;
}

auto syncOnce(router_process &router) -> void;

auto scheduleSync(router_process &router, duration delay) -> void
{
    postAfter(*router.workers, delay, [&router] {
        if (!router.stopping)
            syncOnce(router);
    });
}

// Reads the list of hosts from the store again, when that is due.
auto readHosts(router_process &router) -> void
{
    if (!isHostsReadDue(router))
        return;
    if (const auto follower = findFollower(router, livePrefix))
        beginFollowing(follower);
}

// A round without an update source: this host leads, or no other host serves updates.
auto syncFromStore(router_process &router) -> void
{
    setUsesUpdateSource(router, false);
    if (isLeading(router))
        recordWorkReport(router, takeWorkReport(router));
    else
        readOwners(router);
    scheduleSync(router, sourceCheckInterval);
}

auto handleSyncReply(router_process &router, const update_source &source, const host_time &sentAt,
                     const result<wire::SyncReply> &reply) -> void
{
    if (reply) {
        recordEra(router.store, reply->era());
        if (reply->current() && reply->era() < currentEra(router.store)) {
            // The source gets the newer era with the next request and reads the store anew.
            scheduleSync(router, sourceCheckInterval);
            return;
        }
    }
    if (reply && reply->current() && applyReply(router, *reply)) {
        confirmSource(router, source.id);
        confirmFollowers(router, sentAt);
        {
            const std::lock_guard guard(router.updateSync.lock);
            router.updateSync.sourceCurrentAt = monotonicNow();
        }
        recordOwnersCurrent(router);
        endGraceOfCutOffHost(router, duration(reply->unbroken_us()));
        setUsesUpdateSource(router, true);
        scheduleSync(router, 0us);
        return;
    }
    if (isConnecting(router, reply)) {
        scheduleSync(router, connectDelay);
        return;
    }
    suspectSource(router, source.id,
                  reply ? "not current, or its updates cannot be decoded" : reply.error().detail);
    scheduleSync(router, 0us);
}

auto syncOnce(router_process &router) -> void
{
    const auto source = chooseUpdateSource(router);
    if (!source) {
        if (isAwaitingUpdates(router)) {
            readHosts(router);
            scheduleSync(router, sourceCheckInterval);
        } else {
            syncFromStore(router);
        }
        return;
    }
    auto newSource = true;
    {
        const std::lock_guard guard(router.updateSync.lock);
        newSource = router.updateSync.source != source->id;
    }
    const auto sentAt = hostTimeNow();
    callSync(router.peers, source->address, makeRequest(router, newSource),
             (newSource ? initialSyncWait : syncWait) + syncTimeoutMargin,
             [&router, source, sentAt](const result<wire::SyncReply> &reply) {
                 handleSyncReply(router, *source, sentAt, reply);
             });
}

} // namespace

auto beginEarlyReads(router_process &router) -> void
{
    for (const auto &follower : router.followers) {
        if (follower->prefix != livePrefix)
            beginEarlyListing(follower);
    }
    listOwners(router);
}

auto beginUpdateSync(router_process &router) -> void
{
    beginStartupWait(router);
    scheduleSync(router, connectDelay);
}

auto answerSync(router_process &router, wire::SyncRequest request,
                peer_responder<wire::SyncReply> respond) -> void
{
    recordEra(router.store, request.era());
    if (router.usesUpdateSource)
        relayWorkReport(router, request);
    else
        recordWorkReport(router, request);
    auto reply = makeReply(router, request, canServeUpdates(router));
    if (isReplyDue(router, request, reply)) {
        respond(std::move(reply));
        return;
    }
    const auto until = monotonicNow() + duration(request.wait_us());
    const std::lock_guard guard(router.updateSync.lock);
    router.updateSync.waiting.push_back({std::move(request), std::move(respond), until});
}

auto recordOwnersCurrent(router_process &router) -> void
{
    const auto era = currentEra(router.store);
    const std::scoped_lock guard(router.ownership.lock, router.updateSync.lock);
    const auto &services = router.ownership.services;
    const auto current = std::all_of(services.begin(), services.end(), [era](const auto &entry) {
        return entry.second.table->leaderRevision.era >= era;
    });
    if (current && !services.empty())
        router.updateSync.ownersCurrentAt = monotonicNow();
}

auto scheduleUpdateFlush(router_process &router) -> void
{
    std::size_t hosts = 0;
    {
        const std::lock_guard guard(router.updateSync.lock);
        hosts = router.updateSync.waiting.size();
        if (hosts == 0 || std::exchange(router.updateSync.flushPlanned, true))
            return;
    }
    const auto delay = std::clamp<duration>(flushDelayPerHost * static_cast<std::int64_t>(hosts),
                                            minFlushDelay, maxFlushDelay);
    postAfter(*router.workers, delay, [&router] { answerWaitingHosts(router); });
}

auto answerDueHosts(router_process &router) -> void
{
    const auto current = canServeUpdates(router);
    {
        const auto now = monotonicNow();
        const std::lock_guard guard(router.updateSync.lock);
        const auto due = std::any_of(router.updateSync.waiting.begin(),
                                     router.updateSync.waiting.end(), [&](const auto &host) {
                                         const auto changed = current
                                                 ? host.request.patient()
                                                 : !waitsForCurrent(router, host.request);
                                         return now >= host.until || changed;
                                     });
        if (!due)
            return;
    }
    answerWaitingHosts(router);
}

} // namespace parsleyloft
