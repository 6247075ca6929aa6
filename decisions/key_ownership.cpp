// Who owns which keys of one service.
#include "decisions/key_ownership.h"

#include <algorithm>
#include <cmath>

namespace parsleyloft {

namespace {

auto entryOf(const server_directory &directory, const server_id &id) -> const directory_entry *
{
    const auto found = directory.entries.find(id);
    return found == directory.entries.end() ? nullptr : &found->second;
}

auto isDead(const server_directory &directory, const key_owner &owner) -> bool
{
    return owner.id.empty() || isSuperseded(directory, owner.id, owner.startTimeMs, owner.address);
}

// True when the same life of the owner may be given keys.
auto mayOwn(const server_directory &directory, const key_owner &owner) -> bool
{
    const auto *entry = entryOf(directory, owner.id);
    return entry != nullptr && entry->record.startTimeMs == owner.startTimeMs
            && isUsable(directory, *entry);
}

auto isCleared(const key_slice &slice, const slice_state &state, const server_directory &directory,
               instant now) -> bool
{
    if (isDead(directory, slice.previous) || now >= state.previousEnds)
        return true;
    return state.released && now >= state.unansweredEnds;
}

auto holdOf(const ownership_limits &limits) -> duration
{
    return limits.hold + limits.hold * limits.clockRatePermille / 1000 + limits.holdSlack;
}

// The first ranges begin with multiples of this.
constexpr key_number firstGrain = 64;
// A range as narrow as this may be moved also when none is cut any more.
constexpr key_number narrowRange = 64;
// Servers for each move under way at a time, when there are many.
constexpr std::size_t serversPerMove = 24;
// A slowness beyond these says little: a stopped server, or a handful of answers.
constexpr double leastSlowness = 0.5;
constexpr double mostSlowness = 6;

struct candidate
{
    key_owner owner;
    bearer load;
};

using candidates = std::map<server_id, candidate>;

auto shareOf(const key_slice &slice, const key_load &load) -> double
{
    return shareOfKeys(load, slice.from, slice.to);
}

// The servers that may own keys, with the share that each should bear.
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
        const auto due = record.slots / std::clamp(slowness, leastSlowness, mostSlowness);
        listed[id] = {{id, record.startTimeMs, record.address}, {due, 0}};
        total += due;
    }
    for (auto &[id, one] : listed)
        one.load.due /= total;
    return listed;
}

// As listCandidates, with cold servers when there are no others.
auto anyCandidates(const service_name &service, const server_directory &directory,
                   const key_load &load, instant now) -> candidates
{
    auto listed = listCandidates(service, directory, load, now);
    if (listed.empty())
        listed = listCandidates(service, directory, load, now + 1h);
    return listed;
}

auto countShares(candidates &listed, const ownership_table &table, const key_load &load) -> void
{
    for (const auto &slice : table.slices) {
        const auto found = listed.find(slice.owner.id);
        if (found != listed.end() && found->second.owner == slice.owner)
            found->second.load.has += shareOf(slice, load);
    }
}

auto leastLoaded(candidates &listed) -> candidate *
{
    candidate *best = nullptr;
    for (auto &[id, one] : listed) {
        const auto load = one.load.has / one.load.due;
        if (best == nullptr || load < best->load.has / best->load.due)
            best = &one;
    }
    return best;
}

auto firstTable(const ownership_manager &keeper, const server_directory &directory,
                const key_load &load, instant now) -> std::optional<ownership_table>
{
    auto listed = anyCandidates(keeper.table.service, directory, load, now);
    if (listed.empty() || now < keeper.settledAt)
        return std::nullopt;
    auto table = keeper.table;
    const auto count = static_cast<std::uint32_t>(listed.size()) * keeper.limits.slicesPerServer;
    const auto width =
            std::max<key_number>(firstGrain, (lastKey + 1) / count / firstGrain * firstGrain);
    for (std::uint32_t index = 0; index < count; ++index) {
        auto *taker = leastLoaded(listed);
        key_slice slice;
        slice.from = index * width;
        slice.to = index + 1 == count ? lastKey : slice.from + width - 1;
        slice.phase = slice_phase::Pending;
        slice.owner = taker->owner;
        slice.fence = table.nextFence++;
        taker->load.has += shareOf(slice, {});
        table.slices.push_back(slice);
    }
    return table;
}

auto giveTo(ownership_table &table, key_slice &slice, const key_owner &owner,
            const key_owner &previous) -> void
{
    slice.previous = previous;
    slice.previousFence = previous.id.empty() ? 0 : slice.fence;
    slice.owner = owner;
    slice.fence = table.nextFence++;
    slice.phase = slice_phase::Pending;
}

// Replaces owners that are dead, leaving, or out of service.
auto replaceOwners(ownership_table &table, const ownership_manager &keeper,
                   const server_directory &directory, candidates &listed, const key_load &load,
                   instant now) -> bool
{
    auto changed = false;
    for (auto &slice : table.slices) {
        const auto &state = keeper.states.at(slice.from);
        const auto dead = isDead(directory, slice.owner);
        if (!dead && mayOwn(directory, slice.owner))
            continue;
        const auto settled =
                slice.phase != slice_phase::Pending || isCleared(slice, state, directory, now);
        auto *taker = leastLoaded(listed);
        if (!settled || taker == nullptr || taker->owner == slice.owner)
            continue;
        giveTo(table, slice, taker->owner, dead ? key_owner{} : slice.owner);
        taker->load.has += shareOf(slice, load);
        changed = true;
    }
    return changed;
}

// Gives the part of a slice to the taker; what is left of the slice stays as it is.
auto moveKeys(ownership_table &table, const key_move &move, const key_owner &taker) -> void
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
        giveTo(table, moved, taker, slice.owner);
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

auto movableRanges(const ownership_table &table, bool mayCut) -> std::vector<owned_range>
{
    std::vector<owned_range> ranges;
    for (const auto &slice : table.slices) {
        const auto whole = mayCut || slice.to - slice.from < narrowRange;
        ranges.push_back(
                {slice.from, slice.to, slice.owner.id, whole && slice.phase == slice_phase::Held});
    }
    return ranges;
}

// Moves a few ranges from servers with too much to servers with too little.
auto evenOut(ownership_table &table, const ownership_manager &keeper, candidates &listed,
             const key_load &load) -> bool
{
    auto pending = std::count_if(table.slices.begin(), table.slices.end(), [](const auto &slice) {
        return slice.phase != slice_phase::Held;
    });
    std::map<server_id, bearer> bearers;
    for (const auto &[id, one] : listed)
        bearers[id] = one.load;
    auto changed = false;
    const auto most =
            std::max<std::ptrdiff_t>(keeper.limits.maxConcurrentMoves,
                                     static_cast<std::ptrdiff_t>(listed.size() / serversPerMove));
    for (; pending < most; ++pending) {
        const auto mayCut = table.slices.size() < listed.size() * keeper.limits.maxSlicesPerServer;
        const auto move = chooseMove(movableRanges(table, mayCut), bearers, load);
        if (!move)
            break;
        const auto share = shareOfKeys(load, move->from, move->to);
        bearers[findSlice(table, move->from)->owner.id].has -= share;
        bearers[move->taker].has += share;
        moveKeys(table, *move, listed.at(move->taker).owner);
        changed = true;
    }
    return changed;
}

auto orderFor(const key_slice &slice, const slice_state &state, const ownership_limits &limits,
              order_kind kind) -> key_order
{
    const auto isGrant = kind == order_kind::Grant;
    return {kind,
            isGrant ? slice.owner : slice.previous,
            slice.from,
            slice.to,
            isGrant ? slice.fence : slice.previousFence,
            limits.hold,
            isGrant && !state.granted ? state.handover : std::string()};
}

auto isGrantDue(const slice_state &state, const ownership_limits &limits, renewal_pace pace,
                instant now) -> bool
{
    if (pace == renewal_pace::BeforeStopping && state.granted)
        return now >= state.grantedAt + limits.urgentRenewAfter;
    return now >= state.nextOrder;
}

// The order that a slice needs now, if any.
auto wantedOrder(const key_slice &slice, const slice_state &state, const ownership_limits &limits,
                 const server_directory &directory, renewal_pace pace, instant now)
        -> std::optional<order_kind>
{
    if (slice.phase == slice_phase::Vacant || state.underWay)
        return std::nullopt;
    if (slice.phase == slice_phase::Pending && !isCleared(slice, state, directory, now)) {
        const auto due = now >= state.nextOrder && !state.released && !state.previousUnderWay;
        return due ? std::optional(order_kind::Release) : std::nullopt;
    }
    // A dead owner's keys are planned anew; one that is leaving keeps them until then.
    if (isDead(directory, slice.owner) || !isGrantDue(state, limits, pace, now))
        return std::nullopt;
    return order_kind::Grant;
}

auto noteGrantEnd(const key_slice &slice, slice_state &state, const ownership_limits &limits,
                  const key_order &order, order_result ended, instant now) -> void
{
    const auto lasts = now + holdOf(limits);
    if (ended == order_result::Unanswered)
        state.unansweredEnds = std::max(state.unansweredEnds, lasts);
    if (order.fence == slice.previousFence && order.server == slice.previous) {
        // The table moved on while a renewal was under way.
        state.previousUnderWay = false;
        if (ended != order_result::NotSent)
            state.previousEnds = std::max(state.previousEnds, lasts);
        return;
    }
    if (order.fence != slice.fence)
        return;
    state.underWay = false;
    const auto done = ended == order_result::Done;
    state.nextOrder = now + (done ? limits.renewAfter : limits.retryAfter);
    if (!done)
        return;
    state.granted = true;
    state.grantedAt = now;
    state.ownerEnds = lasts;
}

auto noteReleaseEnd(const key_slice &slice, slice_state &state, const ownership_limits &limits,
                    const key_order &order, order_result ended, const std::string &handover,
                    instant now) -> void
{
    if (order.fence != slice.previousFence)
        return;
    state.underWay = false;
    state.nextOrder = now + limits.retryAfter;
    if (ended != order_result::Done)
        return;
    state.released = true;
    state.handover = handover;
    state.nextOrder = now;
}

// What is known of a slice whose owner the stored table names anew.
auto stateOfNewOwner(const slice_state &before, instant now) -> slice_state
{
    slice_state fresh;
    fresh.previousEnds = before.ownerEnds;
    fresh.previousUnderWay = before.underWay;
    fresh.unansweredEnds = before.unansweredEnds;
    fresh.nextOrder = now;
    fresh.ownerEnds = now;
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
    if (isDead(directory, slice.previous) || entryOf(directory, slice.previous.id) != nullptr)
        return owner_wait::Short;
    return owner_wait::Long;
}

auto longestHold(const ownership_limits &limits) -> duration
{
    return limits.callTimeout + holdOf(limits);
}

auto makeOwnershipManager(const ownership_limits &limits, ownership_table table,
                          std::uint64_t leaderRevision, instant now) -> ownership_manager
{
    constexpr duration settleTime = 700ms;
    ownership_manager keeper{limits, std::move(table), {}, now + settleTime};
    keeper.table.leaderRevision = leaderRevision;
    keeper.table.sequence = 0;
    for (const auto &slice : keeper.table.slices) {
        auto &state = keeper.states[slice.from];
        state.ownerEnds = now + longestHold(limits);
        state.previousEnds = state.ownerEnds;
    }
    return keeper;
}

auto dueOrders(ownership_manager &keeper, const server_directory &directory, renewal_pace pace,
               instant now) -> std::vector<key_order>
{
    std::vector<key_order> orders;
    for (const auto &slice : keeper.table.slices) {
        auto &state = keeper.states.at(slice.from);
        const auto wanted = wantedOrder(slice, state, keeper.limits, directory, pace, now);
        if (!wanted)
            continue;
        state.underWay = true;
        if (*wanted == order_kind::Grant)
            state.ownerEnds = std::max(state.ownerEnds, now + longestHold(keeper.limits));
        orders.push_back(orderFor(slice, state, keeper.limits, *wanted));
    }
    return orders;
}

auto recordOrderResult(ownership_manager &keeper, const key_order &order, order_result ended,
                       const std::string &handover, instant now) -> void
{
    // The slice may have been cut since the order was sent.
    for (const auto &slice : keeper.table.slices) {
        if (slice.from < order.from || slice.to > order.to)
            continue;
        auto &state = keeper.states.at(slice.from);
        if (order.kind == order_kind::Grant)
            noteGrantEnd(slice, state, keeper.limits, order, ended, now);
        else
            noteReleaseEnd(slice, state, keeper.limits, order, ended, handover, now);
    }
}

auto markHeld(ownership_manager &keeper) -> bool
{
    auto changed = false;
    for (auto &slice : keeper.table.slices) {
        if (slice.phase != slice_phase::Pending || !keeper.states.at(slice.from).granted)
            continue;
        slice.phase = slice_phase::Held;
        slice.previous = {};
        slice.previousFence = 0;
        changed = true;
    }
    if (changed)
        ++keeper.table.sequence;
    return changed;
}

auto planOwnership(const ownership_manager &keeper, const server_directory &directory,
                   const key_load &load, instant now) -> std::optional<ownership_table>
{
    auto table = keeper.table;
    auto changed = false;
    if (table.slices.empty()) {
        auto first = firstTable(keeper, directory, load, now);
        changed = first.has_value();
        table = std::move(first).value_or(std::move(table));
    } else {
        auto listed = anyCandidates(table.service, directory, load, now);
        countShares(listed, table, load);
        changed = replaceOwners(table, keeper, directory, listed, load, now);
        if (!listed.empty() && now >= keeper.settledAt)
            changed = evenOut(table, keeper, listed, load) || changed;
    }
    if (!changed)
        return std::nullopt;
    ++table.sequence;
    return table;
}

auto applyStoredTable(ownership_manager &keeper, ownership_table stored, instant now) -> void
{
    std::map<key_number, slice_state> states;
    for (const auto &slice : stored.slices) {
        const auto *before = findSlice(keeper.table, slice.from);
        if (before == nullptr) {
            states[slice.from] = {};
            continue;
        }
        const auto &known = keeper.states.at(before->from);
        states[slice.from] = before->fence == slice.fence ? known : stateOfNewOwner(known, now);
    }
    // Slices may have been marked as held while the write was under way.
    const auto sequence = std::max(keeper.table.sequence, stored.sequence);
    keeper.states = std::move(states);
    keeper.table = std::move(stored);
    keeper.table.sequence = sequence + 1;
}

} // namespace parsleyloft
