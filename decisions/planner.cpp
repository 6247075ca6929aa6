// The leader's decisions: which host holds each group and which server owns each shard.
#include "decisions/planner.h"

#include "core/hash.h"

#include <algorithm>
#include <unordered_map>

namespace parsleyloft {

namespace {

// A host that was silent for so long is taken for lost.
constexpr duration silenceLimit = 600ms;

// Shards of one service that may be on the move for balance at a time.
constexpr std::size_t maxBalancingShards = 2;

struct plan
{
    planner_state &state;
    const configuration &wanted;
    instant quietUntil;
    instant now;
    assignment_table &next;
};

auto nextEpoch(plan &work) -> epoch
{
    return {work.next.leaderTerm, work.state.nextSequence++};
}

auto isOut(const plan &work, const std::string &id, const domain_id &domain) -> bool
{
    return work.wanted.evacuatedHosts.contains(id) || work.wanted.evacuatedDomains.contains(domain);
}

auto mayHold(const plan &work, const host_info &host) -> bool
{
    const auto found = work.state.hosts.find(host.id);
    if (found == work.state.hosts.end() || !isAlive(work.state, host.id, work.now))
        return false;
    return found->second.merged && !found->second.draining
            && !work.wanted.evacuatedHosts.contains(host.id);
}

auto mayOwn(const plan &work, const server_info &server) -> bool
{
    if (server.leaving || work.state.unreachable.contains(server.id))
        return false;
    return !isOut(work, server.id, server.domain);
}

auto leaseHasEnded(const plan &work, const host_id &host) -> bool
{
    if (work.now < work.quietUntil)
        return false;
    const auto found = work.state.hosts.find(host);
    return found == work.state.hosts.end() || work.now >= found->second.leaseBound;
}

auto groupsPerHost(const plan &work) -> std::map<host_id, std::size_t>
{
    std::map<host_id, std::size_t> count;
    for (const auto &[id, group] : work.next.groups) {
        if (group.phase != assignment_phase::Vacant)
            ++count[group.holder];
    }
    return count;
}

// The eligible host with the fewest groups, in the group's own domain if there is one.
auto chooseHolder(const plan &work, const group_id &group) -> const host_info *
{
    const auto count = groupsPerHost(work);
    const host_info *best = nullptr;
    const auto rank = [&](const host_info &host) {
        const auto found = count.find(host.id);
        const auto held = found == count.end() ? 0 : found->second;
        return std::tuple(host.domain != group.domain, held, stableHash(host.id + group.service));
    };
    for (const auto &[id, host] : work.next.hosts) {
        if (mayHold(work, host) && (best == nullptr || rank(host) < rank(*best)))
            best = &host;
    }
    return best;
}

// With a new holder all epochs are raised: after a loss the newest may be unknown here.
auto raiseShardEpochs(plan &work, const group_id &group) -> void
{
    const auto found = work.next.shards.find(group.service);
    if (found == work.next.shards.end())
        return;
    for (auto &shard : found->second) {
        if (shard.phase == assignment_phase::Vacant)
            continue;
        if (findGroupOfServer(work.next, shard.owner) != group)
            continue;
        shard.given = nextEpoch(work);
        shard.phase = assignment_phase::Held;
    }
}

auto assignGroup(plan &work, const group_id &id, group_assignment &group) -> void
{
    const auto *host = chooseHolder(work, id);
    if (host == nullptr)
        return;
    group = {host->id, nextEpoch(work), assignment_phase::Held};
    raiseShardEpochs(work, id);
}

auto wantsOtherHolder(const plan &work, const group_id &id, const group_assignment &group) -> bool
{
    const auto *best = chooseHolder(work, id);
    if (best == nullptr || best->id == group.holder)
        return false;
    const auto known = work.next.hosts.find(group.holder);
    if (known == work.next.hosts.end() || !mayHold(work, known->second))
        return true;
    const auto abroad = known->second.domain != id.domain && best->domain == id.domain;
    const auto count = groupsPerHost(work);
    const auto bestCount = count.contains(best->id) ? count.at(best->id) : 0;
    const auto uneven =
            best->domain == known->second.domain && count.at(group.holder) >= bestCount + 2;
    return abroad || uneven;
}

auto planGroup(plan &work, const group_id &id) -> void
{
    auto &group = work.next.groups[id];
    // While older leases run, an epoch that is handed back may not be the newest.
    const auto handedBack = work.now >= work.quietUntil && work.state.handedBackGroups.contains(id);
    if (group.phase == assignment_phase::Vacant) {
        if (work.now >= work.quietUntil)
            assignGroup(work, id, group);
        return;
    }
    if (handedBack) {
        group.phase = assignment_phase::Vacant;
        assignGroup(work, id, group);
        return;
    }
    if (!isAlive(work.state, group.holder, work.now)) {
        if (!leaseHasEnded(work, group.holder))
            return;
        group.phase = assignment_phase::Vacant;
        assignGroup(work, id, group);
        return;
    }
    if (group.phase == assignment_phase::Held && work.now >= work.quietUntil
        && wantsOtherHolder(work, id, group))
        group.phase = assignment_phase::Releasing;
}

auto planGroups(plan &work) -> void
{
    for (const auto &[id, server] : work.next.servers)
        work.next.groups.try_emplace(groupOf(server));
    for (const auto &[id, group] : work.next.groups)
        planGroup(work, id);
}

struct owner_load
{
    const server_info *server = nullptr;
    std::size_t shards = 0;
};

auto loadsOf(const plan &work, const service_info &service) -> std::vector<owner_load>
{
    std::vector<owner_load> loads;
    std::unordered_map<std::string_view, std::size_t> indexes;
    for (const auto &[id, server] : work.next.servers) {
        if (server.service != service.name || !mayOwn(work, server))
            continue;
        indexes[id] = loads.size();
        loads.push_back({&server, 0});
    }
    for (const auto &shard : work.next.shards[service.name]) {
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

auto releaseUnwanted(plan &work, const service_info &service) -> void
{
    for (auto &shard : work.next.shards[service.name]) {
        if (shard.phase != assignment_phase::Held)
            continue;
        const auto server = work.next.servers.find(shard.owner);
        if (server == work.next.servers.end() || !mayOwn(work, server->second))
            shard.phase = assignment_phase::Releasing;
    }
}

auto assignVacant(plan &work, const service_info &service, std::vector<owner_load> &loads) -> void
{
    if (loads.empty())
        return;
    for (auto &shard : work.next.shards[service.name]) {
        if (shard.phase != assignment_phase::Vacant)
            continue;
        const auto least = std::min_element(loads.begin(), loads.end(), byShards);
        shard = {least->server->id, nextEpoch(work), assignment_phase::Held};
        ++least->shards;
    }
}

// Moves the fewest shards that make the counts differ by at most one.
auto balance(plan &work, const service_info &service, std::vector<owner_load> &loads) -> void
{
    if (loads.size() < 2)
        return;
    auto &shards = work.next.shards[service.name];
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

auto planShards(plan &work, const service_info &service) -> void
{
    auto &shards = work.next.shards[service.name];
    if (shards.size() < service.shards)
        shards.resize(service.shards);
    if (work.now < work.quietUntil)
        return;
    releaseUnwanted(work, service);
    auto loads = loadsOf(work, service);
    assignVacant(work, service, loads);
    balance(work, service, loads);
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

auto takeReleases(planner_state &state, const host_report &report) -> void
{
    for (const auto &release : report.releasedGroups) {
        const auto found = state.table.groups.find(release.group);
        const auto current = found != state.table.groups.end()
                && found->second.holder == report.host.id && found->second.given == release.given;
        if (current)
            state.handedBackGroups.insert(release.group);
    }
    for (const auto &release : report.releasedShards) {
        const auto *found = findShard(state.table, release.shard);
        if (found != nullptr && found->given == release.given)
            state.table.shards[release.shard.service][release.shard.index].phase =
                    assignment_phase::Vacant;
    }
}

} // namespace

auto beginTerm(planner_state &state, term ledIn) -> void
{
    // What is held is learned from the hosts and the store, not from earlier plans.
    state.table.groups.clear();
    state.table.shards.clear();
    state.table.leaderTerm = ledIn;
    state.table.version = 1;
    state.nextSequence = 1;
    state.hosts.clear();
    state.unreachable.clear();
    state.handedBackGroups.clear();
}

auto takeReport(planner_state &state, const host_report &report, instant now) -> void
{
    auto &host = state.hosts[report.host.id];
    if (host.start != report.start) {
        // A restarted process holds nothing, but a lease of its past may still run.
        host.start = report.start;
        host.merged = false;
        host.leaseFrom = host.leaseBound;
    }
    host.lastSeen = now;
    host.draining = report.draining;
    state.table.hosts.try_emplace(report.host.id, report.host);
    // The leases of a restarted host's former process may still run.
    if (now >= host.leaseFrom)
        takeReleases(state, report);
    for (const auto &[server, reachable] : report.serverReachable) {
        if (reachable)
            state.unreachable.erase(server);
        else
            state.unreachable.insert(server);
    }
}

auto takeHeldTable(planner_state &state, const host_id &host, const assignment_table &table) -> void
{
    const auto leaderTerm = state.table.leaderTerm;
    const auto version = state.table.version;
    mergeNewer(state.table, table);
    state.table.leaderTerm = leaderTerm;
    state.table.version = version + 1;
    state.hosts[host].merged = true;
}

auto mayLease(const planner_state &state, const host_id &host, instant now) -> bool
{
    const auto found = state.hosts.find(host);
    return found != state.hosts.end() && found->second.merged && now >= found->second.leaseFrom;
}

auto noteLease(planner_state &state, const host_id &host, instant confirmedAt) -> void
{
    auto &bound = state.hosts[host].leaseBound;
    bound = std::max(bound, confirmedAt + lengthenedForDrift(state.limits.grant, state.limits));
    state.latestLeaseBound = std::max(state.latestLeaseBound, bound);
}

auto takeHostList(planner_state &state, std::vector<host_info> hosts,
                  std::vector<server_info> servers) -> void
{
    for (auto &host : hosts)
        state.table.hosts[host.id] = std::move(host);
    std::map<server_id, server_info> listed;
    for (auto &server : servers)
        listed[server.id] = std::move(server);
    // A server that left the list stays known, as leaving, while it owns anything.
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
    return found != state.hosts.end() && now < found->second.lastSeen + silenceLimit;
}

auto planTable(planner_state &state, const configuration &wanted, instant quietUntil, instant now)
        -> void
{
    plan work{state, wanted, quietUntil, now, state.table};
    planGroups(work);
    for (const auto &service : state.services) {
        if (service.keyed)
            planShards(work, service);
    }
    dropUnusedGroups(work.next);
    state.handedBackGroups.clear();
}

auto nextToGiveOut(planner_state &state, const assignment_table &given)
        -> std::optional<assignment_table>
{
    auto comparable = state.table;
    comparable.version = given.version;
    if (comparable == given)
        return std::nullopt;
    if (state.table.leaderTerm == given.leaderTerm)
        state.table.version = given.version + 1;
    return state.table;
}

} // namespace parsleyloft
