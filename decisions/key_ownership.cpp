// Ownership of the keys of one service: schedules grants and releases, and records their results.
#include "decisions/key_ownership.h"

#include <algorithm>

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

// The longest that a grant is valid after its arrival, by this host's clock.
auto maxHoldAtServer(const ownership_limits &limits) -> duration
{
    return limits.hold + limits.hold * limits.clockRatePermille / 1000 + limits.holdSlack;
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

auto isPreviousOwnerDone(const key_slice &slice, const slice_state &state, instant now) -> bool
{
    if (now < state.newOwnerFrom)
        return false;
    return slice.previous.id.empty() || now >= state.previousGrantEnds || state.released;
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
