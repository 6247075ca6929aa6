// Follows all keys of the platform's store under one prefix.
#include "router/store_follower.h"

#include "decisions/server_directory.h"
#include "platform/site_decoder.h"
#include "router/update_source.h"
#include "router/update_sync.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <random>

namespace parsleyloft {

namespace {

// The store answers a watch this long after the view was last known to be complete, if nothing
// changes. Only the lack of that answer shows that a watch is lost, so the time bounds how long
// changes can be missed.
constexpr duration viewCheckInterval = 600ms;
// For this long after it was known to be complete, a view counts as current. A lost watch and the
// full read that follows it fit in. Together with the change to another update source this stays
// under the 2 s in which requests to a leaving server must stop.
constexpr duration maxViewAge = 1300ms;
constexpr duration minRetryDelay = 100ms;
constexpr duration maxRetryDelay = 1s;
constexpr std::uint32_t maxDoublings = 5;
// Consecutive failures after which a follower waits until the store answers another call.
constexpr std::uint32_t maxRetries = 3;
// Followers resume at different times, so that the store does not get all their calls at once.
constexpr duration resumeSpread = 200ms;
// Far below the 2 s within which requests to a leaving server must stop.
constexpr duration watchDelayPerHost = 5ms;
constexpr duration maxWatchDelay = 300ms;
// Announcements of servers do not lapse in outages shorter than this.
constexpr duration minLapsingOutage = 500ms;
// Announcements lapse after three intervals of at least 0.87 s without one.
constexpr duration maxViewGap = 2s;
// Servers whose announcements lapsed in an outage announce themselves again within about 2 s.
constexpr duration announcementGrace = 2200ms;
// Changes that are kept for sync requests: some seconds of a release of all servers.
constexpr std::size_t maxRecentChanges = 1000;

using shared_follower = std::shared_ptr<store_follower>;

struct begun_watch
{
    std::uint64_t number = 0;
    store_revision after = 0;
    duration wait = 0us;
    host_time sentAt;
};

auto beginListing(const shared_follower &self) -> void;
auto beginWatch(const shared_follower &self) -> void;

// When the view of the prefix was last known to be complete.
auto lastCompleteTime(router_process &router, std::string_view prefix) -> std::optional<host_time>
{
    const auto follower = findFollower(router, prefix);
    if (!follower)
        return std::nullopt;
    const std::lock_guard guard(follower->lock);
    return follower->completeAt;
}

// A random duration from half to one and a half of the length.
auto jittered(duration length) -> duration
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    const auto spread = static_cast<std::uint64_t>(std::max<std::int64_t>(length.count(), 1));
    return length / 2 + duration(static_cast<std::int64_t>(random() % spread));
}

auto markStoreUnreachable(router_process &router, const error &cause) -> void
{
    const auto viewCompleteAt = lastCompleteTime(router, serversPrefix);
    const std::lock_guard guard(router.directory.lock);
    if (router.directory.storeUnreachableSince)
        return;
    router.directory.storeUnreachableSince = monotonicNow();
    router.directory.viewBeforeOutage = viewCompleteAt;
    logEvent(log_level::Warn, "dependency_lost",
             {{"dependency", "store"},
              {"code", std::string(nameIn(errorCodeNames, cause.code))},
              {"detail", cause.detail}});
}

auto retryLater(const shared_follower &self, const error &cause,
                void (*call)(const shared_follower &)) -> void
{
    std::uint32_t failures = 0;
    {
        const std::lock_guard guard(self->lock);
        failures = ++self->failures;
        // The next successful renewal of the lease shows that the store is back. A renewal costs a
        // tenth of such a call.
        if (failures >= maxRetries)
            self->resume = call;
    }
    // A single failed watch is common. The next call shows whether the store is unreachable.
    if (failures > 1)
        markStoreUnreachable(self->router, cause);
    if (failures >= maxRetries)
        return;
    const auto doubled = minRetryDelay * (1 << std::min(failures, maxDoublings));
    postAfter(*self->router.workers, jittered(std::min(doubled, maxRetryDelay)), [self, call] {
        if (!self->router.stopping)
            call(self);
    });
}

// Resumes the followers that wait until the store answers.
auto resumeFollowers(router_process &router) -> void
{
    for (const auto &follower : router.followers) {
        void (*call)(const shared_follower &) = nullptr;
        {
            const std::lock_guard guard(follower->lock);
            call = std::exchange(follower->resume, nullptr);
        }
        if (call == nullptr)
            continue;
        postAfter(*router.workers, jittered(resumeSpread), [follower, call] {
            if (!follower->router.stopping)
                call(follower);
        });
    }
}

// While no host serves updates, all hosts may watch the store. Each of them then watches less
// often, to bound the load on the store.
auto nextWatchDelay(store_follower &self) -> duration
{
    std::size_t hosts = 0;
    {
        const std::lock_guard guard(self.router.members.lock);
        hosts = self.router.members.hosts.size();
    }
    const std::lock_guard guard(self.router.updateSync.lock);
    if (!self.router.updateSync.waiting.empty())
        return self.watchDelay;
    const auto fleetDelay = watchDelayPerHost * static_cast<std::int64_t>(hosts);
    return std::max(self.watchDelay, std::min<duration>(fleetDelay, maxWatchDelay));
}

// Stores the item and calls the handler, unless a later state of the key is known.
auto applyItem(store_follower &self, const store_item &item) -> void
{
    const auto known = self.items.find(item.key);
    if (known != self.items.end() && known->second.position >= item.position)
        return;
    if (known == self.items.end() && item.deleted && item.position <= self.historyStart)
        return;
    self.items[item.key] = item;
    self.recentChanges.push_back(item);
    if (self.recentChanges.size() > maxRecentChanges) {
        self.historyStart = self.recentChanges.front().position;
        self.recentChanges.pop_front();
    }
    self.handlers.onItem(item);
}

auto applyFullState(store_follower &self, const prefix_updates &updates) -> void
{
    if (updates.position.era < self.position.era)
        return;
    std::set<std::string> present(updates.unchanged.begin(), updates.unchanged.end());
    for (const auto &item : updates.items) {
        present.insert(item.key);
        applyItem(self, item);
    }
    // The updates may have been under way while later ones arrived, and show nothing about those.
    std::erase_if(self.items, [&](const auto &entry) {
        return !present.contains(entry.first) && entry.second.position <= updates.position;
    });
    for (const auto &[key, item] : self.items) {
        if (item.deleted)
            present.erase(key);
        else
            present.insert(key);
    }
    // Deletions that were missed are not among the recent changes, so a host with an older position
    // needs full updates.
    self.recentChanges.clear();
    self.position = std::max(self.position, updates.position);
    self.historyStart = self.position;
    self.listed = true;
    self.handlers.onListed(present);
}

// False when the sender assumes that this host has a key which it does not have.
auto hasUnchangedKeys(const store_follower &self, const prefix_updates &updates) -> bool
{
    return std::all_of(updates.unchanged.begin(), updates.unchanged.end(), [&](const auto &key) {
        const auto found = self.items.find(key);
        return found != self.items.end() && !found->second.deleted;
    });
}

// Called with the follower's lock held.
auto confirm(store_follower &self, const host_time &completeAt) -> void
{
    self.confirmed = true;
    if (!self.completeAt || timeSince(*self.completeAt, completeAt) > maxViewGap)
        self.unbrokenSince = completeAt;
    self.completeAt = completeAt;
    if (self.prefix == serversPrefix)
        self.router.directory.confirmed = true;
}

auto handleListing(const shared_follower &self, const store_items &found, const host_time &sentAt)
        -> void
{
    recordStoreAnswer(self->router);
    {
        const std::lock_guard guard(self->lock);
        self->failures = 0;
        confirm(*self, sentAt);
        applyFullState(*self, {found.items, {}, found.position, true});
    }
    scheduleUpdateFlush(self->router);
    beginWatch(self);
}

// The time for which the answer to a watch shows that no earlier change is missing: an answer
// without changes comes when the wait is over, one with changes may have been under way for long.
auto completeTimeShownBy(const begun_watch &begun, const store_items &events) -> host_time
{
    if (!events.items.empty())
        return begun.sentAt;
    const auto now = hostTimeNow();
    const auto waited = std::min(begun.wait, timeSince(begun.sentAt, now));
    return timeAfter(begun.sentAt, waited);
}

auto handleEvents(const shared_follower &self, const begun_watch &begun, const store_items &events)
        -> void
{
    recordStoreAnswer(self->router);
    {
        const std::lock_guard guard(self->lock);
        self->failures = 0;
        // Changes before the events are missing when they are of a newer era. The next watch then
        // becomes a full read.
        if (events.position.era != self->position.era) {
            post(*self->router.workers, [self] { beginWatch(self); });
            return;
        }
        confirm(*self, completeTimeShownBy(begun, events));
        for (const auto &item : events.items)
            applyItem(*self, item);
        self->position = std::max(self->position, events.position);
    }
    if (!events.items.empty())
        scheduleUpdateFlush(self->router);
    postAfter(*self->router.workers, nextWatchDelay(*self), [self] {
        if (!self->router.stopping)
            beginWatch(self);
    });
}

auto logFailedCall(const store_follower &self, std::string_view call, const error &cause,
                   const host_time &sentAt) -> void
{
    const auto took = timeSince(sentAt, hostTimeNow());
    logEvent(log_level::Info, "follow_call_failed",
             {{"prefix", self.prefix},
              {"call", std::string(call)},
              {"code", std::string(nameIn(errorCodeNames, cause.code))},
              {"detail", cause.detail},
              {"took_ms", std::to_string(toMilliseconds(took))}});
}

auto beginListing(const shared_follower &self) -> void
{
    const auto sentAt = hostTimeNow();
    listItems(self->router.store, self->prefix,
              [self, sentAt](const result<store_items> &response) {
                  countStoreCall(self->router.metrics, "range", response.has_value());
                  if (response) {
                      handleListing(self, *response, sentAt);
                      return;
                  }
                  logFailedCall(*self, "range", response.error(), sentAt);
                  retryLater(self, response.error(), beginListing);
              });
}

// Makes the follower idle while another host sends updates. Returns true in that case.
auto idleIfUpdated(store_follower &self) -> bool
{
    const std::lock_guard guard(self.lock);
    self.idle = self.router.usesUpdateSource;
    return self.idle;
}

// Returns nothing when the store has to be read anew, because the revisions of an older era do not
// tell what has changed.
auto startWatch(store_follower &self) -> std::optional<begun_watch>
{
    const std::lock_guard guard(self.lock);
    if (self.position.era != currentEra(self.router.store))
        return std::nullopt;
    self.watch = ++self.lastWatch;
    const auto now = hostTimeNow();
    const auto age = self.completeAt ? timeSince(*self.completeAt, now) : viewCheckInterval;
    const auto wait = std::max(viewCheckInterval - age, 0us);
    return begun_watch{self.watch, self.position.revision, wait, now};
}

// Returns false if the watch was abandoned.
auto endWatch(store_follower &self, std::uint64_t number) -> bool
{
    const std::lock_guard guard(self.lock);
    if (self.watch != number)
        return false;
    self.watch = 0;
    return true;
}

auto beginWatch(const shared_follower &self) -> void
{
    if (idleIfUpdated(*self))
        return;
    const auto begun = startWatch(*self);
    if (!begun) {
        beginListing(self);
        return;
    }
    watchItems(self->router.watches, self->prefix, begun->after, begun->wait,
               [self, begun = *begun](const result<store_items> &response) {
                   countStoreCall(self->router.metrics, "watch", response.has_value());
                   if (!endWatch(*self, begun.number))
                       return;
                   if (response) {
                       handleEvents(self, begun, *response);
                   } else if (response.error().code == error_code::HistoryLost) {
                       logEvent(log_level::Info, "store_history_lost",
                                {{"prefix", self->prefix}, {"after", std::to_string(begun.after)}});
                       beginListing(self);
                   } else {
                       logFailedCall(*self, "watch", response.error(), begun.sentAt);
                       // A store that holds back the answers to watches answers reads.
                       if (response.error().code == error_code::TimedOut)
                           beginListing(self);
                       else
                           retryLater(self, response.error(), beginWatch);
                   }
               });
}

} // namespace

auto makeFollower(router_process &router, const std::string &prefix, duration watchDelay,
                  follower_handlers handlers) -> std::shared_ptr<store_follower>
{
    return std::shared_ptr<store_follower>(
            new store_follower{router, prefix, watchDelay, std::move(handlers), {}, {}, {}});
}

auto findFollower(router_process &router, std::string_view prefix)
        -> std::shared_ptr<store_follower>
{
    const auto &followers = router.followers;
    const auto found =
            std::find_if(followers.begin(), followers.end(),
                         [prefix](const auto &follower) { return follower->prefix == prefix; });
    return found == followers.end() ? nullptr : *found;
}

auto beginEarlyListing(const std::shared_ptr<store_follower> &follower) -> void
{
    listItems(follower->router.store, follower->prefix,
              [follower](const result<store_items> &response) {
                  countStoreCall(follower->router.metrics, "range", response.has_value());
                  if (!response) {
                      logEvent(log_level::Info, "early_read_failed",
                               {{"prefix", follower->prefix}, {"detail", response.error().detail}});
                      return;
                  }
                  const std::lock_guard guard(follower->lock);
                  if (!follower->listed)
                      applyFullState(*follower, {response->items, {}, response->position, true});
              });
}

auto confirmFollowers(router_process &router, const host_time &completeAt) -> void
{
    for (const auto &follower : router.followers) {
        const std::lock_guard guard(follower->lock);
        if (follower->listed)
            confirm(*follower, completeAt);
    }
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
    return follower.confirmed && follower.failures == 0 && !follower.idle
            && follower.position.era == currentEra(follower.router.store) && follower.completeAt
            && timeSince(*follower.completeAt, hostTimeNow()) <= maxViewAge;
}

auto isConfirmed(store_follower &follower) -> bool
{
    const std::lock_guard guard(follower.lock);
    return follower.confirmed && follower.position.era == currentEra(follower.router.store);
}

auto isOfOlderEra(store_follower &follower) -> bool
{
    return followedPosition(follower).era < currentEra(follower.router.store);
}

auto viewAge(store_follower &follower) -> duration
{
    const std::lock_guard guard(follower.lock);
    return follower.completeAt ? timeSince(*follower.completeAt, hostTimeNow()) : duration::max();
}

auto unbrokenTime(store_follower &follower) -> duration
{
    const auto now = hostTimeNow();
    const std::lock_guard guard(follower.lock);
    if (!follower.completeAt || timeSince(*follower.completeAt, now) > maxViewGap)
        return 0us;
    return now.monotonic - follower.unbrokenSince->monotonic;
}

auto followedPosition(store_follower &follower) -> store_position
{
    const std::lock_guard guard(follower.lock);
    return follower.position;
}

auto updatesSince(store_follower &follower, store_position position) -> prefix_updates
{
    prefix_updates updates;
    const std::lock_guard guard(follower.lock);
    updates.position = follower.position;
    if (position < follower.historyStart) {
        updates.full = true;
        for (const auto &[key, item] : follower.items) {
            if (item.deleted)
                continue;
            if (item.position > position)
                updates.items.push_back(item);
            else
                updates.unchanged.push_back(key);
        }
        return updates;
    }
    for (const auto &item : follower.recentChanges) {
        // Only the latest state of each key is sent: a long value may change several times within a
        // second.
        if (item.position > position && follower.items.at(item.key).position == item.position)
            updates.items.push_back(item);
    }
    return updates;
}

auto applyUpdates(const std::shared_ptr<store_follower> &follower, const prefix_updates &updates)
        -> void
{
    const std::lock_guard guard(follower->lock);
    if (updates.full && !hasUnchangedKeys(*follower, updates)) {
        logEvent(log_level::Warn, "store_update_mismatch",
                 {{"prefix", follower->prefix},
                  {"at", std::to_string(follower->position.revision)}});
        // The next sync request asks for all items.
        follower->position = {};
        return;
    }
    if (updates.full) {
        applyFullState(*follower, updates);
        return;
    }
    if (updates.position.era != follower->position.era) {
        // The next sync request asks for all items.
        if (updates.position.era > follower->position.era)
            follower->position = {};
        return;
    }
    for (const auto &item : updates.items)
        applyItem(*follower, item);
    follower->position = std::max(follower->position, updates.position);
}

auto resumeWatching(const std::shared_ptr<store_follower> &follower) -> void
{
    auto confirmed = false;
    {
        const std::lock_guard guard(follower->lock);
        if (!std::exchange(follower->idle, false))
            return;
        confirmed = follower->confirmed;
    }
    if (confirmed)
        beginWatch(follower);
    else
        beginListing(follower);
}

auto restartFollowers(router_process &router, duration delay) -> void
{
    for (const auto &follower : router.followers) {
        {
            const std::lock_guard guard(follower->lock);
            follower->completeAt.reset();
            follower->unbrokenSince.reset();
            const auto watching = std::exchange(follower->watch, 0) != 0;
            const auto waiting = std::exchange(follower->resume, nullptr) != nullptr;
            if (!watching && !waiting)
                continue;
        }
        postAfter(*router.workers, delay, [follower] {
            if (!follower->router.stopping)
                beginWatch(follower);
        });
    }
}

auto recordStoreAnswer(router_process &router) -> void
{
    const auto now = monotonicNow();
    resumeFollowers(router);
    {
        const std::lock_guard guard(router.directory.lock);
        if (!router.directory.storeUnreachableSince)
            return;
        const auto outage = now - *router.directory.storeUnreachableSince;
        router.directory.storeUnreachableSince.reset();
        if (outage >= minLapsingOutage) {
            startGracePeriod(router.directory.directory, announcementGrace, now);
            router.directory.graceSinceView = router.directory.viewBeforeOutage;
        }
        logEvent(log_level::Info, "dependency_recovered",
                 {{"dependency", "store"}, {"outage_ms", std::to_string(toMilliseconds(outage))}});
    }
    // Whatever cut this host off may have kept it from its update sources too.
    clearSourceSuspicions(router);
}

} // namespace parsleyloft
