// Ownership updates: the differences between two tables of owners.
#include "decisions/ownership_updates.h"

#include <algorithm>

namespace parsleyloft {

namespace {

auto coversAllKeys(const std::vector<key_slice> &slices) -> bool
{
    key_number next = 0;
    for (const auto &slice : slices) {
        if (slice.from != next || slice.to < slice.from)
            return false;
        next = slice.to + 1;
    }
    return next == lastKey + 1;
}

// The index of the slice in the table, if the table contains it unchanged.
auto indexOfUnchanged(const ownership_table &table, const key_slice &slice)
        -> std::optional<std::size_t>
{
    const auto *before = findSlice(table, slice.from);
    if (before == nullptr || *before != slice)
        return std::nullopt;
    return static_cast<std::size_t>(before - table.slices.data());
}

} // namespace

auto trackTable(const tracked_ownership &known, ownership_table next, table_source source)
        -> tracked_ownership
{
    tracked_ownership tracked;
    tracked.fromLeader = source == table_source::Leader;
    const auto *before = known.table.get();
    const auto isSameLeadership =
            before != nullptr && known.fromLeader && before->leaderRevision == next.leaderRevision;
    tracked.historyStart = isSameLeadership ? known.historyStart : next.sequence;
    tracked.changedAt.reserve(next.slices.size());
    for (const auto &slice : next.slices) {
        const auto same = isSameLeadership ? indexOfUnchanged(*before, slice) : std::nullopt;
        tracked.changedAt.push_back(same ? known.changedAt[*same] : next.sequence);
    }
    tracked.table = std::make_shared<const ownership_table>(std::move(next));
    return tracked;
}

auto changeSince(const tracked_ownership &known, store_position leaderRevision,
                 std::uint64_t sequence) -> std::optional<ownership_change>
{
    const auto &table = *known.table;
    if (table.leaderRevision != leaderRevision || sequence < known.historyStart
        || sequence > table.sequence)
        return std::nullopt;
    ownership_change change{table.service,   leaderRevision, sequence, table.sequence,
                            table.nextFence, table.lost,     {}};
    for (std::size_t index = 0; index < table.slices.size(); ++index) {
        if (known.changedAt[index] > sequence)
            change.slices.push_back(table.slices[index]);
    }
    return change;
}

auto applyChange(const tracked_ownership &known, const ownership_change &change)
        -> result<ownership_table>
{
    if (known.table == nullptr || known.table->leaderRevision != change.leaderRevision
        || known.table->sequence < change.base || !known.fromLeader)
        return failure(error_code::InvalidInput,
                       "ownership change does not apply to the known table");
    ownership_table next;
    next.service = change.service;
    next.leaderRevision = change.leaderRevision;
    next.sequence = change.sequence;
    next.nextFence = change.nextFence;
    next.lost = change.lost;
    auto changed = change.slices.begin();
    for (const auto &slice : known.table->slices) {
        while (changed != change.slices.end() && changed->from <= slice.to)
            next.slices.push_back(*changed++);
        const auto replaced = !next.slices.empty() && next.slices.back().to >= slice.from;
        if (!replaced)
            next.slices.push_back(slice);
    }
    if (!coversAllKeys(next.slices))
        return failure(error_code::InvalidInput, "ownership change leaves keys without a slice");
    return next;
}

} // namespace parsleyloft
