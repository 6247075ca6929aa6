// Store updates sent from the follower of one host to the follower of another.
#include "router/store_follower.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct two_followers
{
    two_followers()
    {
        handlers.onItem = [this](const store_item &item) { receivedKeys.push_back(item.key); };
        handlers.onListed = [this](const std::set<std::string> &present) { listed = present; };
        const follower_handlers ignoring{[](const store_item &) {}, [](const auto &) {}};
        source = makeFollower(router, "op/", 1ms, ignoring);
        host = makeFollower(router, "op/", 1ms, handlers);
        applyUpdates(source, {{{"op/a", "a1", {0, 5}}, {"op/b", "b1", {0, 6}}}, {}, {0, 10}, true});
    }

    auto change(const std::string &key, const std::string &value, store_revision revision,
                bool deleted = false) -> void
    {
        applyUpdates(source, {{{key, value, {0, revision}, deleted}}, {}, {0, revision}, false});
    }

    // A full read, as after the store has lost its history.
    auto readAll(std::vector<store_item> items, store_revision revision) -> void
    {
        applyUpdates(source, {std::move(items), {}, {0, revision}, true});
    }

    auto sync() -> prefix_updates
    {
        auto updates = updatesSince(*source, followedPosition(*host));
        applyUpdates(host, updates);
        return updates;
    }

    auto valueAt(const std::string &key) -> std::string
    {
        const auto found = host->items.find(key);
        return found == host->items.end() || found->second.deleted ? "" : found->second.value;
    }

    router_process router;
    follower_handlers handlers;
    std::vector<std::string> receivedKeys;
    std::set<std::string> listed;
    std::shared_ptr<store_follower> source;
    std::shared_ptr<store_follower> host;
};

} // namespace

TEST_CASE_METHOD(two_followers, "host_without_items_receives_full_updates", "[updates]")
{
    const auto updates = sync();
    CHECK(updates.full);
    CHECK(updates.items.size() == 2);
    CHECK(valueAt("op/b") == "b1");
    CHECK(listed == std::set<std::string>{"op/a", "op/b"});
}

TEST_CASE_METHOD(two_followers, "key_written_several_times_is_sent_once", "[updates]")
{
    sync();
    for (store_revision revision = 11; revision < 20; ++revision)
        change("op/a", "a" + std::to_string(revision), revision);
    const auto updates = sync();
    CHECK(updates.items.size() == 1);
    CHECK(valueAt("op/a") == "a19");
    CHECK(sync().items.empty());
}

TEST_CASE_METHOD(two_followers, "full_updates_after_lost_history_omit_items_that_the_host_has",
                 "[updates]")
{
    sync();
    readAll({{"op/a", "a1", {0, 5}}, {"op/c", "c1", {0, 30}}}, 31);
    const auto updates = sync();
    CHECK(updates.full);
    CHECK(updates.items.size() == 1);
    CHECK(updates.unchanged == std::vector<std::string>{"op/a"});
    CHECK(valueAt("op/a") == "a1");
    CHECK(valueAt("op/b").empty());
    CHECK(valueAt("op/c") == "c1");
    CHECK(listed == std::set<std::string>{"op/a", "op/c"});
}

TEST_CASE_METHOD(two_followers, "host_that_lacks_an_unchanged_key_requests_all_items", "[updates]")
{
    sync();
    host->items.erase("op/a");
    readAll({{"op/a", "a1", {0, 5}}, {"op/b", "b1", {0, 6}}}, 31);
    sync();
    CHECK(followedPosition(*host) == store_position());
    sync();
    CHECK(valueAt("op/a") == "a1");
    CHECK(followedPosition(*host) == store_position{0, 31});
}

TEST_CASE_METHOD(two_followers, "deleted_key_is_deleted_at_the_host", "[updates]")
{
    sync();
    change("op/b", "", 12, true);
    CHECK(sync().items.size() == 1);
    CHECK(valueAt("op/b").empty());
}

} // namespace parsleyloft
