// What has changed between two tables of owners, for hosts that follow the leader's.
#pragma once

#include "decisions/key_ownership.h"

#include <memory>
#include <optional>
#include <vector>

namespace parsleyloft {

// A table with the place in the leader's sequence at which each slice became what it is.
// Invariants: changedAt has an entry for each slice, none above the table's sequence.
struct tracked_ownership
{
    std::shared_ptr<const ownership_table> table;
    std::vector<std::uint64_t> changedAt;
    // Changes are known from this place on, in the table's leadership.
    std::uint64_t since = 0;
    // False for a table that was read from the store: the leader may have been further on.
    bool fromLeader = false;
};

// The slices that differ from a table at the place base.
// Invariant: the slices are sorted and cover whole slices of that table.
struct ownership_change
{
    service_name service;
    std::uint64_t leaderRevision = 0;
    std::uint64_t base = 0;
    std::uint64_t sequence = 0;
    fence_number nextFence = 1;
    std::vector<key_slice> slices;
};

enum class table_source : std::uint8_t { Leader, Store };

inline constexpr name_table<table_source, 2> tableSourceNames{{
        {table_source::Leader, "leader"},
        {table_source::Store, "store"},
}};

// Follows on to a later table, which may be of another leadership.
auto trackTable(const tracked_ownership &known, ownership_table next, table_source source)
        -> tracked_ownership;

// What a host at the given place lacks, or nothing when it needs the whole table.
auto changeSince(const tracked_ownership &known, std::uint64_t leaderRevision,
                 std::uint64_t sequence) -> std::optional<ownership_change>;

// The table after the change. Fails with InvalidInput when the change is not for this table.
auto applyChange(const tracked_ownership &known, const ownership_change &change)
        -> result<ownership_table>;

} // namespace parsleyloft
