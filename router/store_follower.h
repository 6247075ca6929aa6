// Follows all keys of the platform's store under one prefix: a whole read, then watches, and
// a whole read again when a watch can't go on. News that another host passes on count alike.
#pragma once

#include "router/router.h"

#include <deque>

namespace parsleyloft {

struct follower_handlers
{
    // One key was written or has gone. Called in the order of revisions for each key.
    std::function<void(const store_item &)> onItem;
    // After a whole read: the keys that are there now.
    std::function<void(const std::set<std::string> &)> onListed;
};

struct store_follower
{
    router_process &router;
    std::string prefix;
    // Before each next watch, so that changes that come together arrive with one call. Longer at
    // a host that passes nothing on.
    duration pause;
    follower_handlers handlers;

    std::mutex lock;
    // All guarded by lock. What is there now, by key.
    std::map<std::string, store_item> items;
    // The latest changes. Invariant: none after the revision since is missing.
    std::deque<store_item> recent;
    store_revision since = 0;
    store_revision at = 0;
    bool listed = false;
    // True while neither a watch nor a whole read is under way.
    bool idle = true;
    std::uint32_t failures = 0;
    // What goes on once the store answers again.
    void (*whenSeen)(const std::shared_ptr<store_follower> &) = nullptr;
};

struct prefix_news
{
    std::vector<store_item> items;
    // With a whole: the other keys, which the host that asked knows as they are.
    std::vector<std::string> unchanged;
    store_revision at = 0;
    // True when the items and the unchanged keys are all there are.
    bool whole = false;
};

// A follower that has not begun yet.
auto makeFollower(router_process &router, const std::string &prefix, duration pause,
                  follower_handlers handlers) -> std::shared_ptr<store_follower>;

// Begins to follow. The handlers are called by workers, one at a time.
auto beginFollowing(const std::shared_ptr<store_follower> &follower) -> void;

// True when the follower's news are the store's, as far as this host can tell.
auto isCurrent(store_follower &follower) -> bool;

auto positionOf(store_follower &follower) -> store_revision;

// What has come after a position; empty when there is nothing.
auto newsSince(store_follower &follower, store_revision position) -> prefix_news;

// Takes in what another host passed on.
auto takeNews(const std::shared_ptr<store_follower> &follower, const prefix_news &news) -> void;

// Watches the store itself, unless it does so already.
auto wakeFollower(const std::shared_ptr<store_follower> &follower) -> void;

// Notes that a call on the store failed, or that another host may have lost it.
auto noteStoreTrouble(router_process &router) -> void;

// Notes that the store answered, and what its absence may have cost.
auto noteStoreSeen(router_process &router) -> void;

} // namespace parsleyloft
