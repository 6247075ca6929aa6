// Ownership of the keys of one service: plans owners, and schedules grants and releases.
#include "decisions/key_ownership.h"

#include <algorithm>
#include <cmath>

namespace parsleyloft {

namespace {

auto findEntry(const server_directory &directory, const server_id &id) -> const directory_entry *
{
    const auto found = directory.entries.find(id);
    return found == directory.entries.end() ? nullptr : &found->second;
}

// True when there is no owner, or its server has started again.
auto hasEnded(const server_directory &directory, const key_owner &owner) -> bool
{
    return owner.id.empty() || isSuperseded(directory, owner.id, owner.startTimeMs);
}

// True when the entries suggest that a server of the owner's id runs at the address to which the
// owner's grants went. Says how long a release may take, not who holds the keys.
auto isListedAtItsAddress(const server_directory &directory, const key_owner &owner) -> bool
{
    if (!hasEnded(directory, owner) && findEntry(directory, owner.id) == nullptr)
        return false;
    const auto latest = directory.latestById.find(owner.id);
    return latest != directory.latestById.end() && latest->second.address == owner.address;
}

// True when the same incarnation of the owner is still listed and usable.
auto mayOwn(const server_directory &directory, const key_owner &owner) -> bool
{
    const auto *entry = findEntry(directory, owner.id);
    return entry != nullptr && entry->record.startTimeMs == owner.startTimeMs
            && isUsable(directory, *entry);
}

// True when the previous owner can no longer hold the keys of a pending slice: see "What a leader
// may conclude about a holder" in docs/PLATFORM.md.
auto isPreviousOwnerDone(const key_slice &slice, const slice_state &state, instant now) -> bool
{
    if (now < state.newOwnerFrom)
        return false;
    return slice.previous.id.empty() || now >= state.previousGrantEnds || state.released;
}

// The longest that a grant is valid after its arrival, by this host's clock.
auto maxHoldAtServer(const ownership_limits &limits) -> duration
{
    return limits.hold + limits.hold * limits.clockRatePermille / 1000 + limits.holdSlack;
}

// The ranges of the first table begin at multiples of this.
constexpr key_number initialGranularity = 64;
// Ranges this narrow may be moved even when slices are no longer split.
constexpr key_number narrowRange = 64;
// With many servers, one concurrent move is allowed for each this many.
constexpr std::size_t serversPerMove = 8;
// Values outside these bounds are not meaningful: they come from a stopped server or from very few
// answers.
constexpr double minSlowness = 0.5;
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
        const auto move = chooseMove(movableRanges(table, maySplit), shares, load);
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

// A release goes to the address that the grants went to, whatever the entries say by now: only the
// process there can have taken one.
auto makeOrder(const key_slice &slice, const slice_state &state, const ownership_limits &limits,
               order_kind kind) -> key_order
{
    const auto isGrant = kind == order_kind::Grant;
    return {kind,
            isGrant ? slice.owner : slice.previous,
            slice.from,
            slice.to,
            slice.fence,
            limits.hold,
            isGrant && !state.granted ? state.handover : std::string()};
}

auto isGrantDue(const slice_state &state, const ownership_limits &limits, renewal_pace pace,
                instant now) -> bool
{
    if (pace == renewal_pace::BeforeStopping && state.granted)
        return now >= state.grantedAt + limits.urgentRenewAfter;
    return now >= state.nextOrderAt;
}

// The order that a slice needs now, if any.
auto neededOrder(const key_slice &slice, const slice_state &state, const ownership_limits &limits,
                 const server_directory &directory, renewal_pace pace, instant now)
        -> std::optional<order_kind>
{
    if (slice.phase == slice_phase::Vacant || state.inFlight)
        return std::nullopt;
    if (slice.phase == slice_phase::Pending && !isPreviousOwnerDone(slice, state, now)) {
        const auto due = now >= std::max(state.nextOrderAt, state.earlierGrantsEnd);
        return due ? std::optional(order_kind::Release) : std::nullopt;
    }
    // Keys of an owner that has ended are reassigned by planOwnership. A draining owner keeps its
    // grants until then.
    if (hasEnded(directory, slice.owner) || state.superseded
        || !isGrantDue(state, limits, pace, now))
        return std::nullopt;
    return order_kind::Grant;
}

auto recordGrantResult(const key_slice &slice, slice_state &state, const ownership_manager &manager,
                       const key_order &order, order_result result, instant now) -> void
{
    const auto &limits = manager.limits;
    const auto done = result == order_result::Done;
    // The call may have begun later than planned. Its server has received it by now, or never will.
    const auto ends = result == order_result::NotSent ? instant() : now + maxHoldAtServer(limits);
    // The slice may have got a new owner while this renewal was in flight.
    if (order.fence != slice.fence) {
        if (order.server.id == slice.previous.id) {
            state.previousGrantEnds = std::max(state.previousGrantEnds, ends);
            state.earlierGrantsEnd = std::min(state.earlierGrantsEnd, now);
        }
        return;
    }
    state.inFlight.reset();
    if (!done)
        state.ownerGrantEnds = std::max(state.ownerGrantEnds, ends);
    state.nextOrderAt = now + (done ? limits.renewAfter : limits.retryAfter);
    // A grant of a wider range is also rejected when a part of it has been moved.
    if (result == order_result::FenceTooLow && order.from == slice.from && order.to == slice.to) {
        state.superseded = true;
        state.lostGrantEnds = std::max(state.lostGrantEnds, now + longestHold(limits));
    }
    if (!done)
        return;
    state.granted = true;
    state.grantedAt = now;
    state.ownerGrantEnds = now + maxHoldAtServer(limits);
    if (now >= manager.lostDecisionsEnd + limits.callTimeout)
        state.lostGrantEnds = {};
}

auto recordReleaseResult(const key_slice &slice, slice_state &state, const ownership_limits &limits,
                         const key_order &order, order_result result, const std::string &handover,
                         instant now) -> void
{
    if (order.fence != slice.fence)
        return;
    state.inFlight.reset();
    state.nextOrderAt = now + limits.retryAfter;
    // A server that has ended holds no keys. What took its address has answered instead.
    if (result != order_result::Done && result != order_result::OtherServer)
        return;
    state.released = true;
    state.handover = handover;
    state.nextOrderAt = now;
}

// The state of a slice for which the stored table names a new owner.
auto stateForNewOwner(const slice_state &before, instant now) -> slice_state
{
    slice_state fresh;
    fresh.previousGrantEnds = before.ownerGrantEnds;
    if (before.inFlight == order_kind::Grant)
        fresh.earlierGrantsEnd = instant::max();
    fresh.nextOrderAt = now;
    fresh.ownerGrantEnds = now;
    fresh.lostGrantEnds = before.lostGrantEnds;
    fresh.newOwnerFrom = before.lostGrantEnds;
    return fresh;
}

} // namespace

auto isLater(const ownership_table &left, const ownership_table &right) -> bool
{
    return std::pair(left.leaderRevision, left.sequence)
            > std::pair(right.leaderRevision, right.sequence);
}

auto findSlice(const ownership_table &table, key_number key) -> const key_slice *
{
    const auto after = std::upper_bound(
            table.slices.begin(), table.slices.end(), key,
            [](key_number value, const key_slice &slice) { return value < slice.from; });
    if (after == table.slices.begin())
        return nullptr;
    const auto &slice = *std::prev(after);
    return key <= slice.to ? &slice : nullptr;
}

auto expectedOwnerWait(const key_slice &slice, const server_directory &directory) -> owner_wait
{
    if (slice.phase != slice_phase::Pending)
        return owner_wait::Unknown;
    const auto isShort =
            slice.previous.id.empty() || isListedAtItsAddress(directory, slice.previous);
    return isShort ? owner_wait::Short : owner_wait::Long;
}

auto longestHold(const ownership_limits &limits) -> duration
{
    return limits.callTimeout + maxHoldAtServer(limits);
}

auto firstFenceOf(store_position claim) -> fence_number
{
    // Fences are sent as JSON numbers, which are written without an exponent below 10^15.
    constexpr store_era maxNumberedEra = 100'000;
    constexpr unsigned fenceBitsPerEra = 32;
    // Leaves the upper half of the fences of an era to the tables written under its last claim.
    constexpr store_revision maxNumberedRevision = store_revision(1) << (fenceBitsPerEra - 1);
    return (std::min(claim.era, maxNumberedEra) << fenceBitsPerEra)
            + std::min(claim.revision, maxNumberedRevision);
}

auto makeOwnershipManager(const ownership_limits &limits, ownership_table table,
                          store_position leaderRevision, instant now) -> ownership_manager
{
    // Lets the directory of servers fill before the first table and the first move.
    constexpr duration settleTime = 700ms;
    ownership_manager manager{limits, std::move(table), {}, now + settleTime};
    // Hosts ignore a table that is not later than one of the same claim that they know.
    const auto sameClaim = manager.table.leaderRevision == leaderRevision;
    manager.table.sequence = sameClaim ? manager.table.sequence + 1 : 0;
    manager.table.leaderRevision = leaderRevision;
    manager.table.nextFence = std::max(manager.table.nextFence, firstFenceOf(leaderRevision));
    for (const auto &slice : manager.table.slices) {
        auto &state = manager.states[slice.from];
        state.ownerGrantEnds = now + longestHold(limits);
        state.previousGrantEnds = state.ownerGrantEnds;
    }
    return manager;
}

auto lostDecisionsFor(const ownership_limits &limits, duration tableAge) -> lost_decisions
{
    return tableAge < limits.hold ? lost_decisions::Recent : lost_decisions::Any;
}

auto recoverOwnershipManager(const ownership_limits &limits, ownership_table table,
                             store_position leaderRevision, lost_decisions lost,
                             instant previousLeaderEnds, instant now) -> ownership_manager
{
    // The previous leader was waiting too, so its own moves have not been completed.
    const auto wasIncomplete = table.lost != lost_decisions::None;
    auto manager = makeOwnershipManager(limits, std::move(table), leaderRevision, now);
    auto &recovered = manager.table;
    recovered.lost = std::max(recovered.lost, lost);
    manager.lostDecisionsEnd = previousLeaderEnds;
    manager.balanceFrom = std::max(manager.balanceFrom, previousLeaderEnds);
    const auto lostGrantEnds = previousLeaderEnds + longestHold(limits);
    for (auto &[from, state] : manager.states) {
        state.lostGrantEnds = lostGrantEnds;
        state.newOwnerFrom = wasIncomplete ? lostGrantEnds : instant();
        state.superseded = recovered.lost == lost_decisions::Any;
    }
    return manager;
}

auto awaitLostGrants(ownership_manager &manager, instant previousLeaderEnds) -> void
{
    manager.balanceFrom =
            std::max(manager.balanceFrom, previousLeaderEnds + longestHold(manager.limits));
}

auto dueOrders(ownership_manager &manager, const server_directory &directory, renewal_pace pace,
               instant now) -> std::vector<key_order>
{
    std::vector<key_order> orders;
    for (const auto &slice : manager.table.slices) {
        auto &state = manager.states.at(slice.from);
        const auto kind = neededOrder(slice, state, manager.limits, directory, pace, now);
        if (!kind)
            continue;
        state.inFlight = kind;
        if (*kind == order_kind::Grant)
            state.ownerGrantEnds =
                    std::max(state.ownerGrantEnds, now + longestHold(manager.limits));
        orders.push_back(makeOrder(slice, state, manager.limits, *kind));
    }
    return orders;
}

auto recordOrderResult(ownership_manager &manager, const key_order &order, order_result result,
                       const std::string &handover, instant now) -> bool
{
    auto firstGrant = false;
    // The slice may have been split since the order was sent.
    for (const auto &slice : manager.table.slices) {
        if (slice.from < order.from || slice.to > order.to)
            continue;
        auto &state = manager.states.at(slice.from);
        const auto granted = state.granted;
        if (order.kind == order_kind::Grant)
            recordGrantResult(slice, state, manager, order, result, now);
        else
            recordReleaseResult(slice, state, manager.limits, order, result, handover, now);
        firstGrant =
                firstGrant || (slice.phase == slice_phase::Pending && state.granted && !granted);
    }
    return firstGrant;
}

auto markHeld(ownership_manager &manager) -> bool
{
    auto changed = false;
    for (auto &slice : manager.table.slices) {
        if (slice.phase != slice_phase::Pending || !manager.states.at(slice.from).granted)
            continue;
        slice.phase = slice_phase::Held;
        slice.previous = {};
        changed = true;
    }
    if (changed)
        ++manager.table.sequence;
    return changed;
}

auto settleLostDecisions(ownership_manager &manager, instant now) -> bool
{
    const auto ends = manager.lostDecisionsEnd + longestHold(manager.limits);
    if (manager.table.lost == lost_decisions::None || now < ends)
        return false;
    const auto superseded = std::any_of(manager.states.begin(), manager.states.end(),
                                        [](const auto &entry) { return entry.second.superseded; });
    if (superseded)
        return false;
    manager.table.lost = lost_decisions::None;
    ++manager.table.sequence;
    return true;
}

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

auto applyStoredTable(ownership_manager &manager, ownership_table stored, instant now) -> bool
{
    if (stored.leaderRevision != manager.table.leaderRevision)
        return false;
    std::map<key_number, slice_state> states;
    for (const auto &slice : stored.slices) {
        const auto *before = findSlice(manager.table, slice.from);
        if (before == nullptr) {
            states[slice.from] = {};
            continue;
        }
        const auto &known = manager.states.at(before->from);
        states[slice.from] = before->fence == slice.fence ? known : stateForNewOwner(known, now);
    }
    // Slices may have been marked as held while the write was in flight.
    const auto sequence = std::max(manager.table.sequence, stored.sequence);
    manager.states = std::move(states);
    manager.table = std::move(stored);
    manager.table.sequence = sequence + 1;
    return true;
}

} // namespace parsleyloft
