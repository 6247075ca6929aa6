// News of the store as one host passes them on to another.
#include "router/store_follower.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct two_followers
{
    two_followers()
    {
        handlers.onItem = [this](const store_item &item) { heard.push_back(item.key); };
        handlers.onListed = [this](const std::set<std::string> &present) { listed = present; };
        const follower_handlers silent{[](const store_item &) {}, [](const auto &) {}};
        source = makeFollower(router, "op/", 1ms, silent);
        host = makeFollower(router, "op/", 1ms, handlers);
        applyUpdates(source, {{{"op/a", "a1", 5, false}, {"op/b", "b1", 6, false}}, {}, 10, true});
    }

    auto change(const std::string &key, const std::string &value, store_revision revision,
                bool deleted = false) -> void
    {
        applyUpdates(source, {{{key, value, revision, deleted}}, {}, revision, false});
    }

    // What the store tells after it has dropped its history.
    auto readWhole(std::vector<store_item> items, store_revision at) -> void
    {
        applyUpdates(source, {std::move(items), {}, at, true});
    }

    auto sync() -> prefix_updates
    {
        auto updates = updatesSince(*source, positionOf(*host));
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
    std::vector<std::string> heard;
    std::set<std::string> listed;
    std::shared_ptr<store_follower> source;
    std::shared_ptr<store_follower> host;
};

} // namespace

TEST_CASE_METHOD(two_followers, "host_that_knows_nothing_gets_the_whole", "[news]")
{
    const auto updates = sync();
    CHECK(updates.full);
    CHECK(updates.items.size() == 2);
    CHECK(valueAt("op/b") == "b1");
    CHECK(listed == std::set<std::string>{"op/a", "op/b"});
}

TEST_CASE_METHOD(two_followers, "values_that_followed_one_another_are_sent_once", "[news]")
{
    sync();
    for (store_revision revision = 11; revision < 20; ++revision)
        change("op/a", "a" + std::to_string(revision), revision);
    const auto updates = sync();
    CHECK(updates.items.size() == 1);
    CHECK(valueAt("op/a") == "a19");
    CHECK(sync().items.empty());
}

TEST_CASE_METHOD(two_followers, "whole_after_a_lost_history_leaves_out_what_the_host_knows",
                 "[news]")
{
    sync();
    readWhole({{"op/a", "a1", 5, false}, {"op/c", "c1", 30, false}}, 31);
    const auto updates = sync();
    CHECK(updates.full);
    CHECK(updates.items.size() == 1);
    CHECK(updates.unchanged == std::vector<std::string>{"op/a"});
    CHECK(valueAt("op/a") == "a1");
    CHECK(valueAt("op/b").empty());
    CHECK(valueAt("op/c") == "c1");
    CHECK(listed == std::set<std::string>{"op/a", "op/c"});
}

TEST_CASE_METHOD(two_followers, "host_that_lacks_a_key_named_unchanged_asks_for_everything",
                 "[news]")
{
    sync();
    host->items.erase("op/a");
    readWhole({{"op/a", "a1", 5, false}, {"op/b", "b1", 6, false}}, 31);
    sync();
    CHECK(positionOf(*host) == 0);
    sync();
    CHECK(valueAt("op/a") == "a1");
    CHECK(positionOf(*host) == 31);
}

TEST_CASE_METHOD(two_followers, "key_that_has_gone_is_gone_at_the_host", "[news]")
{
    sync();
    change("op/b", "", 12, true);
    CHECK(sync().items.size() == 1);
    CHECK(valueAt("op/b").empty());
}

} // namespace parsleyloft
