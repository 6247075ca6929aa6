// The leader's decisions: which host holds each group and which server owns each shard.
#include "decisions/planner.h"

#include "core/hash.h"

#include <algorithm>
#include <unordered_map>

namespace parsleyloft {

namespace {

// A host without contact for this long counts as lost.
constexpr duration hostTimeout = 600ms;

// Shards of one service that may be moving for balance at a time.
constexpr std::size_t maxBalancingShards = 2;

struct planning
{
    planner_state &state;
    const configuration &config;
    instant changesFrozenUntil;
    instant now;
    assignment_table &next;
};

auto nextEpoch(planning &context) -> epoch
{
    return {context.next.leaderTerm, context.state.nextSequence++};
}

auto isOutOfService(const planning &context, const std::string &id, const domain_id &domain) -> bool
{
    return context.config.evacuatedHosts.contains(id)
            || context.config.evacuatedDomains.contains(domain);
}

auto mayHold(const planning &context, const host_info &host) -> bool
{
    const auto found = context.state.hosts.find(host.id);
    if (found == context.state.hosts.end() || !isAlive(context.state, host.id, context.now))
        return false;
    return found->second.tableMerged && !found->second.draining
            && !context.config.evacuatedHosts.contains(host.id);
}

auto mayOwn(const planning &context, const server_info &server) -> bool
{
    if (server.leaving || context.state.unreachable.contains(server.id))
        return false;
    return !isOutOfService(context, server.id, server.domain);
}

auto leaseHasEnded(const planning &context, const host_id &host) -> bool
{
    if (context.now < context.changesFrozenUntil)
        return false;
    const auto found = context.state.hosts.find(host);
    return found == context.state.hosts.end() || context.now >= found->second.leasesEndBy;
}

auto groupsPerHost(const planning &context) -> std::map<host_id, std::size_t>
{
    std::map<host_id, std::size_t> count;
    for (const auto &[id, group] : context.next.groups) {
        if (group.phase != assignment_phase::Vacant)
            ++count[group.holder];
    }
    return count;
}

// The eligible host with the fewest groups, in the group's own domain if there is one.
auto chooseHolder(const planning &context, const group_id &group) -> const host_info *
{
    const auto count = groupsPerHost(context);
    const host_info *best = nullptr;
    const auto rank = [&](const host_info &host) {
        const auto found = count.find(host.id);
        const auto held = found == count.end() ? 0 : found->second;
        return std::tuple(host.domain != group.domain, held, stableHash(host.id + group.service));
    };
    for (const auto &[id, host] : context.next.hosts) {
        if (mayHold(context, host) && (best == nullptr || rank(host) < rank(*best)))
            best = &host;
    }
    return best;
}

// A new holder gets new epochs for all shards of the group: if the former holder was lost, the
// leader may not know the newest ones.
auto raiseShardEpochs(planning &context, const group_id &group) -> void
{
    const auto found = context.next.shards.find(group.service);
    if (found == context.next.shards.end())
        return;
    for (auto &shard : found->second) {
        if (shard.phase == assignment_phase::Vacant)
            continue;
        if (findGroupOfServer(context.next, shard.owner) != group)
            continue;
        shard.grantEpoch = nextEpoch(context);
        shard.phase = assignment_phase::Held;
    }
}

auto assignGroup(planning &context, const group_id &id, group_assignment &group) -> void
{
    const auto *host = chooseHolder(context, id);
    if (host == nullptr)
        return;
    group = {host->id, nextEpoch(context), assignment_phase::Held};
    raiseShardEpochs(context, id);
}

auto shouldChangeHolder(const planning &context, const group_id &id, const group_assignment &group)
        -> bool
{
    const auto *best = chooseHolder(context, id);
    if (best == nullptr || best->id == group.holder)
        return false;
    const auto known = context.next.hosts.find(group.holder);
    if (known == context.next.hosts.end() || !mayHold(context, known->second))
        return true;
    const auto outsideDomain = known->second.domain != id.domain && best->domain == id.domain;
    const auto count = groupsPerHost(context);
    const auto bestCount = count.contains(best->id) ? count.at(best->id) : 0;
    const auto uneven =
            best->domain == known->second.domain && count.at(group.holder) >= bestCount + 2;
    return outsideDomain || uneven;
}

auto planGroup(planning &context, const group_id &id) -> void
{
    auto &group = context.next.groups[id];
    // While leases of earlier leaders may run, the released epoch may not be the newest one.
    const auto released =
            context.now >= context.changesFrozenUntil && context.state.releasedGroups.contains(id);
    if (group.phase == assignment_phase::Vacant) {
        if (context.now >= context.changesFrozenUntil)
            assignGroup(context, id, group);
        return;
    }
    if (released) {
        group.phase = assignment_phase::Vacant;
        assignGroup(context, id, group);
        return;
    }
    if (!isAlive(context.state, group.holder, context.now)) {
        if (!leaseHasEnded(context, group.holder))
            return;
        group.phase = assignment_phase::Vacant;
        assignGroup(context, id, group);
        return;
    }
    if (group.phase == assignment_phase::Held && context.now >= context.changesFrozenUntil
        && shouldChangeHolder(context, id, group))
        group.phase = assignment_phase::Releasing;
}

auto planGroups(planning &context) -> void
{
    for (const auto &[id, server] : context.next.servers)
        context.next.groups.try_emplace(groupOf(server));
    for (const auto &[id, group] : context.next.groups)
        planGroup(context, id);
}

struct owner_load
{
    const server_info *server = nullptr;
    std::size_t shards = 0;
};

auto countShardsByOwner(const planning &context, const service_info &service)
        -> std::vector<owner_load>
{
    std::vector<owner_load> loads;
    std::unordered_map<std::string_view, std::size_t> indexes;
    for (const auto &[id, server] : context.next.servers) {
        if (server.service != service.name || !mayOwn(context, server))
            continue;
        indexes[id] = loads.size();
        loads.push_back({&server, 0});
    }
    for (const auto &shard : context.next.shards[service.name]) {
        if (shard.phase != assignment_phase::Held)
            continue;
        const auto found = indexes.find(shard.owner);
        if (found != indexes.end())
            ++loads[found->second].shards;
    }
    return loads;
}

auto byShards(const owner_load &left, const owner_load &right) -> bool
{
    return left.shards < right.shards;
}

// Starts the release of shards whose owner is gone or may not own shards any more.
auto releaseFromIneligible(planning &context, const service_info &service) -> void
{
    for (auto &shard : context.next.shards[service.name]) {
        if (shard.phase != assignment_phase::Held)
            continue;
        const auto server = context.next.servers.find(shard.owner);
        if (server == context.next.servers.end() || !mayOwn(context, server->second))
            shard.phase = assignment_phase::Releasing;
    }
}

auto assignVacant(planning &context, const service_info &service, std::vector<owner_load> &loads)
        -> void
{
    if (loads.empty())
        return;
    for (auto &shard : context.next.shards[service.name]) {
        if (shard.phase != assignment_phase::Vacant)
            continue;
        const auto least = std::min_element(loads.begin(), loads.end(), byShards);
        shard = {least->server->id, nextEpoch(context), assignment_phase::Held};
        ++least->shards;
    }
}

// Moves the fewest shards that make the counts differ by at most one.
auto balance(planning &context, const service_info &service, std::vector<owner_load> &loads) -> void
{
    if (loads.size() < 2)
        return;
    auto &shards = context.next.shards[service.name];
    auto moving = static_cast<std::size_t>(
            std::count_if(shards.begin(), shards.end(), [](const auto &shard) {
                return shard.phase == assignment_phase::Releasing;
            }));
    while (moving < maxBalancingShards) {
        const auto extremes = std::minmax_element(loads.begin(), loads.end(), byShards);
        const auto &least = *extremes.first;
        auto &most = *extremes.second;
        if (most.shards < least.shards + moving + 2)
            return;
        const auto found = std::find_if(shards.begin(), shards.end(), [&](const auto &shard) {
            return shard.phase == assignment_phase::Held && shard.owner == most.server->id;
        });
        found->phase = assignment_phase::Releasing;
        --most.shards;
        ++moving;
    }
}

auto planShards(planning &context, const service_info &service) -> void
{
    auto &shards = context.next.shards[service.name];
    if (shards.size() < service.shards)
        shards.resize(service.shards);
    if (context.now < context.changesFrozenUntil)
        return;
    releaseFromIneligible(context, service);
    auto loads = countShardsByOwner(context, service);
    assignVacant(context, service, loads);
    balance(context, service, loads);
}

auto dropUnusedGroups(assignment_table &table) -> void
{
    std::set<group_id> used;
    for (const auto &[id, server] : table.servers)
        used.insert(groupOf(server));
    std::erase_if(table.groups, [&](const auto &entry) {
        return !used.contains(entry.first) && entry.second.phase == assignment_phase::Vacant;
    });
}

auto applyReleases(planner_state &state, const host_report &report) -> void
{
    for (const auto &release : report.releasedGroups) {
        const auto found = state.table.groups.find(release.group);
        const auto current = found != state.table.groups.end()
                && found->second.holder == report.host.id
                && found->second.grantEpoch == release.grantEpoch;
        if (current)
            state.releasedGroups.insert(release.group);
    }
    for (const auto &release : report.releasedShards) {
        const auto *found = findShard(state.table, release.shard);
        if (found != nullptr && found->grantEpoch == release.grantEpoch)
            state.table.shards[release.shard.service][release.shard.index].phase =
                    assignment_phase::Vacant;
    }
}

} // namespace

auto beginTerm(planner_state &state, term leaderTerm) -> void
{
    // The present holdings are taken from the tables of the hosts and the store, not from plans of
    // an earlier term.
    state.table.groups.clear();
    state.table.shards.clear();
    state.table.leaderTerm = leaderTerm;
    state.table.version = 1;
    state.nextSequence = 1;
    state.hosts.clear();
    state.unreachable.clear();
    state.releasedGroups.clear();
}

auto applyReport(planner_state &state, const host_report &report, instant now) -> void
{
    auto &host = state.hosts[report.host.id];
    if (host.start != report.start) {
        // A restarted process holds nothing, but a lease of the process before it may still run.
        host.start = report.start;
        host.tableMerged = false;
        host.noLeaseBefore = host.leasesEndBy;
    }
    host.lastSeen = now;
    host.draining = report.draining;
    state.table.hosts.try_emplace(report.host.id, report.host);
    // Releases count only from noLeaseBefore on: before, a lease of the process that ran before a
    // restart may still be in use.
    if (now >= host.noLeaseBefore)
        applyReleases(state, report);
    for (const auto &[server, reachable] : report.serverReachable) {
        if (reachable)
            state.unreachable.erase(server);
        else
            state.unreachable.insert(server);
    }
}

auto mergeHeldTable(planner_state &state, const host_id &host, const assignment_table &table)
        -> void
{
    const auto leaderTerm = state.table.leaderTerm;
    const auto version = state.table.version;
    mergeNewer(state.table, table);
    state.table.leaderTerm = leaderTerm;
    state.table.version = version + 1;
    state.hosts[host].tableMerged = true;
}

auto mayGrantLease(const planner_state &state, const host_id &host, instant now) -> bool
{
    const auto found = state.hosts.find(host);
    return found != state.hosts.end() && found->second.tableMerged
            && now >= found->second.noLeaseBefore;
}

auto recordLease(planner_state &state, const host_id &host, instant confirmedAt) -> void
{
    auto &bound = state.hosts[host].leasesEndBy;
    bound = std::max(bound, confirmedAt + lengthenedForDrift(state.limits.grant, state.limits));
    state.allLeasesEndBy = std::max(state.allLeasesEndBy, bound);
}

auto updateHostsAndServers(planner_state &state, std::vector<host_info> hosts,
                           std::vector<server_info> servers) -> void
{
    for (auto &host : hosts)
        state.table.hosts[host.id] = std::move(host);
    std::map<server_id, server_info> listed;
    for (auto &server : servers)
        listed[server.id] = std::move(server);
    // A server that is no longer listed stays in the table, as leaving, while it owns shards.
    for (const auto &[service, shards] : state.table.shards) {
        for (const auto &shard : shards) {
            const auto known = state.table.servers.find(shard.owner);
            const auto owns = shard.phase != assignment_phase::Vacant;
            if (!owns || known == state.table.servers.end() || listed.contains(shard.owner))
                continue;
            listed[shard.owner] = known->second;
            listed[shard.owner].leaving = true;
        }
    }
    state.table.servers = std::move(listed);
}

auto isAlive(const planner_state &state, const host_id &host, instant now) -> bool
{
    const auto found = state.hosts.find(host);
    return found != state.hosts.end() && now < found->second.lastSeen + hostTimeout;
}

auto planTable(planner_state &state, const configuration &config, instant changesFrozenUntil,
               instant now) -> void
{
    planning context{state, config, changesFrozenUntil, now, state.table};
    planGroups(context);
    for (const auto &service : state.services) {
        if (service.keyed)
            planShards(context, service);
    }
    dropUnusedGroups(context.next);
    state.releasedGroups.clear();
}

auto nextTableToPublish(planner_state &state, const assignment_table &published)
        -> std::optional<assignment_table>
{
    auto comparable = state.table;
    comparable.version = published.version;
    if (comparable == published)
        return std::nullopt;
    if (state.table.leaderTerm == published.leaderTerm)
        state.table.version = published.version + 1;
    return state.table;
}

} // namespace parsleyloft
