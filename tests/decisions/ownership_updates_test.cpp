// Following the leader's table of owners by its changes.
#include "decisions/ownership_updates.h"

#include "codec/shared_state_codec.h"

#include <catch2/catch.hpp>

#include <random>

namespace parsleyloft {

namespace {

auto ownerNamed(std::uint64_t number) -> key_owner
{
    return {"s" + std::to_string(number),
            static_cast<std::int64_t>(1000 + number),
            {"10.0.0.1", static_cast<std::uint16_t>(8000 + number)}};
}

struct leader_and_follower
{
    leader_and_follower()
    {
        ownership_table first;
        first.service = "ledger";
        first.leaderRevision = 7;
        first.sequence = 1;
        for (key_number from = 0; from <= lastKey; from += 4096)
            first.slices.push_back({from,
                                    from + 4095,
                                    slice_phase::Held,
                                    ownerNamed(from / 4096),
                                    ++first.nextFence,
                                    {},
                                    0});
        leader = trackTable({}, first, table_source::Leader);
        follower = trackTable({}, first, table_source::Leader);
    }

    // A table after some slices were cut, moved or granted.
    auto change() -> ownership_table
    {
        auto next = *leader.table;
        ++next.sequence;
        const auto place = random() % next.slices.size();
        auto &slice = next.slices[place];
        const auto middle = (slice.from + slice.to) / 2;
        if (random() % 3 == 0 && middle > slice.from) {
            auto after = slice;
            slice.to = middle;
            after.from = middle + 1;
            next.slices.insert(next.slices.begin() + static_cast<std::ptrdiff_t>(place) + 1, after);
        } else {
            slice.previous = slice.owner;
            slice.owner = ownerNamed(random() % 40);
            slice.fence = ++next.nextFence;
            slice.phase = random() % 2 == 0 ? slice_phase::Pending : slice_phase::Held;
        }
        return next;
    }

    // What the follower asks for and gets, over the wire.
    auto sync() -> bool
    {
        const auto change =
                changeSince(leader, follower.table->leaderRevision, follower.table->sequence);
        if (!change)
            return false;
        const auto heard = fromWire(toWire(*change));
        REQUIRE(heard);
        sent += heard->slices.size();
        auto table = applyChange(follower, *heard);
        REQUIRE(table);
        follower = trackTable(follower, std::move(*table), table_source::Leader);
        return true;
    }

    std::mt19937_64 random{11};
    tracked_ownership leader;
    tracked_ownership follower;
    std::size_t sent = 0;
};

} // namespace

TEST_CASE_METHOD(leader_and_follower, "follower_that_hears_changes_now_and_then_has_the_same_table",
                 "[ownership_news]")
{
    for (int round = 0; round < 2000; ++round) {
        leader = trackTable(leader, change(), table_source::Leader);
        if (random() % 3 != 0)
            continue;
        REQUIRE(sync());
        REQUIRE(*follower.table == *leader.table);
    }
    // A change names about as many slices as have changed, not the whole table.
    CHECK(sent < 2000U * 4);
}

TEST_CASE_METHOD(leader_and_follower, "follower_of_another_leadership_needs_the_whole_table",
                 "[ownership_news]")
{
    auto next = *leader.table;
    next.leaderRevision = 9;
    next.sequence = 0;
    leader = trackTable(leader, next, table_source::Leader);
    CHECK_FALSE(sync());
}

TEST_CASE_METHOD(leader_and_follower, "follower_that_read_the_store_needs_the_whole_table",
                 "[ownership_news]")
{
    const auto before = leader.table->sequence;
    leader = trackTable(leader, change(), table_source::Leader);
    const auto known = trackTable({}, *follower.table, table_source::Store);
    const auto change = changeSince(leader, known.table->leaderRevision, before);
    REQUIRE(change);
    CHECK_FALSE(applyChange(known, *change));
}

TEST_CASE_METHOD(leader_and_follower, "change_that_leaves_a_gap_is_not_applied", "[ownership_news]")
{
    ownership_change change{"ledger", 7, 1, 2, 99, {}};
    auto slice = leader.table->slices[3];
    slice.to -= 10;
    change.slices.push_back(slice);
    CHECK_FALSE(applyChange(follower, change));
}

} // namespace parsleyloft
