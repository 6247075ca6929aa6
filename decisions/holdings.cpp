// What one host holds: its lease, the groups it may send to, and what it released.
#include "decisions/holdings.h"

#include <algorithm>

namespace parsleyloft {

namespace {

auto leaseValid(const holdings_state &state, instant now) -> bool
{
    return now < state.leaseEnds;
}

// The group entry when this host holds it under an epoch that it has not released.
auto heldGroup(const holdings_state &state, const group_id &group, instant now)
    -> const group_assignment *
{
    const auto found = state.table.groups.find(group);
    if (!leaseValid(state, now) || found == state.table.groups.end())
        return nullptr;
    if (found->second.holder != state.self || found->second.phase == assignment_phase::Vacant)
        return nullptr;
    const auto released = state.releasedGroups.find(group);
    if (released != state.releasedGroups.end() && released->second >= found->second.given)
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
    if (released != state.releasedShards.end() && released->second >= found->given)
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
            state.releasedGroups[id] = group.given;
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

auto takeTable(holdings_state &state, const assignment_table &table) -> bool
{
    if (!isNewer(table, state.table))
        return false;
    const auto first = state.table.version == 0;
    state.table = table;
    if (first)
        releaseOwnGroups(state);
    std::erase_if(state.releasedShards, [&](const auto &entry) {
        const auto *present = findShard(state.table, entry.first);
        return present != nullptr && present->given > entry.second;
    });
    return true;
}

auto renewLease(holdings_state &state, instant sentAt, duration confirmationAge, instant now)
    -> void
{
    noteLapse(state, now);
    const auto ends = sentAt - confirmationAge + shortened(state.limits.grant, state.limits);
    if (ends <= now)
        return;
    state.leaseEnds = std::max(state.leaseEnds, ends);
    state.lapseNoted = false;
}

auto noteLapse(holdings_state &state, instant now) -> void
{
    if (state.lapseNoted || leaseValid(state, now))
        return;
    state.lapseNoted = true;
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
        state.releasedGroups[group] = found->second.given;
}

auto releaseShard(holdings_state &state, const shard_id &shard) -> void
{
    const auto *found = findShard(state.table, shard);
    if (found != nullptr)
        state.releasedShards[shard] = found->given;
}

auto releaseServer(holdings_state &state, const server_id &server) -> void
{
    forEachShard(state.table, [&](const shard_id &id, const shard_assignment &shard) {
        if (shard.owner == server && shard.phase != assignment_phase::Vacant)
            state.releasedShards[id] = shard.given;
    });
}

auto openGroupReleases(const holdings_state &state) -> std::vector<group_release>
{
    std::vector<group_release> open;
    for (const auto &[id, given] : state.releasedGroups) {
        const auto found = state.table.groups.find(id);
        const auto present = found != state.table.groups.end() && found->second.given == given;
        if (present && found->second.holder == state.self)
            open.push_back({id, given});
    }
    return open;
}

auto openShardReleases(const holdings_state &state) -> std::vector<shard_release>
{
    std::vector<shard_release> open;
    for (const auto &[id, given] : state.releasedShards) {
        const auto *present = findShard(state.table, id);
        const auto unanswered = present != nullptr && present->given == given
            && present->phase != assignment_phase::Vacant;
        if (unanswered)
            open.push_back({id, given});
    }
    return open;
}

auto shardsToGrant(const holdings_state &state, const server_id &server, instant now)
    -> std::vector<shard_release>
{
    std::vector<shard_release> granted;
    forEachShard(state.table, [&](const shard_id &id, const shard_assignment &shard) {
        if (shard.owner == server && heldShard(state, id, now) != nullptr)
            granted.push_back({id, shard.given});
    });
    return granted;
}

} // namespace parsleyloft
