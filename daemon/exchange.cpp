// Periodic state exchanges between hosts: leases, assignment tables, configuration and reports.
#include "daemon/exchange.h"

#include "codec/assignment_codec.h"
#include "codec/configuration_codec.h"
#include "daemon/grants.h"

namespace parsleyloft {

namespace {

constexpr duration exchangeTimeout = 400ms;

// Reports whether the servers of this host's groups are reachable. Called with holdings locked.
auto addServers(daemon_process &daemon, exchange_request &request) -> void
{
    const auto &table = daemon.holdings.state.table;
    for (const auto &[server, grant] : daemon.holdings.grants) {
        const auto group = findGroupOfServer(table, server);
        const auto stateKnown = grant.clockKnown || grant.lost;
        if (!stateKnown || !group || !table.groups.contains(*group))
            continue;
        if (table.groups.at(*group).holder == daemon.self.id)
            request.report.serverReachable[server] = !daemon.holdings.lostServers.contains(server);
    }
}

auto makeRequest(daemon_process &daemon, const host_id &to) -> wire::ExchangeRequest
{
    exchange_request request;
    request.report.host = daemon.self;
    request.report.start = daemon.start;
    request.report.draining = daemon.draining;
    auto tableWanted = false;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        addLeadership(daemon.leadership.region, request);
        tableWanted = daemon.leadership.region.tableWanted;
    }
    {
        const std::lock_guard guard(daemon.holdings.lock);
        addHoldings(daemon.holdings.state, tableWanted, monotonicNow(), request);
        addServers(daemon, request);
    }
    auto message = toWire(request);
    const auto config = currentConfiguration(daemon);
    message.set_configuration_revision(config.revision);
    const std::lock_guard guard(daemon.peerTable.lock);
    if (daemon.peerTable.outdated.erase(to) > 0)
        *message.mutable_configuration() = toWire(config);
    return message;
}

auto journalTable(daemon_process &daemon, const assignment_table &table) -> void
{
    if (!daemon.events.impl)
        return;
    for (const auto &[service, shards] : table.shards) {
        for (shard_index index = 0; index < shards.size(); ++index) {
            if (shards[index].phase != assignment_phase::Held)
                continue;
            wire::JournalEvent event;
            event.set_kind(wire::JOURNAL_KIND_ASSIGNMENT);
            event.set_service(service);
            event.set_shard(index);
            event.set_server_id(shards[index].owner);
            *event.mutable_epoch() = toWire(shards[index].grantEpoch);
            recordEvent(daemon.events, std::move(event));
        }
    }
}

// A table that holds only the shards that changed, for the journal.
auto changedShards(const assignment_table &before, const assignment_table &after)
        -> assignment_table
{
    assignment_table changed;
    for (const auto &[service, shards] : after.shards) {
        auto &list = changed.shards[service];
        list.resize(shards.size());
        const auto known = before.shards.find(service);
        for (std::size_t index = 0; index < shards.size(); ++index) {
            const auto unchanged = known != before.shards.end() && index < known->second.size()
                    && known->second[index] == shards[index];
            if (!unchanged)
                list[index] = shards[index];
        }
    }
    return changed;
}

// Applies the lease and the table of a leader's reply to the holdings.
auto applyReply(daemon_process &daemon, const exchange_reply &reply, instant sentAt, instant now)
        -> void
{
    assignment_table changed;
    {
        const std::lock_guard guard(daemon.holdings.lock);
        auto &state = daemon.holdings.state;
        if (reply.table && daemon.events.impl)
            changed = changedShards(state.table, *reply.table);
        if (!applyReplyToHoldings(state, reply, sentAt, now))
            changed = {};
    }
    if (!reply.table)
        return;
    for (const auto &[id, host] : reply.table->hosts)
        updateHostAddress(daemon, host);
    journalTable(daemon, changed);
    post(*daemon.workers, [&daemon] { renewGrants(daemon); });
}

auto handleReply(daemon_process &daemon, const wire::ExchangeReply &message, instant sentAt) -> void
{
    const auto now = monotonicNow();
    if (message.has_configuration())
        adoptConfiguration(daemon, fromWire(message.configuration()));
    for (const auto &host : message.known_hosts())
        updateHostAddress(daemon, fromWire(host));
    const auto revision = currentConfiguration(daemon).revision;
    {
        const std::lock_guard guard(daemon.peerTable.lock);
        daemon.peerTable.lastContact[message.host_id()] = now;
        if (message.configuration_revision() < revision)
            daemon.peerTable.outdated.insert(message.host_id());
    }
    const auto reply = fromWire(message);
    auto acceptedByLeadership = false;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        acceptedByLeadership = applyReplyToRegion(daemon.leadership.region, reply, now);
    }
    if (acceptedByLeadership)
        applyReply(daemon, reply, sentAt, now);
}

auto selectNextPeer(daemon_process &daemon) -> host_id
{
    const std::lock_guard guard(daemon.peerTable.lock);
    if (daemon.peerTable.hosts.empty())
        return {};
    auto next = daemon.peerTable.hosts.begin();
    std::advance(next,
                 static_cast<std::ptrdiff_t>(daemon.peerTable.nextPeer++
                                             % daemon.peerTable.hosts.size()));
    return next->first;
}

auto exchangeWith(daemon_process &daemon, const host_id &peer) -> void
{
    const auto address = addressOfPeer(daemon, peer);
    if (address.empty() || isCutFrom(daemon, peer))
        return;
    const auto sentAt = monotonicNow();
    callExchange(daemon.peerClient, address, makeRequest(daemon, peer), exchangeTimeout,
                 [&daemon, peer, sentAt](result<wire::ExchangeReply> reply) {
                     countExchange(daemon.counters, reply.has_value());
                     if (reply) {
                         if (!isCutFrom(daemon, peer) && reply->host_id() == peer)
                             handleReply(daemon, *reply, sentAt);
                         return;
                     }
                     const std::lock_guard guard(daemon.leadership.lock);
                     if (daemon.leadership.region.leaderHint == peer)
                         daemon.leadership.region.leaderHint.clear();
                 });
}

auto addKnownHosts(daemon_process &daemon, wire::ExchangeReply &reply) -> void
{
    const std::lock_guard guard(daemon.peerTable.lock);
    for (const auto &[id, host] : daemon.peerTable.hosts)
        *reply.add_known_hosts() = toWire(host);
}

} // namespace

auto exchangeWithLeader(daemon_process &daemon) -> void
{
    host_id leader;
    auto isLeader = false;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        const auto &state = daemon.leadership.region.leadership;
        isLeader = state.role == leadership_role::Leader;
        leader = daemon.leadership.region.leaderHint;
    }
    if (isLeader) {
        const auto sentAt = monotonicNow();
        const auto request = makeRequest(daemon, daemon.self.id);
        handleReply(daemon, answerExchange(daemon, request), sentAt);
        return;
    }
    const auto leaderUnknown = leader.empty() || leader == daemon.self.id;
    exchangeWith(daemon, leaderUnknown ? selectNextPeer(daemon) : leader);
}

auto exchangeWithNextPeer(daemon_process &daemon) -> void
{
    const auto peer = selectNextPeer(daemon);
    if (!peer.empty())
        exchangeWith(daemon, peer);
}

auto answerExchange(daemon_process &daemon, const wire::ExchangeRequest &message)
        -> wire::ExchangeReply
{
    updateHostAddress(daemon, fromWire(message.sender()));
    if (message.has_configuration())
        adoptConfiguration(daemon, fromWire(message.configuration()));
    exchange_reply decided;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        decided = answerExchange(daemon.leadership.region, fromWire(message), monotonicNow());
    }
    auto reply = toWire(decided);
    const auto config = currentConfiguration(daemon);
    reply.set_configuration_revision(config.revision);
    if (config.revision > message.configuration_revision())
        *reply.mutable_configuration() = toWire(config);
    if (!decided.leading)
        addKnownHosts(daemon, reply);
    return reply;
}

} // namespace parsleyloft
