// The holdings of one host, and the epochs that it doesn't resume.
#include "decisions/holdings.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct one_holder
{
    one_holder()
    {
        table.leaderTerm = {1, 1};
        table.version = 1;
        table.servers["s1"] = {"s1", "orders", "north", "", 3, false};
        REQUIRE(applyTable(state, table));
        grant(1);
    }

    // Assigns the group and the shard to the host under new epochs of the table's term.
    auto grant(std::uint64_t sequence) -> void
    {
        ++table.version;
        table.groups[group] = {"h1", {table.leaderTerm, sequence}, assignment_phase::Held};
        table.shards["orders"] = {
                {"s1", {table.leaderTerm, sequence + 100}, assignment_phase::Held}};
        applyTable(state, table);
    }

    auto renew(instant time) -> void { renewLease(state, {table.leaderTerm, time, 0us}, time); }

    group_id group{"orders", "north"};
    shard_id shard{"orders", 0};
    instant start{1h};
    assignment_table table;
    holdings_state state = newHoldings({}, "h1");
};

} // namespace

TEST_CASE_METHOD(one_holder, "host_with_a_lease_may_send", "[holdings]")
{
    CHECK_FALSE(mayUseShard(state, shard, start));
    renew(start);
    CHECK(mayUseShard(state, shard, start + 1s));
}

TEST_CASE_METHOD(one_holder, "host_after_the_end_of_its_lease_may_not_send", "[holdings]")
{
    renew(start);
    CHECK_FALSE(mayUseShard(state, shard, start + 2s));
}

TEST_CASE_METHOD(one_holder, "lease_runs_from_the_confirmation_and_not_from_the_reply",
                 "[holdings]")
{
    renewLease(state, {table.leaderTerm, start, 500ms}, start + 100ms);
    CHECK(mayUseShard(state, shard, start + 1400ms));
    CHECK_FALSE(mayUseShard(state, shard, start + 1500ms));
}

TEST_CASE_METHOD(one_holder, "holding_after_the_end_of_its_lease_is_not_resumed_under_its_epoch",
                 "[holdings]")
{
    renew(start);
    renew(start + 3s);
    CHECK_FALSE(mayUseGroup(state, group, start + 3s));
    CHECK(pendingGroupReleases(state).size() == 1);
    grant(2);
    CHECK(mayUseGroup(state, group, start + 3s));
}

TEST_CASE_METHOD(one_holder, "restarted_host_does_not_use_holdings_of_its_first_table",
                 "[holdings]")
{
    auto restarted = newHoldings({}, "h1");
    REQUIRE(applyTable(restarted, table));
    renewLease(restarted, {table.leaderTerm, start, 0us}, start);
    CHECK_FALSE(mayUseGroup(restarted, group, start));
}

TEST_CASE_METHOD(one_holder, "table_of_a_new_leader_does_not_restore_a_lower_epoch", "[holdings]")
{
    grant(5);
    auto stale = table;
    stale.leaderTerm = {1, 2};
    stale.version = 1;
    stale.groups[group] = {"h2", {{1, 1}, 3}, assignment_phase::Held};
    REQUIRE(applyTable(state, stale));
    CHECK(state.table.groups[group].holder == "h1");
}

TEST_CASE_METHOD(one_holder, "holding_of_an_earlier_term_that_was_not_held_before_is_not_used",
                 "[holdings]")
{
    renew(start);
    auto next = table;
    next.leaderTerm = {1, 2};
    next.version = 1;
    const group_id other{"orders", "south"};
    next.groups[other] = {"h1", {{1, 1}, 9}, assignment_phase::Held};
    REQUIRE(applyTable(state, next));
    CHECK(mayUseGroup(state, group, start + 1s));
    CHECK_FALSE(mayUseGroup(state, other, start + 1s));
}

TEST_CASE_METHOD(one_holder, "shard_being_released_gets_no_new_work_but_stays_granted",
                 "[holdings]")
{
    renew(start);
    ++table.version;
    table.shards["orders"][0].phase = assignment_phase::Releasing;
    REQUIRE(applyTable(state, table));
    CHECK_FALSE(mayUseShard(state, shard, start));
    CHECK(shardsToGrant(state, "s1", start).size() == 1);
    releaseShard(state, shard);
    CHECK(shardsToGrant(state, "s1", start).empty());
    CHECK(pendingShardReleases(state).size() == 1);
}

} // namespace parsleyloft
