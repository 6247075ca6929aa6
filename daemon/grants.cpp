// Grants to the backend servers of the groups that this host holds.
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

// A grant message for one server.
struct outgoing_grant
{
    server_id server;
    group_id group;
    endpoint address;
    wire::GrantRequest message;
    // Shards left out because they are being released and idle: they count as released when the
    // server has accepted the grant.
    std::vector<shard_id> droppedShards;
};

// What one step of a group decided under the locks, to be carried out without them.
struct group_step
{
    std::vector<shared_request> returnedRequests;
    std::vector<outgoing_grant> outgoing;
    bool groupReleased = false;
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

// Records whether this host sends to the group, and resets the queue when it starts to. Called
// with holdings and group locked.
auto updateSending(group_table &table, const std::vector<server_info> &servers, bool sending)
        -> void
{
    if (sending && !table.sending) {
        table.queue.servers.clear();
        table.history = {};
    }
    table.sending = sending;
    setServers(table.queue, asLoads(servers));
}

auto recordShards(const holdings_state &state, group_table &table,
                  const std::vector<server_info> &servers, instant now) -> void
{
    for (const auto &server : servers) {
        for (const auto &assigned : shardsToGrant(state, server.id, now))
            recordShard(table.history, assigned.shard.index, assigned.grantEpoch, now);
    }
}

// Shards of the server that are being released and run no work: the next grant leaves them out.
auto idleReleasingShards(holdings_state &state, const group_table &table, const group_id &group,
                         const server_id &server, instant now) -> std::vector<shard_id>
{
    std::vector<shard_id> idle;
    for (const auto &assigned : shardsToGrant(state, server, now)) {
        const auto running = table.runningPerShard.contains(assigned.shard.index);
        const auto releasing = isReleasingShard(state, assigned.shard, now)
                && !isReleasingGroup(state, group, now);
        if (releasing && !running)
            idle.push_back(assigned.shard);
    }
    return idle;
}

auto prepareGrant(daemon_process &daemon, const group_table &table, const group_id &group,
                  const server_info &server, instant now) -> outgoing_grant
{
    auto &state = daemon.holdings.state;
    auto &grant = daemon.holdings.grants[server.id];
    outgoing_grant prepared{
            server.id, group, parseEndpoint(server.address).value_or(endpoint{}), {}, {}};
    *prepared.message.mutable_group_epoch() = toWire(state.table.groups[group].grantEpoch);
    const auto until = beginNextGrant(grant, state.leaseEnds, state.limits);
    if (!until)
        return prepared;
    prepared.message.set_until_us(*until);
    prepared.message.set_server_start(grant.start);
    prepared.message.set_sequence(grant.sequence);
    prepared.droppedShards = idleReleasingShards(state, table, group, server.id, now);
    for (const auto &assigned : shardsToGrant(state, server.id, now)) {
        const auto dropped = std::find(prepared.droppedShards.begin(), prepared.droppedShards.end(),
                                       assigned.shard);
        if (dropped != prepared.droppedShards.end())
            continue;
        auto *granted = prepared.message.add_shards();
        granted->set_shard(assigned.shard.index);
        *granted->mutable_epoch() = toWire(assigned.grantEpoch);
    }
    return prepared;
}

auto append(std::vector<shared_request> &list, std::vector<shared_request> more) -> void
{
    list.insert(list.end(), more.begin(), more.end());
}

// Takes the waiting work of shards that are being released, to be returned to its entry hosts.
auto takeReleasedWork(daemon_process &daemon, group_table &table, const group_id &group,
                      const std::vector<server_info> &servers, instant now)
        -> std::vector<shared_request>
{
    auto &state = daemon.holdings.state;
    const auto *service = findService(daemon.services, group.service);
    const auto keyed = service != nullptr && service->keyed;
    // Idempotent work without keys continues in a failure domain that is cut off from the leader.
    if (now >= state.leaseEnds && !keyed)
        return {};
    if (isReleasingGroup(state, group, now) || !mayUseGroup(state, group, now))
        return removeRequests(table, removeAllRequests(table.queue), now);
    std::vector<shared_request> taken;
    for (const auto &server : servers) {
        for (const auto &assigned : shardsToGrant(state, server.id, now)) {
            if (isReleasingShard(state, assigned.shard, now))
                append(taken,
                       removeRequests(table, removeShardRequests(table.queue, assigned.shard.index),
                                      now));
        }
    }
    return taken;
}

auto holdsGroup(const holdings_state &state, const group_id &group, instant now) -> bool
{
    return mayUseGroup(state, group, now) || isReleasingGroup(state, group, now);
}

// Releases the shards of a lost server once its grants have expired, and takes the work that
// waits for it.
auto releaseLostServers(daemon_process &daemon, group_table &table, const group_id &group,
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
        append(taken, removeRequests(table, removeOwnerRequests(table.queue, server.id), now));
    }
    return taken;
}

// Updates the state of a group and prepares the grants to its servers.
auto stepGroup(daemon_process &daemon, const group_id &group) -> group_step
{
    const auto table = groupTable(daemon, group);
    const std::scoped_lock guard(daemon.holdings.lock, table->lock);
    const auto now = monotonicNow();
    auto &state = daemon.holdings.state;
    releaseIfLeaseEnded(state, now);
    const auto servers = serversOf(state.table, group);
    const auto wasSending = table->sending;
    updateSending(*table, servers, holdsGroup(state, group, now));
    group_step step;
    if (wasSending || table->sending) {
        step.returnedRequests = takeReleasedWork(daemon, *table, group, servers, now);
        append(step.returnedRequests, releaseLostServers(daemon, *table, group, servers, now));
    }
    if (!table->sending)
        return step;
    if (isReleasingGroup(state, group, now) && table->running == 0) {
        releaseGroup(state, group);
        table->sending = false;
        step.groupReleased = true;
        return step;
    }
    recordShards(state, *table, servers, now);
    for (const auto &server : servers)
        step.outgoing.push_back(prepareGrant(daemon, *table, group, server, now));
    return step;
}

auto handleServerReturn(daemon_process &daemon, const outgoing_grant &sent, grant_answer answer)
        -> void
{
    if (answer == grant_answer::Renewed)
        return;
    logEvent(log_level::Info, "server_returned",
             {{"server", sent.server}, {"result", std::string(nameIn(grantAnswerNames, answer))}});
    const auto table = groupTable(daemon, sent.group);
    const std::lock_guard guard(table->lock);
    const auto found = table->queue.servers.find(sent.server);
    if (found == table->queue.servers.end())
        return;
    markUnreachable(found->second, false);
    resetToCold(found->second);
}

auto handleGrantReply(daemon_process &daemon, const outgoing_grant &sent,
                      const wire::GrantReply &reply) -> void
{
    auto answer = grant_answer::Renewed;
    auto released = false;
    {
        const std::lock_guard guard(daemon.holdings.lock);
        auto &grant = daemon.holdings.grants[sent.server];
        answer = recordGrantAnswer(grant, reply.clock_us(), reply.start_number(), monotonicNow());
        if (!grant.lost)
            daemon.holdings.lostServers.erase(sent.server);
        if (reply.accepted()) {
            for (const auto &shard : sent.droppedShards)
                releaseShard(daemon.holdings.state, shard);
            released = !sent.droppedShards.empty();
        }
    }
    if (!reply.accepted())
        logEvent(log_level::Warn, "grant_refused", {{"server", sent.server}});
    handleServerReturn(daemon, sent, answer);
    if (released)
        exchangeWithLeader(daemon);
    dispatchGroup(daemon, sent.group);
}

auto handleGrantFailure(daemon_process &daemon, const outgoing_grant &sent) -> void
{
    const std::lock_guard guard(daemon.holdings.lock);
    auto &grant = daemon.holdings.grants[sent.server];
    const auto wasLost = grant.lost;
    if (recordGrantFailure(grant) && !wasLost)
        logEvent(log_level::Warn, "server_lost", {{"server", sent.server}});
}

auto sendGrant(daemon_process &daemon, outgoing_grant sent) -> void
{
    http_request request;
    request.method = "POST";
    request.target = "/grants";
    request.body = toJson(sent.message);
    const auto address = sent.address;
    http_send_options options;
    options.timeout = grantTimeout;
    // Replies to grants have no id. On a connection that carried others, a late copy of one of them
    // would count as the server's release.
    options.newConnection = !sent.droppedShards.empty();
    sendHttp(daemon.serverClient, address, std::move(request), options,
             [&daemon, sent = std::move(sent)](const http_outcome &httpResult) {
                 wire::GrantReply reply;
                 const auto valid = httpResult.failure == http_failure::None
                         && httpResult.response.status == 200
                         && readLenientJson(httpResult.response.body, reply).has_value();
                 if (valid)
                     handleGrantReply(daemon, sent, reply);
                 else
                     handleGrantFailure(daemon, sent);
             });
}

auto heldGroups(daemon_process &daemon) -> std::vector<group_id>
{
    const std::lock_guard guard(daemon.holdings.lock);
    std::vector<group_id> groups;
    for (const auto &[id, group] : daemon.holdings.state.table.groups) {
        if (group.holder == daemon.self.id)
            groups.push_back(id);
    }
    return groups;
}

auto groupsToStep(daemon_process &daemon) -> std::vector<group_id>
{
    auto groups = heldGroups(daemon);
    const std::lock_guard guard(daemon.groups.lock);
    for (const auto &[id, table] : daemon.groups.byId) {
        if (std::find(groups.begin(), groups.end(), id) == groups.end())
            groups.push_back(id);
    }
    return groups;
}

} // namespace

auto renewGrants(daemon_process &daemon) -> void
{
    auto released = false;
    for (const auto &group : groupsToStep(daemon)) {
        auto step = stepGroup(daemon, group);
        returnRequests(step.returnedRequests, reason::WrongHolder);
        for (auto &grant : step.outgoing)
            sendGrant(daemon, std::move(grant));
        released = released || step.groupReleased;
    }
    if (released)
        exchangeWithLeader(daemon);
}

} // namespace parsleyloft
