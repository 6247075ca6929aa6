// The holdings of one host: its lease, the groups it may send to, and what it has released.
#include "decisions/holdings.h"

#include <algorithm>

namespace parsleyloft {

namespace {

auto leaseValid(const holdings_state &state, instant now) -> bool
{
    return now < state.leaseEnds;
}

// The entry of the group if this host holds it under an epoch that it has not released.
auto heldGroup(const holdings_state &state, const group_id &group, instant now)
        -> const group_assignment *
{
    const auto found = state.table.groups.find(group);
    if (!leaseValid(state, now) || found == state.table.groups.end())
        return nullptr;
    if (found->second.holder != state.self || found->second.phase == assignment_phase::Vacant)
        return nullptr;
    const auto released = state.releasedGroups.find(group);
    if (released != state.releasedGroups.end() && released->second >= found->second.grantEpoch)
        return nullptr;
    return &found->second;
}

auto heldShard(const holdings_state &state, const shard_id &shard, instant now)
        -> const shard_assignment *
{
    const auto *found = findShard(state.table, shard);
    if (found == nullptr || found->phase == assignment_phase::Vacant)
        return nullptr;
    const auto released = state.releasedShards.find(shard);
    if (released != state.releasedShards.end() && released->second >= found->grantEpoch)
        return nullptr;
    const auto group = findGroupOfServer(state.table, found->owner);
    if (!group || heldGroup(state, *group, now) == nullptr)
        return nullptr;
    return found;
}

auto releaseOwnGroups(holdings_state &state) -> void
{
    for (const auto &[id, group] : state.table.groups) {
        if (group.holder == state.self && group.phase != assignment_phase::Vacant)
            state.releasedGroups[id] = group.grantEpoch;
    }
}

auto releaseOtherTerms(holdings_state &state, term present) -> void
{
    for (const auto &[id, group] : state.table.groups) {
        const auto own = group.holder == state.self && group.phase != assignment_phase::Vacant;
        if (own && group.grantEpoch.leaderTerm != present)
            state.releasedGroups[id] = std::max(state.releasedGroups[id], group.grantEpoch);
    }
}

// Releases groups granted in earlier terms that this host did not hold in the previous table.
auto releaseGroupsNotHeldBefore(holdings_state &state, const assignment_table &previous) -> void
{
    for (const auto &[id, group] : state.table.groups) {
        const auto own = group.holder == state.self && group.phase != assignment_phase::Vacant;
        if (!own || group.grantEpoch.leaderTerm == state.table.leaderTerm)
            continue;
        const auto known = previous.groups.find(id);
        const auto continued =
                known != previous.groups.end() && known->second.grantEpoch == group.grantEpoch;
        if (!continued)
            state.releasedGroups[id] = std::max(state.releasedGroups[id], group.grantEpoch);
    }
}

// The same for shards, in groups that are continued from an earlier term. In a group granted in
// the present term, the leader has decided on every shard.
auto releaseShardsNotHeldBefore(holdings_state &state, const assignment_table &previous) -> void
{
    for (const auto &[service, shards] : state.table.shards) {
        for (shard_index index = 0; index < shards.size(); ++index) {
            const auto &shard = shards[index];
            const shard_id id{service, index};
            const auto *known = findShard(previous, id);
            const auto continued = known != nullptr && known->grantEpoch == shard.grantEpoch;
            if (continued || shard.grantEpoch.leaderTerm == state.table.leaderTerm)
                continue;
            const auto group = findGroupOfServer(state.table, shard.owner);
            const auto found = group ? state.table.groups.find(*group) : state.table.groups.end();
            const auto own = found != state.table.groups.end() && found->second.holder == state.self
                    && found->second.grantEpoch.leaderTerm != state.table.leaderTerm;
            if (own)
                state.releasedShards[id] = std::max(state.releasedShards[id], shard.grantEpoch);
        }
    }
}

// Restores the entries that the host has under a higher epoch, and groups that a new leader does
// not know yet.
auto keepHigherEpochs(assignment_table &next, const assignment_table &known) -> void
{
    for (const auto &[id, group] : known.groups) {
        const auto found = next.groups.find(id);
        const auto unknownToLeader =
                found == next.groups.end() && group.grantEpoch.leaderTerm < next.leaderTerm;
        const auto higher =
                found != next.groups.end() && group.grantEpoch > found->second.grantEpoch;
        if (unknownToLeader || higher)
            next.groups[id] = group;
    }
    for (const auto &[service, shards] : known.shards) {
        auto &list = next.shards[service];
        if (list.size() < shards.size())
            list.resize(shards.size());
        for (std::size_t index = 0; index < shards.size(); ++index) {
            if (shards[index].grantEpoch > list[index].grantEpoch)
                list[index] = shards[index];
        }
    }
    for (const auto &[service, shards] : next.shards) {
        for (const auto &shard : shards) {
            const auto found = known.servers.find(shard.owner);
            if (found != known.servers.end())
                next.servers.insert(*found);
        }
    }
}

template<typename visitor>
auto forEachShard(const assignment_table &table, visitor &&visit) -> void
{
    for (const auto &[service, shards] : table.shards) {
        for (shard_index index = 0; index < shards.size(); ++index)
            visit(shard_id{service, index}, shards[index]);
    }
}

} // namespace

auto newHoldings(lease_limits limits, host_id self) -> holdings_state
{
    holdings_state state;
    state.limits = limits;
    state.self = std::move(self);
    return state;
}

auto applyTable(holdings_state &state, const assignment_table &table) -> bool
{
    if (!isNewer(table, state.table))
        return false;
    const auto previous = std::move(state.table);
    state.table = table;
    keepHigherEpochs(state.table, previous);
    if (previous.version == 0)
        releaseOwnGroups(state);
    releaseGroupsNotHeldBefore(state, previous);
    releaseShardsNotHeldBefore(state, previous);
    std::erase_if(state.releasedShards, [&](const auto &entry) {
        const auto *present = findShard(state.table, entry.first);
        return present != nullptr && present->grantEpoch > entry.second;
    });
    return true;
}

auto renewLease(holdings_state &state, const lease_renewal &renewal, instant now) -> void
{
    releaseIfLeaseEnded(state, now);
    const auto ends = renewal.sentAt - renewal.confirmationAge
            + shortenedForDrift(state.limits.grant, state.limits);
    if (ends <= now)
        return;
    if (!leaseValid(state, now))
        releaseOtherTerms(state, renewal.leaderTerm);
    state.leaseEnds = std::max(state.leaseEnds, ends);
    state.lapseHandled = false;
}

auto releaseIfLeaseEnded(holdings_state &state, instant now) -> void
{
    if (state.lapseHandled || leaseValid(state, now))
        return;
    state.lapseHandled = true;
    releaseOwnGroups(state);
}

auto mayUseGroup(const holdings_state &state, const group_id &group, instant now) -> bool
{
    const auto *held = heldGroup(state, group, now);
    return held != nullptr && held->phase == assignment_phase::Held;
}

auto mayUseShard(const holdings_state &state, const shard_id &shard, instant now) -> bool
{
    const auto *held = heldShard(state, shard, now);
    if (held == nullptr || held->phase != assignment_phase::Held)
        return false;
    return mayUseGroup(state, *findGroupOfServer(state.table, held->owner), now);
}

auto isReleasingGroup(const holdings_state &state, const group_id &group, instant now) -> bool
{
    const auto *held = heldGroup(state, group, now);
    return held != nullptr && held->phase == assignment_phase::Releasing;
}

auto isReleasingShard(const holdings_state &state, const shard_id &shard, instant now) -> bool
{
    const auto *held = heldShard(state, shard, now);
    return held != nullptr && held->phase == assignment_phase::Releasing;
}

auto releaseGroup(holdings_state &state, const group_id &group) -> void
{
    const auto found = state.table.groups.find(group);
    if (found != state.table.groups.end())
        state.releasedGroups[group] = found->second.grantEpoch;
}

auto releaseShard(holdings_state &state, const shard_id &shard) -> void
{
    const auto *found = findShard(state.table, shard);
    if (found != nullptr)
        state.releasedShards[shard] = found->grantEpoch;
}

auto releaseServer(holdings_state &state, const server_id &server) -> void
{
    forEachShard(state.table, [&](const shard_id &id, const shard_assignment &shard) {
        if (shard.owner == server && shard.phase != assignment_phase::Vacant)
            state.releasedShards[id] = shard.grantEpoch;
    });
}

auto pendingGroupReleases(const holdings_state &state) -> std::vector<group_epoch>
{
    std::vector<group_epoch> pending;
    for (const auto &[id, grantEpoch] : state.releasedGroups) {
        const auto found = state.table.groups.find(id);
        const auto present =
                found != state.table.groups.end() && found->second.grantEpoch == grantEpoch;
        if (present && found->second.holder == state.self)
            pending.push_back({id, grantEpoch});
    }
    return pending;
}

auto pendingShardReleases(const holdings_state &state) -> std::vector<shard_epoch>
{
    std::vector<shard_epoch> pending;
    for (const auto &[id, grantEpoch] : state.releasedShards) {
        const auto *present = findShard(state.table, id);
        const auto unchanged = present != nullptr && present->grantEpoch == grantEpoch
                && present->phase != assignment_phase::Vacant;
        if (unchanged)
            pending.push_back({id, grantEpoch});
    }
    return pending;
}

auto shardsToGrant(const holdings_state &state, const server_id &server, instant now)
        -> std::vector<shard_epoch>
{
    std::vector<shard_epoch> granted;
    forEachShard(state.table, [&](const shard_id &id, const shard_assignment &shard) {
        if (shard.owner == server && heldShard(state, id, now) != nullptr)
            granted.push_back({id, shard.grantEpoch});
    });
    return granted;
}

} // namespace parsleyloft
