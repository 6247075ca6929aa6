// News of the store and of the owners of keys, passed from the leader to the other hosts.
#include "router/relay.h"

#include "codec/compression.h"
#include "codec/shared_state_codec.h"
#include "platform/site_decoder.h"
#include "router/leadership.h"
#include "router/news_source.h"
#include "router/site_sync.h"
#include "router/store_follower.h"
#include "router/work_reports.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// A host hears from its source at least this often, and takes silence beyond it as a loss. One
// that has not passed on news just now has less time, so that a loss of the leader and its deputy
// together is noticed within the time in which a leaving server must be spared.
constexpr duration syncWait = 400ms;
constexpr duration firstSyncWait = 300ms;
constexpr duration syncSlack = 300ms;
// A connection that is being opened stands by the next look.
constexpr duration connectPause = 60ms;
constexpr duration leaderLook = 100ms;
// A host that has not heard from the store for longer passes nothing on: with the next
// look at it this stays well under the time in which a leaving server must be spared.
constexpr duration staleAfter = 1050ms;
// Changes that come together are passed on together. Each round of news costs the leader a
// message to every host, so that larger fleets hear less often; what has to be known soon
// everywhere has 2 s or more.
constexpr duration leastFlushPause = 8ms;
constexpr duration flushPausePerHost = 1ms;
constexpr duration mostFlushPause = 150ms;
constexpr duration ownersReadPeriod = 1s;
// Values from this length on are compressed: the configuration, with thousands of routes, takes
// up to a megabyte, and most hosts have a link of 10 Mbit/s.
constexpr std::size_t longValue = 2048;
// Sixteen times the largest value that the store takes.
constexpr std::size_t mostValueBytes = 16U << 20U;

auto mayPassOn(router_process &router) -> bool
{
    const auto seen = fromMicroseconds(router.storeSeenAt);
    if (router.relayed || monotonicNow() - seen > staleAfter)
        return false;
    return std::all_of(router.followers.begin(), router.followers.end(),
                       [](const auto &follower) { return isCurrent(*follower); });
}

auto versionKnownTo(const wire::SyncRequest &request, const service_name &service)
        -> wire::OwnersVersion
{
    for (const auto &version : request.owners()) {
        if (version.service() == service)
            return version;
    }
    return {};
}

auto addOwners(router_process &router, const wire::SyncRequest &request, wire::SyncReply &reply)
        -> void
{
    std::vector<std::shared_ptr<const ownership_table>> whole;
    {
        const std::lock_guard guard(router.ownership.lock);
        for (const auto &[service, known] : router.ownership.services) {
            const auto version = versionKnownTo(request, service);
            ownership_table theirs;
            theirs.leaderRevision = version.led_since();
            theirs.sequence = version.sequence();
            if (!isLater(*known.table, theirs))
                continue;
            const auto change = version.whole()
                    ? std::nullopt
                    : changeSince(known, version.led_since(), version.sequence());
            if (change)
                *reply.add_owner_changes() = toWire(*change);
            else
                whole.push_back(known.table);
        }
    }
    for (const auto &table : whole)
        reply.add_owners(encodeOwnership(*table));
}

// The short form of a long value, worked out once for all hosts.
auto packedValue(router_process &router, const store_item &item) -> std::string
{
    {
        const std::lock_guard guard(router.relay.lock);
        const auto known = router.relay.packed.find(item.key);
        if (known != router.relay.packed.end() && known->second.revision == item.revision)
            return known->second.value;
    }
    auto value = compressValue(item.value);
    const std::lock_guard guard(router.relay.lock);
    router.relay.packed[item.key] = {item.revision, value};
    return value;
}

auto encodeItem(router_process &router, const store_item &item, wire::FollowedItem &message) -> void
{
    message.set_key(item.key);
    message.set_revision(item.revision);
    message.set_deleted(item.deleted);
    if (item.value.size() >= longValue)
        message.set_packed_value(packedValue(router, item));
    if (message.packed_value().empty())
        message.set_value(item.value);
}

auto decodeItem(const wire::FollowedItem &message) -> result<store_item>
{
    store_item item{message.key(), message.value(), message.revision(), message.deleted()};
    if (message.packed_value().empty())
        return item;
    auto value = decompressValue(message.packed_value(), mostValueBytes);
    if (!value)
        return tl::unexpected(value.error());
    item.value = std::move(*value);
    return item;
}

auto addChanges(router_process &router, store_follower &follower,
                const wire::PrefixPosition &position, wire::SyncReply &reply) -> void
{
    const auto news = newsSince(follower, position.at());
    if (news.items.empty() && !news.whole)
        return;
    auto *changes = reply.add_changes();
    changes->set_prefix(follower.prefix);
    changes->set_at(news.at);
    changes->set_whole(news.whole);
    for (const auto &item : news.items)
        encodeItem(router, item, *changes->add_items());
    for (const auto &key : news.unchanged)
        changes->add_unchanged(key);
}

auto makeReply(router_process &router, const wire::SyncRequest &request) -> wire::SyncReply
{
    wire::SyncReply reply;
    reply.set_current(mayPassOn(router));
    if (!reply.current())
        return reply;
    for (const auto &position : request.positions()) {
        for (const auto &follower : router.followers) {
            if (follower->prefix == position.prefix())
                addChanges(router, *follower, position, reply);
        }
    }
    addOwners(router, request, reply);
    return reply;
}

// Whether the reply says anything. A host that asks for the first time waits for this one to
// become current.
auto hasNews(const wire::SyncRequest &request, const wire::SyncReply &reply) -> bool
{
    return (!reply.current() && !request.patient()) || reply.changes_size() > 0
            || reply.owners_size() > 0 || reply.owner_changes_size() > 0;
}

// Answers the waiting hosts that have something to hear, or whose time is over.
auto flushWaiting(router_process &router) -> void
{
    std::vector<waiting_host> waiting;
    {
        const std::lock_guard guard(router.relay.lock);
        router.relay.flushPlanned = false;
        waiting.swap(router.relay.waiting);
    }
    const auto now = monotonicNow();
    std::vector<waiting_host> kept;
    for (auto &host : waiting) {
        auto reply = makeReply(router, host.asked);
        if (hasNews(host.asked, reply) || now >= host.until)
            host.respond(std::move(reply));
        else
            kept.push_back(std::move(host));
    }
    const std::lock_guard guard(router.relay.lock);
    std::move(kept.begin(), kept.end(), std::back_inserter(router.relay.waiting));
}

auto setRelayed(router_process &router, bool relayed) -> void
{
    if (router.relayed.exchange(relayed) == relayed || relayed)
        return;
    logEvent(log_level::Info, "news_from_store", {});
    for (const auto &follower : router.followers)
        wakeFollower(follower);
}

auto isStoreAway(router_process &router) -> bool
{
    const std::lock_guard guard(router.directory.lock);
    return router.directory.storeAwaySince.has_value();
}

// Without a leader the owners are read from the store now and then.
auto readOwners(router_process &router) -> void
{
    if (isStoreAway(router))
        return;
    {
        const auto now = monotonicNow();
        const std::lock_guard guard(router.relay.lock);
        if (now < router.relay.nextOwnersRead)
            return;
        router.relay.nextOwnersRead = now + ownersReadPeriod;
    }
    listItems(router.store, std::string(ownersPrefix), [&router](const result<store_items> &ended) {
        countStoreCall(router.counted, "range", ended.has_value());
        if (!ended)
            return;
        noteStoreSeen(router);
        for (const auto &item : ended->items) {
            auto table = decodeOwnership(item.value);
            if (table)
                adoptOwnership(router, std::move(*table), table_source::Store);
            else
                logEvent(log_level::Error, "ownership_unreadable",
                         {{"key", item.key}, {"detail", table.error().detail}});
        }
    });
}

// A change that does not fit asks for the whole table with the next call.
auto takeOwnerChange(router_process &router, const wire::OwnershipChange &message) -> void
{
    auto change = fromWire(message);
    result<ownership_table> table = failure(error_code::InvalidInput, "unreadable");
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
        logEvent(log_level::Warn, "owner_change_not_applied",
                 {{"service", message.service()},
                  {"base", std::to_string(message.base())},
                  {"detail", table.error().detail}});
}

// Returns false for news that can't be read.
auto takeChanges(router_process &router, const wire::PrefixChanges &changes) -> bool
{
    prefix_news news;
    news.at = changes.at();
    news.whole = changes.whole();
    news.unchanged.assign(changes.unchanged().begin(), changes.unchanged().end());
    for (const auto &message : changes.items()) {
        auto item = decodeItem(message);
        if (!item) {
            logEvent(log_level::Error, "news_unreadable",
                     {{"key", message.key()}, {"detail", item.error().detail}});
            return false;
        }
        news.items.push_back(std::move(*item));
    }
    for (const auto &follower : router.followers) {
        if (follower->prefix == changes.prefix())
            takeNews(follower, news);
    }
    return true;
}

auto takeReply(router_process &router, const wire::SyncReply &reply) -> bool
{
    auto readable = true;
    for (const auto &change : reply.owner_changes())
        takeOwnerChange(router, change);
    for (const auto &changes : reply.changes())
        readable = takeChanges(router, changes) && readable;
    for (const auto &record : reply.owners()) {
        auto table = decodeOwnership(record);
        if (table)
            adoptOwnership(router, std::move(*table), table_source::Leader);
        else
            logEvent(log_level::Error, "ownership_unreadable", {{"detail", table.error().detail}});
    }
    return readable;
}

auto makeRequest(router_process &router, bool first) -> wire::SyncRequest
{
    auto request = takeWorkReport(router);
    request.set_wait_us((first ? firstSyncWait : syncWait).count());
    request.set_patient(first);
    for (const auto &follower : router.followers) {
        auto *position = request.add_positions();
        position->set_prefix(follower->prefix);
        position->set_at(positionOf(*follower));
    }
    const std::lock_guard guard(router.ownership.lock);
    for (const auto &[service, known] : router.ownership.services) {
        auto *version = request.add_owners();
        version->set_service(service);
        version->set_led_since(known.table->leaderRevision);
        version->set_sequence(known.table->sequence);
        version->set_whole(!known.fromLeader);
    }
    return request;
}

auto relayOnce(router_process &router) -> void;

auto relayAgain(router_process &router, duration pause) -> void
{
    postAfter(*router.workers, pause, [&router] {
        if (!router.stopping)
            relayOnce(router);
    });
}

auto readHosts(router_process &router) -> void
{
    if (!mayReadHosts(router))
        return;
    for (const auto &follower : router.followers) {
        if (follower->prefix == livePrefix)
            beginFollowing(follower);
    }
}

auto goOnAlone(router_process &router) -> void
{
    setRelayed(router, false);
    if (leadsNow(router))
        noteSync(router, takeWorkReport(router));
    else
        readOwners(router);
    relayAgain(router, leaderLook);
}

auto noteSyncEnd(router_process &router, const news_source &source,
                 const result<wire::SyncReply> &ended) -> void
{
    if (ended && ended->current() && takeReply(router, *ended)) {
        noteSource(router, source.id);
        setRelayed(router, true);
        relayAgain(router, 0us);
        return;
    }
    if (isConnecting(router, ended)) {
        relayAgain(router, connectPause);
        return;
    }
    noteSourceLost(router, source.id,
                   ended ? "has no news, or none that can be read" : ended.error().detail);
    relayAgain(router, 0us);
}

auto relayOnce(router_process &router) -> void
{
    const auto source = nextSource(router);
    if (!source) {
        if (waitsForOthers(router)) {
            readHosts(router);
            relayAgain(router, leaderLook);
        } else {
            goOnAlone(router);
        }
        return;
    }
    auto first = true;
    {
        const std::lock_guard guard(router.relay.lock);
        first = router.relay.source != source->id;
    }
    callSync(router.peers, source->address, makeRequest(router, first),
             (first ? firstSyncWait : syncWait) + syncSlack,
             [&router, source](const result<wire::SyncReply> &ended) {
                 noteSyncEnd(router, *source, ended);
             });
}

} // namespace

auto beginRelay(router_process &router) -> void
{
    beginPatience(router);
    relayAgain(router, connectPause);
}

auto answerSync(router_process &router, wire::SyncRequest request,
                peer_responder<wire::SyncReply> respond) -> void
{
    noteSync(router, request);
    auto reply = makeReply(router, request);
    if (hasNews(request, reply)) {
        respond(std::move(reply));
        return;
    }
    const auto until = monotonicNow() + duration(request.wait_us());
    const std::lock_guard guard(router.relay.lock);
    router.relay.waiting.push_back({std::move(request), std::move(respond), until});
}

auto planFlush(router_process &router) -> void
{
    std::size_t hosts = 0;
    {
        const std::lock_guard guard(router.relay.lock);
        hosts = router.relay.waiting.size();
        if (hosts == 0 || std::exchange(router.relay.flushPlanned, true))
            return;
    }
    const auto pause = std::clamp<duration>(flushPausePerHost * static_cast<std::int64_t>(hosts),
                                            leastFlushPause, mostFlushPause);
    postAfter(*router.workers, pause, [&router] { flushWaiting(router); });
}

auto answerExpiredWaits(router_process &router) -> void
{
    const auto current = mayPassOn(router);
    {
        const auto now = monotonicNow();
        const std::lock_guard guard(router.relay.lock);
        const auto due = std::any_of(
                router.relay.waiting.begin(), router.relay.waiting.end(), [&](const auto &host) {
                    return now >= host.until || host.asked.patient() == current;
                });
        if (!due)
            return;
    }
    flushWaiting(router);
}

} // namespace parsleyloft
