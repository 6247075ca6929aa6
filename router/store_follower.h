// Follows all keys of the platform's store under one prefix: a full read, then watches, and another
// full read when the store no longer has the history that a watch needs. Instead of watching, a
// follower can also apply updates sent by another host. When the store comes back from an older
// copy, everything is read anew: what the copy lacks leaves no trace in its history.
#pragma once

#include "core/host_time.h"
#include "router/router.h"

#include <deque>
#include <optional>

namespace parsleyloft {

struct follower_handlers
{
    // A key was written or deleted. Called in the order of revisions for each key.
    std::function<void(const store_item &)> onItem;
    // After a full read: the keys that exist now.
    std::function<void(const std::set<std::string> &)> onListed;
};

struct store_follower
{
    router_process &router;
    std::string prefix;
    // Delay before each further watch, so that changes that come close together arrive with one
    // call. It is longer at a host to which no other host sends sync requests.
    duration watchDelay;
    follower_handlers handlers;

    std::mutex lock;
    // All guarded by lock. The latest known state of each key.
    std::map<std::string, store_item> items;
    // The latest changes. Invariant: no change after the position historyStart is missing.
    std::deque<store_item> recentChanges;
    store_position historyStart{};
    // The position up to which the store has been followed.
    store_position position{};
    // The latest moment for which an answer about this prefix has shown that no earlier change is
    // missing. Empty until the prefix has been listed.
    std::optional<host_time> completeAt = std::nullopt;
    // Since when such answers have come without a gap in which announcements of servers could have
    // lapsed. Invariant: set together with completeAt.
    std::optional<host_time> unbrokenSince = std::nullopt;
    // True once all keys have been read.
    bool listed = false;
    // True once they are followed too, by a watch or by another host's updates.
    bool confirmed = false;
    // True while neither a watch nor a full read is under way.
    bool idle = true;
    // The number of the watch under way, or 0. The answer to an abandoned watch is ignored.
    std::uint64_t watch = 0;
    std::uint64_t lastWatch = 0;
    // Consecutive failed calls.
    std::uint32_t failures = 0;
    // The call to repeat once the store answers again, or null.
    void (*resume)(const std::shared_ptr<store_follower> &) = nullptr;
};

// Changes under one prefix after some position.
struct prefix_updates
{
    std::vector<store_item> items;
    // In full updates: the keys that exist and have not changed since the receiver's position.
    std::vector<std::string> unchanged;
    store_position position;
    // True when the items and the unchanged keys are all keys that exist.
    bool full = false;
};

// Creates a follower that is idle until beginFollowing or resumeWatching.
auto makeFollower(router_process &router, const std::string &prefix, duration watchDelay,
                  follower_handlers handlers) -> std::shared_ptr<store_follower>;

// The host's follower of a prefix, or null if it follows no such prefix.
auto findFollower(router_process &router, std::string_view prefix)
        -> std::shared_ptr<store_follower>;

// Reads all keys once, without following them. Ignored if the follower has received them meanwhile.
auto beginEarlyListing(const std::shared_ptr<store_follower> &follower) -> void;

// Records that another host's updates have reached every follower that has been listed. The updates
// are complete up to the given time at least.
auto confirmFollowers(router_process &router, const host_time &completeAt) -> void;

// Starts with a full read. The handlers are called by workers, one at a time.
auto beginFollowing(const std::shared_ptr<store_follower> &follower) -> void;

// True while the follower watches the prefix itself, and an answer of the newest era about this
// prefix has shown lately that no change is missing. Answers to other calls show nothing about it.
auto isCurrent(store_follower &follower) -> bool;

// True once the prefix has been listed in the newest era and is followed.
auto isConfirmed(store_follower &follower) -> bool;

// True when what the follower knows is of an older era than the newest one.
auto isOfOlderEra(store_follower &follower) -> bool;

// How long ago the view of the prefix was last known to be complete. The maximum if it never was.
auto viewAge(store_follower &follower) -> duration;

// For how long the view of the prefix has been kept up without a gap in which announcements of
// servers could have lapsed. 0 if it is not.
auto unbrokenTime(store_follower &follower) -> duration;

// The position up to which the follower has followed the store.
auto followedPosition(store_follower &follower) -> store_position;

// The changes after a position. Full updates when the follower no longer has all of these changes.
auto updatesSince(store_follower &follower, store_position position) -> prefix_updates;

// Applies updates sent by another host. Ignored if they are of an older era.
auto applyUpdates(const std::shared_ptr<store_follower> &follower, const prefix_updates &updates)
        -> void;

// Makes an idle follower watch the store itself.
auto resumeWatching(const std::shared_ptr<store_follower> &follower) -> void;

// Abandons watches under way and reads anew after the delay, unless another host has sent updates
// of the newest era until then.
auto restartFollowers(router_process &router, duration delay) -> void;

// Records that the store answered, and resumes the followers that wait for it. After an outage,
// entries that lapsed in it are kept for a grace period, and suspected update sources are asked
// again.
auto recordStoreAnswer(router_process &router) -> void;

} // namespace parsleyloft
