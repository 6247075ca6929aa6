// Grants to the backend servers of the groups that this host may send to.
#include "daemon/grants.h"

#include "codec/assignment_codec.h"
#include "codec/json.h"
#include "daemon/dispatch.h"
#include "daemon/exchange.h"
#include "generated/server.pb.h"
#include "telemetry/event_log.h"

#include <algorithm>

namespace parsleyloft {

namespace {

constexpr duration grantTimeout = 250ms;

// One grant on its way to a server.
struct grant_errand
{
    server_id server;
    group_id group;
    endpoint address;
    wire::GrantRequest message;
    // Shards left out for good: they are released when the server has answered.
    std::vector<shard_id> dropped;
};

struct group_work
{
    std::vector<shared_request> passedBack;
    std::vector<grant_errand> errands;
    bool released = false;
};

auto serversOf(const assignment_table &table, const group_id &group) -> std::vector<server_info>
{
    std::vector<server_info> servers;
    for (const auto &[id, server] : table.servers) {
        if (groupOf(server) == group)
            servers.push_back(server);
    }
    return servers;
}

auto asLoads(const std::vector<server_info> &servers) -> std::vector<server_load>
{
    std::vector<server_load> loads;
    for (const auto &server : servers) {
        server_load load;
        load.id = server.id;
        load.slots = server.slots;
        loads.push_back(load);
    }
    return loads;
}

// Takes up or lays down the group. Called with holdings and group locked.
auto noteSending(group_table &table, const std::vector<server_info> &servers, bool sending,
                 instant now) -> void
{
    if (sending && !table.sending) {
        table.queue.servers.clear();
        table.history = {};
        table.history.completeSince = now;
    }
    table.sending = sending;
    setServers(table.queue, asLoads(servers));
}

// Shards that are on their way out and have no work running: the server may drop them.
auto endedShards(holdings_state &state, const group_table &table, const group_id &group,
                 const server_id &server, instant now) -> std::vector<shard_id>
{
    std::vector<shard_id> ended;
    for (const auto &release : shardsToGrant(state, server, now)) {
        const auto running = table.runningPerShard.contains(release.shard.index);
        const auto leaving =
                isReleasingShard(state, release.shard, now) && !isReleasingGroup(state, group, now);
        if (leaving && !running)
            ended.push_back(release.shard);
    }
    return ended;
}

auto makeErrand(daemon_process &daemon, const group_table &table, const group_id &group,
                const server_info &server, instant now) -> grant_errand
{
    auto &state = daemon.holdings.state;
    auto &grant = daemon.holdings.grants[server.id];
    grant_errand errand{
            server.id, group, parseEndpoint(server.address).value_or(endpoint{}), {}, {}};
    *errand.message.mutable_group_epoch() = toWire(state.table.groups[group].grantEpoch);
    const auto until = beginNextGrant(grant, state.leaseEnds, state.limits);
    if (!until)
        return errand;
    errand.message.set_until_us(*until);
    errand.message.set_server_start(grant.start);
    errand.message.set_sequence(grant.sequence);
    errand.dropped = endedShards(state, table, group, server.id, now);
    for (const auto &release : shardsToGrant(state, server.id, now)) {
        const auto dropped = std::find(errand.dropped.begin(), errand.dropped.end(), release.shard);
        if (dropped != errand.dropped.end())
            continue;
        auto *granted = errand.message.add_shards();
        granted->set_shard(release.shard.index);
        *granted->mutable_epoch() = toWire(release.grantEpoch);
    }
    return errand;
}

auto append(std::vector<shared_request> &list, std::vector<shared_request> more) -> void
{
    list.insert(list.end(), more.begin(), more.end());
}

// Work that waits for shards on their way out goes back to its entry hosts.
auto takeLeavingWork(daemon_process &daemon, group_table &table, const group_id &group,
                     const std::vector<server_info> &servers, instant now)
        -> std::vector<shared_request>
{
    auto &state = daemon.holdings.state;
    const auto *service = findService(daemon.services, group.service);
    const auto keyed = service != nullptr && service->keyed;
    // Idempotent work without keys goes on in a failure domain that is cut off.
    if (now >= state.leaseEnds && !keyed)
        return {};
    if (isReleasingGroup(state, group, now) || !mayUseGroup(state, group, now))
        return takeRequests(table, removeAllRequests(table.queue));
    std::vector<shared_request> taken;
    for (const auto &server : servers) {
        for (const auto &release : shardsToGrant(state, server.id, now)) {
            if (isReleasingShard(state, release.shard, now))
                append(taken, takeRequests(table, removeShardRequests(table.queue, release.shard.index)));
        }
    }
    return taken;
}

auto holdsGroup(const holdings_state &state, const group_id &group, instant now) -> bool
{
    return mayUseGroup(state, group, now) || isReleasingGroup(state, group, now);
}

// Releases what a lost server held once its grants have ended.
auto noteLostServers(daemon_process &daemon, group_table &table, const group_id &group,
                     const std::vector<server_info> &servers, instant now)
        -> std::vector<shared_request>
{
    std::vector<shared_request> taken;
    const auto &state = daemon.holdings.state;
    const auto *held = holdsGroup(state, group, now) ? &state.table.groups.at(group) : nullptr;
    for (const auto &server : servers) {
        auto &grant = daemon.holdings.grants[server.id];
        if (held && grant.groupEpoch != held->grantEpoch) {
            beginGroupEpoch(grant, held->grantEpoch, daemon.limits, now);
            daemon.holdings.lostServers.erase(server.id);
        }
        const auto found = table.queue.servers.find(server.id);
        if (found != table.queue.servers.end())
            markUnreachable(found->second, grant.lost);
        if (!grantsHaveEnded(grant, now))
            continue;
        releaseServer(daemon.holdings.state, server.id);
        daemon.holdings.lostServers.insert(server.id);
        append(taken, takeRequests(table, removeOwnerRequests(table.queue, server.id)));
    }
    return taken;
}

auto workOn(daemon_process &daemon, const group_id &group) -> group_work
{
    const auto table = groupTable(daemon, group);
    const std::scoped_lock guard(daemon.holdings.lock, table->lock);
    const auto now = monotonicNow();
    auto &state = daemon.holdings.state;
    releaseIfLeaseEnded(state, now);
    const auto servers = serversOf(state.table, group);
    const auto wasSending = table->sending;
    noteSending(*table, servers, holdsGroup(state, group, now), now);
    group_work work;
    if (wasSending || table->sending) {
        work.passedBack = takeLeavingWork(daemon, *table, group, servers, now);
        append(work.passedBack, noteLostServers(daemon, *table, group, servers, now));
    }
    if (!table->sending)
        return work;
    if (isReleasingGroup(state, group, now) && table->running == 0) {
        releaseGroup(state, group);
        table->sending = false;
        work.released = true;
        return work;
    }
    for (const auto &server : servers)
        work.errands.push_back(makeErrand(daemon, *table, group, server, now));
    return work;
}

auto noteReturn(daemon_process &daemon, const grant_errand &errand, grant_answer answer) -> void
{
    if (answer == grant_answer::Renewed)
        return;
    logEvent(log_level::Info, "server_came_back",
             {{"server", errand.server}, {"as", std::string(nameIn(grantAnswerNames, answer))}});
    const auto table = groupTable(daemon, errand.group);
    const std::lock_guard guard(table->lock);
    const auto found = table->queue.servers.find(errand.server);
    if (found == table->queue.servers.end())
        return;
    markUnreachable(found->second, false);
    resetToCold(found->second);
}

auto takeAnswer(daemon_process &daemon, const grant_errand &errand, const wire::GrantReply &reply)
        -> void
{
    auto answer = grant_answer::Renewed;
    auto released = false;
    {
        const std::lock_guard guard(daemon.holdings.lock);
        auto &grant = daemon.holdings.grants[errand.server];
        answer = recordGrantAnswer(grant, reply.clock_us(), reply.start_number(), monotonicNow());
        if (!grant.lost)
            daemon.holdings.lostServers.erase(errand.server);
        if (reply.accepted()) {
            for (const auto &shard : errand.dropped)
                releaseShard(daemon.holdings.state, shard);
            released = !errand.dropped.empty();
        }
    }
    if (!reply.accepted())
        logEvent(log_level::Warn, "grant_refused", {{"server", errand.server}});
    noteReturn(daemon, errand, answer);
    if (released)
        exchangeOnce(daemon);
    pumpGroup(daemon, errand.group);
}

auto takeFailure(daemon_process &daemon, const grant_errand &errand) -> void
{
    const std::lock_guard guard(daemon.holdings.lock);
    auto &grant = daemon.holdings.grants[errand.server];
    const auto before = grant.lost;
    if (recordGrantFailure(grant) && !before)
        logEvent(log_level::Warn, "server_lost", {{"server", errand.server}});
}

auto sendErrand(daemon_process &daemon, grant_errand errand) -> void
{
    http_request request;
    request.method = "POST";
    request.target = "/grants";
    request.body = toJson(errand.message);
    const auto address = errand.address;
    sendHttp(daemon.servers, address, std::move(request), {grantTimeout, {}},
             [&daemon, errand = std::move(errand)](const http_outcome &ended) {
                 wire::GrantReply reply;
                 const auto answered = ended.failure == http_failure::None
                         && ended.response.status == 200
                         && readForeignJson(ended.response.body, reply).has_value();
                 if (answered)
                     takeAnswer(daemon, errand, reply);
                 else
                     takeFailure(daemon, errand);
             });
}

auto knownGroups(daemon_process &daemon) -> std::vector<group_id>
{
    const std::lock_guard guard(daemon.holdings.lock);
    std::vector<group_id> groups;
    for (const auto &[id, group] : daemon.holdings.state.table.groups) {
        if (group.holder == daemon.self.id)
            groups.push_back(id);
    }
    return groups;
}

auto tablesInUse(daemon_process &daemon) -> std::vector<group_id>
{
    auto groups = knownGroups(daemon);
    const std::lock_guard guard(daemon.groups.lock);
    for (const auto &[id, table] : daemon.groups.byId) {
        if (std::find(groups.begin(), groups.end(), id) == groups.end())
            groups.push_back(id);
    }
    return groups;
}

} // namespace

auto grantOnce(daemon_process &daemon) -> void
{
    auto released = false;
    for (const auto &group : tablesInUse(daemon)) {
        auto work = workOn(daemon, group);
        passBack(work.passedBack, reason::WrongHolder);
        for (auto &errand : work.errands)
            sendErrand(daemon, std::move(errand));
        released = released || work.released;
    }
    if (released)
        exchangeOnce(daemon);
}

} // namespace parsleyloft
