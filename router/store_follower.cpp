// Follows all keys of the platform's store under one prefix.
#include "router/store_follower.h"

#include "decisions/server_directory.h"
#include "router/relay.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <random>

namespace parsleyloft {

namespace {

// A watch that the store took and then lost says nothing until its time is over, so that the
// time bounds how long news can be missed. It is shorter while such losses are likely.
constexpr duration watchWait = 4s;
constexpr duration watchWaitAfterTrouble = 600ms;
constexpr duration troubleLasts = 8s;
constexpr duration firstRetry = 100ms;
constexpr duration longestRetry = 1s;
constexpr std::uint32_t mostDoublings = 5;
// Calls of a follower that fail in a row before it waits for the store to be seen again.
constexpr std::uint32_t mostRetries = 3;
constexpr duration resumeSpread = 200ms;
// Far below the 2 s in which a leaving server has to be spared.
constexpr duration watchPausePerHost = 5ms;
constexpr duration longestWatchPause = 300ms;
// Outages shorter than this lapse no announcement.
constexpr duration noticedOutage = 500ms;
// Servers that lapsed in an outage announce themselves again within about two seconds.
constexpr duration returnGrace = 2200ms;
// Changes that are kept for hosts that ask: some seconds of a whole release.
constexpr std::size_t keptChanges = 1000;

using shared_follower = std::shared_ptr<store_follower>;

auto beginListing(const shared_follower &self) -> void;
auto beginWatch(const shared_follower &self) -> void;

auto jittered(duration length) -> duration
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    const auto spread = static_cast<std::uint64_t>(std::max<std::int64_t>(length.count(), 1));
    return length / 2 + duration(static_cast<std::int64_t>(random() % spread));
}

auto noteStoreAway(router_process &router, const error &why) -> void
{
    const std::lock_guard guard(router.directory.lock);
    if (router.directory.storeAwaySince)
        return;
    router.directory.storeAwaySince = monotonicNow();
    logEvent(log_level::Warn, "dependency_lost",
             {{"dependency", "store"},
              {"code", std::string(nameIn(errorCodeNames, why.code))},
              {"detail", why.detail}});
}

auto retryLater(const shared_follower &self, const error &why,
                void (*again)(const shared_follower &)) -> void
{
    noteStoreTrouble(self->router);
    std::uint32_t failures = 0;
    {
        const std::lock_guard guard(self->lock);
        failures = ++self->failures;
        // Renewals of the lease tell when the store is back, at a tenth of a call's price.
        if (failures >= mostRetries)
            self->whenSeen = again;
    }
    // A single cut watch is ordinary; the next call tells whether the store is away.
    if (failures > 1)
        noteStoreAway(self->router, why);
    if (failures >= mostRetries)
        return;
    const auto doubled = firstRetry * (1 << std::min(failures, mostDoublings));
    postAfter(*self->router.workers, jittered(std::min(doubled, longestRetry)), [self, again] {
        if (!self->router.stopping)
            again(self);
    });
}

// Goes on with the followers that wait for the store.
auto resumeFollowers(router_process &router) -> void
{
    for (const auto &follower : router.followers) {
        void (*again)(const shared_follower &) = nullptr;
        {
            const std::lock_guard guard(follower->lock);
            again = std::exchange(follower->whenSeen, nullptr);
        }
        if (again == nullptr)
            continue;
        postAfter(*router.workers, jittered(resumeSpread), [follower, again] {
            if (!follower->router.stopping)
                again(follower);
        });
    }
}

// The whole fleet may watch while nobody passes news on: then each host watches less often.
auto pauseBeforeWatch(store_follower &self) -> duration
{
    std::size_t hosts = 0;
    {
        const std::lock_guard guard(self.router.members.lock);
        hosts = self.router.members.hosts.size();
    }
    const std::lock_guard guard(self.router.relay.lock);
    if (!self.router.relay.waiting.empty())
        return self.pause;
    const auto shared = watchPausePerHost * static_cast<std::int64_t>(hosts);
    return std::max(self.pause, std::min<duration>(shared, longestWatchPause));
}

// Keeps the item and hands it on, unless it is older than what is known.
auto applyItem(store_follower &self, const store_item &item) -> void
{
    const auto known = self.items.find(item.key);
    if (known != self.items.end() && known->second.revision >= item.revision)
        return;
    if (known == self.items.end() && item.deleted && item.revision <= self.since)
        return;
    self.items[item.key] = item;
    self.recent.push_back(item);
    if (self.recent.size() > keptChanges) {
        self.since = self.recent.front().revision;
        self.recent.pop_front();
    }
    self.handlers.onItem(item);
}

auto applyWhole(store_follower &self, const prefix_news &news) -> void
{
    std::set<std::string> present(news.unchanged.begin(), news.unchanged.end());
    for (const auto &item : news.items) {
        present.insert(item.key);
        applyItem(self, item);
    }
    std::erase_if(self.items, [&](const auto &one) { return !present.contains(one.first); });
    // Keys that went unseen leave no change behind: whoever is older reads the whole.
    self.recent.clear();
    self.at = std::max(self.at, news.at);
    self.since = self.at;
    self.listed = true;
    self.handlers.onListed(present);
}

// False when another host takes a key for known here that is not.
auto knowsUnchanged(const store_follower &self, const prefix_news &news) -> bool
{
    return std::all_of(news.unchanged.begin(), news.unchanged.end(), [&](const auto &key) {
        const auto found = self.items.find(key);
        return found != self.items.end() && !found->second.deleted;
    });
}

auto takeListing(const shared_follower &self, const store_items &found) -> void
{
    noteStoreSeen(self->router);
    {
        const std::lock_guard guard(self->lock);
        self->failures = 0;
        applyWhole(*self, {found.items, {}, found.at, true});
    }
    planFlush(self->router);
    beginWatch(self);
}

auto takeEvents(const shared_follower &self, const store_items &heard) -> void
{
    noteStoreSeen(self->router);
    {
        const std::lock_guard guard(self->lock);
        self->failures = 0;
        for (const auto &item : heard.items)
            applyItem(*self, item);
        self->at = std::max(self->at, heard.at);
    }
    if (!heard.items.empty())
        planFlush(self->router);
    postAfter(*self->router.workers, pauseBeforeWatch(*self), [self] {
        if (!self->router.stopping)
            beginWatch(self);
    });
}

auto beginListing(const shared_follower &self) -> void
{
    listItems(self->router.store, self->prefix, [self](const result<store_items> &ended) {
        countStoreCall(self->router.counted, "range", ended.has_value());
        if (ended)
            takeListing(self, *ended);
        else
            retryLater(self, ended.error(), beginListing);
    });
}

// Leaves the watching to the leader while that passes on the news.
auto restIfRelayed(store_follower &self) -> bool
{
    const std::lock_guard guard(self.lock);
    self.idle = self.router.relayed;
    return self.idle;
}

auto beginWatch(const shared_follower &self) -> void
{
    if (restIfRelayed(*self))
        return;
    const auto after = positionOf(*self);
    const auto calmFor = monotonicNow() - fromMicroseconds(self->router.storeTroubleAt);
    const auto wait = calmFor < troubleLasts ? watchWaitAfterTrouble : watchWait;
    watchItems(self->router.watches, self->prefix, after, wait,
               [self, after](const result<store_items> &ended) {
                   countStoreCall(self->router.counted, "watch", ended.has_value());
                   if (ended) {
                       takeEvents(self, *ended);
                   } else if (ended.error().code == error_code::HistoryLost) {
                       logEvent(log_level::Info, "store_history_lost",
                                {{"prefix", self->prefix}, {"after", std::to_string(after)}});
                       beginListing(self);
                   } else {
                       retryLater(self, ended.error(), beginWatch);
                   }
               });
}

} // namespace

auto makeFollower(router_process &router, const std::string &prefix, duration pause,
                  follower_handlers handlers) -> std::shared_ptr<store_follower>
{
    return std::shared_ptr<store_follower>(
            new store_follower{router, prefix, pause, std::move(handlers), {}, {}, {}});
}

auto beginFollowing(const std::shared_ptr<store_follower> &follower) -> void
{
    {
        const std::lock_guard guard(follower->lock);
        follower->idle = false;
    }
    beginListing(follower);
}

auto isCurrent(store_follower &follower) -> bool
{
    const std::lock_guard guard(follower.lock);
    return follower.listed && follower.failures == 0 && !follower.idle;
}

auto positionOf(store_follower &follower) -> store_revision
{
    const std::lock_guard guard(follower.lock);
    return follower.at;
}

auto newsSince(store_follower &follower, store_revision position) -> prefix_news
{
    prefix_news news;
    const std::lock_guard guard(follower.lock);
    news.at = follower.at;
    if (position < follower.since) {
        news.whole = true;
        for (const auto &[key, item] : follower.items) {
            if (item.deleted)
                continue;
            if (item.revision > position)
                news.items.push_back(item);
            else
                news.unchanged.push_back(key);
        }
        return news;
    }
    for (const auto &item : follower.recent) {
        // Only the latest of each key: long values may follow one another within a second.
        if (item.revision > position && follower.items.at(item.key).revision == item.revision)
            news.items.push_back(item);
    }
    return news;
}

auto takeNews(const std::shared_ptr<store_follower> &follower, const prefix_news &news) -> void
{
    const std::lock_guard guard(follower->lock);
    if (news.whole && !knowsUnchanged(*follower, news)) {
        logEvent(log_level::Warn, "news_do_not_fit",
                 {{"prefix", follower->prefix}, {"at", std::to_string(follower->at)}});
        // The next call asks for everything.
        follower->at = 0;
        return;
    }
    if (news.whole) {
        applyWhole(*follower, news);
        return;
    }
    for (const auto &item : news.items)
        applyItem(*follower, item);
    follower->at = std::max(follower->at, news.at);
}

auto wakeFollower(const std::shared_ptr<store_follower> &follower) -> void
{
    // Whoever passed the news on may have lost the store.
    noteStoreTrouble(follower->router);
    auto listed = false;
    {
        const std::lock_guard guard(follower->lock);
        if (!std::exchange(follower->idle, false))
            return;
        listed = follower->listed;
    }
    if (listed)
        beginWatch(follower);
    else
        beginListing(follower);
}

auto noteStoreTrouble(router_process &router) -> void
{
    router.storeTroubleAt = toMicroseconds(monotonicNow());
}

auto noteStoreSeen(router_process &router) -> void
{
    const auto now = monotonicNow();
    router.storeSeenAt = toMicroseconds(now);
    resumeFollowers(router);
    const std::lock_guard guard(router.directory.lock);
    if (!router.directory.storeAwaySince)
        return;
    const auto away = now - *router.directory.storeAwaySince;
    router.directory.storeAwaySince.reset();
    if (away >= noticedOutage)
        startGracePeriod(router.directory.directory, returnGrace, now);
    logEvent(log_level::Info, "dependency_regained",
             {{"dependency", "store"}, {"away_ms", std::to_string(toMilliseconds(away))}});
}

} // namespace parsleyloft
