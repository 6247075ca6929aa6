// Plans the owners of the keys of one service: the first table, replaced owners, and moves that
// balance the load.
#include "decisions/ownership_plan.h"

#include "decisions/large_keys.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// True when the same incarnation of the owner is still listed and usable.
auto mayOwn(const server_directory &directory, const key_owner &owner) -> bool
{
    const auto found = directory.entries.find(owner.id);
    return found != directory.entries.end() && found->second.record.startTimeMs == owner.startTimeMs
            && isUsable(directory, found->second);
}

// The ranges of the first table begin at multiples of this.
constexpr key_number initialGranularity = 64;
// Ranges this narrow may be moved even when slices are no longer split.
constexpr key_number narrowRange = 64;
// With many servers, one concurrent move is allowed for each this many.
constexpr std::size_t serversPerMove = 8;
// Values outside these bounds are not meaningful: they come from a stopped server or from very few
// answers. The fastest servers of the users take 0.46 of the time of a median one.
constexpr double minSlowness = 0.4;
constexpr double maxSlowness = 6;

struct candidate
{
    key_owner owner;
    server_share share;
};

using candidates = std::map<server_id, candidate>;

auto shareOf(const key_slice &slice, const key_load &load) -> double
{
    return shareOfKeys(load, slice.from, slice.to);
}

// The servers that may own keys, with the target share of each.
auto listCandidates(const service_name &service, const server_directory &directory,
                    const key_load &load, instant now) -> candidates
{
    candidates listed;
    double total = 0;
    for (const auto &[id, entry] : directory.entries) {
        const auto &record = entry.record;
        if (record.service != service || !isUsable(directory, entry) || now < coldUntil(entry))
            continue;
        const auto found = load.slowness.find(id);
        const auto slowness = found == load.slowness.end() ? 1.0 : found->second;
        const auto capacity = record.slots / std::clamp(slowness, minSlowness, maxSlowness);
        listed[id] = {{id, record.startTimeMs, record.address}, {capacity, 0}};
        total += capacity;
    }
    for (auto &[id, entry] : listed)
        entry.share.target /= total;
    return listed;
}

// Like listCandidates, but includes cold servers when there are no others.
auto listCandidatesOrCold(const service_name &service, const server_directory &directory,
                          const key_load &load, instant now) -> candidates
{
    auto listed = listCandidates(service, directory, load, now);
    if (listed.empty())
        listed = listCandidates(service, directory, load, now + 1h);
    return listed;
}

auto addActualShares(candidates &listed, const ownership_table &table, const key_load &load) -> void
{
    for (const auto &slice : table.slices) {
        const auto found = listed.find(slice.owner.id);
        if (found != listed.end() && found->second.owner == slice.owner)
            found->second.share.actual += shareOf(slice, load);
    }
}

auto leastLoaded(candidates &listed) -> candidate *
{
    candidate *best = nullptr;
    for (auto &[id, entry] : listed) {
        const auto load = entry.share.actual / entry.share.target;
        if (best == nullptr || load < best->share.actual / best->share.target)
            best = &entry;
    }
    return best;
}

auto firstTable(const ownership_manager &manager, const server_directory &directory,
                const key_load &load, instant now) -> std::optional<ownership_table>
{
    auto listed = listCandidatesOrCold(manager.table.service, directory, load, now);
    if (listed.empty() || now < manager.balanceFrom)
        return std::nullopt;
    auto table = manager.table;
    const auto wanted = static_cast<std::uint32_t>(listed.size()) * manager.limits.slicesPerServer;
    const auto count = std::min<std::uint32_t>(wanted, (lastKey + 1) / initialGranularity);
    const auto width = std::max<key_number>(
            initialGranularity, (lastKey + 1) / count / initialGranularity * initialGranularity);
    for (std::uint32_t index = 0; index < count; ++index) {
        auto *receiver = leastLoaded(listed);
        key_slice slice;
        slice.from = index * width;
        slice.to = index + 1 == count ? lastKey : slice.from + width - 1;
        slice.phase = slice_phase::Pending;
        slice.owner = receiver->owner;
        slice.fence = table.nextFence;
        receiver->share.actual += shareOf(slice, {});
        table.slices.push_back(slice);
    }
    return table;
}

auto assignOwner(ownership_table &table, key_slice &slice, const key_owner &owner,
                 const key_owner &previous) -> void
{
    slice.previous = previous;
    slice.owner = owner;
    slice.fence = table.nextFence;
    slice.phase = slice_phase::Pending;
}

// Replaces owners whose incarnation has ended, or that are draining or out of service.
auto replaceOwners(ownership_table &table, const ownership_manager &manager,
                   const server_directory &directory, candidates &listed, const key_load &load,
                   instant now) -> bool
{
    auto changed = false;
    for (auto &slice : table.slices) {
        const auto &state = manager.states.at(slice.from);
        const auto usable = mayOwn(directory, slice.owner);
        if (usable && !state.superseded)
            continue;
        const auto settled =
                slice.phase != slice_phase::Pending || isPreviousOwnerDone(slice, state, now);
        if (usable) {
            // It may still serve under an earlier grant until then.
            if (settled && now >= state.lostGrantEnds) {
                assignOwner(table, slice, slice.owner, slice.owner);
                changed = true;
            }
            continue;
        }
        auto *receiver = leastLoaded(listed);
        if (!settled || receiver == nullptr || receiver->owner == slice.owner)
            continue;
        // An owner that has started again may have taken a renewal that was meant for the earlier
        // incarnation.
        assignOwner(table, slice, receiver->owner, slice.owner);
        receiver->share.actual += shareOf(slice, load);
        changed = true;
    }
    return changed;
}

// Assigns the moved part of a slice to the receiver. The rest of the slice keeps its owner.
auto moveKeys(ownership_table &table, const key_move &move, const key_owner &receiver) -> void
{
    std::vector<key_slice> slices;
    slices.reserve(table.slices.size() + 2);
    for (const auto &slice : table.slices) {
        if (move.from < slice.from || move.from > slice.to) {
            slices.push_back(slice);
            continue;
        }
        auto before = slice;
        auto moved = slice;
        auto after = slice;
        moved.from = move.from;
        moved.to = std::min(move.to, slice.to);
        assignOwner(table, moved, receiver, slice.owner);
        if (slice.from < moved.from) {
            before.to = moved.from - 1;
            slices.push_back(before);
        }
        slices.push_back(moved);
        if (moved.to < slice.to) {
            after.from = moved.to + 1;
            slices.push_back(after);
        }
    }
    table.slices = std::move(slices);
}

auto movableRanges(const ownership_table &table, bool maySplit) -> std::vector<owned_range>
{
    std::vector<owned_range> ranges;
    for (const auto &slice : table.slices) {
        const auto mayMove = maySplit || slice.to - slice.from < narrowRange;
        ranges.push_back({slice.from, slice.to, slice.owner.id,
                          mayMove && slice.phase == slice_phase::Held});
    }
    return ranges;
}

// Moves a few ranges from overloaded servers to underloaded ones.
auto balanceLoad(ownership_table &table, const ownership_manager &manager, candidates &listed,
                 const key_load &load) -> bool
{
    auto pending = std::count_if(table.slices.begin(), table.slices.end(), [](const auto &slice) {
        return slice.phase != slice_phase::Held;
    });
    std::map<server_id, server_share> shares;
    for (const auto &[id, entry] : listed)
        shares[id] = entry.share;
    auto changed = false;
    const auto maxPending =
            std::max<std::ptrdiff_t>(manager.limits.maxConcurrentMoves,
                                     static_cast<std::ptrdiff_t>(listed.size() / serversPerMove));
    for (; pending < maxPending; ++pending) {
        const auto maySplit =
                table.slices.size() < listed.size() * manager.limits.maxSlicesPerServer;
        const auto ranges = movableRanges(table, maySplit);
        auto move = chooseMoveForLargeKeys(ranges, shares, load);
        if (!move)
            move = chooseMove(ranges, shares, load);
        if (!move)
            break;
        const auto share = shareOfKeys(load, move->from, move->to);
        shares[findSlice(table, move->from)->owner.id].actual -= share;
        shares[move->receiver].actual += share;
        moveKeys(table, *move, listed.at(move->receiver).owner);
        changed = true;
    }
    return changed;
}

} // namespace

auto planOwnership(const ownership_manager &manager, const server_directory &directory,
                   const key_load &load, instant now) -> std::optional<ownership_table>
{
    auto table = manager.table;
    auto changed = false;
    if (table.slices.empty()) {
        auto first = firstTable(manager, directory, load, now);
        changed = first.has_value();
        table = std::move(first).value_or(std::move(table));
    } else {
        auto listed = listCandidatesOrCold(table.service, directory, load, now);
        addActualShares(listed, table, load);
        changed = replaceOwners(table, manager, directory, listed, load, now);
        if (!listed.empty() && now >= manager.balanceFrom)
            changed = balanceLoad(table, manager, listed, load) || changed;
    }
    if (!changed)
        return std::nullopt;
    ++table.nextFence;
    ++table.sequence;
    return table;
}

} // namespace parsleyloft
