// Ownership updates: the differences between two tables of owners, which the leader sends to the
// other hosts.
#pragma once

#include "decisions/key_ownership.h"

#include <memory>
#include <optional>
#include <vector>

namespace parsleyloft {

// A table of owners, with the sequence number at which each of its slices last changed.
// Invariant: changedAt has one entry for each slice, none above the table's sequence.
struct tracked_ownership
{
    std::shared_ptr<const ownership_table> table;
    std::vector<std::uint64_t> changedAt;
    // Changes are known from this sequence number on, within the table's leadership.
    std::uint64_t historyStart = 0;
    // False for a table read from the store, where the leader may have had a newer one.
    bool fromLeader = false;
};

// The slices that differ from the table with the sequence number base.
// Invariant: the slices are sorted and cover complete slices of that table.
struct ownership_change
{
    service_name service;
    store_position leaderRevision;
    std::uint64_t base = 0;
    std::uint64_t sequence = 0;
    fence_number nextFence = 1;
    lost_decisions lost = lost_decisions::None;
    std::vector<key_slice> slices;
};

enum class table_source : std::uint8_t { Leader, Store };

inline constexpr name_table<table_source, 2> tableSourceNames{{
        {table_source::Leader, "leader"},
        {table_source::Store, "store"},
}};

// Replaces the known table by a later one, which may be from another leadership, and updates the
// sequence numbers of the changed slices.
auto trackTable(const tracked_ownership &known, ownership_table next, table_source source)
        -> tracked_ownership;

// The changes since the table with this leader revision and sequence number. Returns nothing when a
// host with that table needs the complete table.
auto changeSince(const tracked_ownership &known, store_position leaderRevision,
                 std::uint64_t sequence) -> std::optional<ownership_change>;

// The table after the change. Fails with InvalidInput when the change doesn't apply to this table.
auto applyChange(const tracked_ownership &known, const ownership_change &change)
        -> result<ownership_table>;

} // namespace parsleyloft
