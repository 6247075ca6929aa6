// Tests of ownership updates: a follower applies the changes of the leader's table of owners.
#include "decisions/ownership_updates.h"

#include "codec/shared_state_codec.h"

#include <catch2/catch.hpp>

#include <random>

namespace parsleyloft {

namespace {

auto makeOwner(std::uint64_t number) -> key_owner
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
        first.leaderRevision = {0, 7};
        first.sequence = 1;
        for (key_number from = 0; from <= lastKey; from += 4096)
            first.slices.push_back({from,
                                    from + 4095,
                                    slice_phase::Held,
                                    makeOwner(from / 4096),
                                    ++first.nextFence,
                                    {}});
        leader = trackTable({}, first, table_source::Leader);
        follower = trackTable({}, first, table_source::Leader);
    }

    // A random successor of the table, with a slice split, moved or granted.
    auto makeNextTable() -> ownership_table
    {
        auto next = *leader.table;
        ++next.sequence;
        const auto index = random() % next.slices.size();
        auto &slice = next.slices[index];
        const auto middle = (slice.from + slice.to) / 2;
        if (random() % 3 == 0 && middle > slice.from) {
            auto after = slice;
            slice.to = middle;
            after.from = middle + 1;
            next.slices.insert(next.slices.begin() + static_cast<std::ptrdiff_t>(index) + 1, after);
        } else {
            slice.previous = slice.owner;
            slice.owner = makeOwner(random() % 40);
            slice.fence = ++next.nextFence;
            slice.phase = random() % 2 == 0 ? slice_phase::Pending : slice_phase::Held;
        }
        return next;
    }

    // Sends the changes since the follower's table through the codec and applies them. Returns
    // false when the follower needs the complete table.
    auto sync() -> bool
    {
        const auto change =
                changeSince(leader, follower.table->leaderRevision, follower.table->sequence);
        if (!change)
            return false;
        const auto received = fromWire(toWire(*change));
        REQUIRE(received);
        sentSlices += received->slices.size();
        auto table = applyChange(follower, *received);
        REQUIRE(table);
        follower = trackTable(follower, std::move(*table), table_source::Leader);
        return true;
    }

    std::mt19937_64 random{11};
    tracked_ownership leader;
    tracked_ownership follower;
    std::size_t sentSlices = 0;
};

} // namespace

TEST_CASE_METHOD(leader_and_follower,
                 "follower_that_receives_changes_occasionally_has_the_same_table",
                 "[ownership_updates]")
{
    for (int round = 0; round < 2000; ++round) {
        leader = trackTable(leader, makeNextTable(), table_source::Leader);
        if (random() % 3 != 0)
            continue;
        REQUIRE(sync());
        REQUIRE(*follower.table == *leader.table);
    }
    // A change contains about as many slices as have changed, not the complete table.
    CHECK(sentSlices < 2000U * 4);
}

TEST_CASE_METHOD(leader_and_follower, "follower_of_another_leadership_needs_the_complete_table",
                 "[ownership_updates]")
{
    auto next = *leader.table;
    next.leaderRevision = {0, 9};
    next.sequence = 0;
    leader = trackTable(leader, next, table_source::Leader);
    CHECK_FALSE(sync());
}

TEST_CASE_METHOD(leader_and_follower, "follower_that_read_the_store_needs_the_complete_table",
                 "[ownership_updates]")
{
    const auto before = leader.table->sequence;
    leader = trackTable(leader, makeNextTable(), table_source::Leader);
    const auto known = trackTable({}, *follower.table, table_source::Store);
    const auto change = changeSince(leader, known.table->leaderRevision, before);
    REQUIRE(change);
    CHECK_FALSE(applyChange(known, *change));
}

TEST_CASE_METHOD(leader_and_follower, "change_that_leaves_a_gap_is_rejected", "[ownership_updates]")
{
    ownership_change change{"ledger", follower.table->leaderRevision, 1, 2,
                            99,       lost_decisions::None,           {}};
    auto slice = leader.table->slices[3];
    slice.to -= 10;
    change.slices.push_back(slice);
    CHECK_FALSE(applyChange(follower, change));
}

} // namespace parsleyloft
