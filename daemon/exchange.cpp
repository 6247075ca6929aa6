// Exchanges of state between hosts: leases, tables, configuration, reports.
#include "daemon/exchange.h"

#include "codec/assignment_codec.h"
#include "codec/configuration_codec.h"
#include "daemon/grants.h"

namespace parsleyloft {

namespace {

constexpr duration exchangeTimeout = 400ms;

auto addServers(daemon_process &daemon, exchange_request &request) -> void
{
    const auto &table = daemon.holdings.state.table;
    for (const auto &[server, grant] : daemon.holdings.grants) {
        const auto group = findGroupOfServer(table, server);
        const auto judged = grant.clockKnown || grant.lost;
        if (!judged || !group || !table.groups.contains(*group))
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
    const auto present = currentConfiguration(daemon);
    message.set_configuration_revision(present.revision);
    const std::lock_guard guard(daemon.peerTable.lock);
    if (daemon.peerTable.outdated.erase(to) > 0)
        *message.mutable_configuration() = toWire(present);
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

// Table entries that changed, for the journal.
auto changedShards(const assignment_table &before, const assignment_table &after)
        -> assignment_table
{
    assignment_table changed;
    for (const auto &[service, shards] : after.shards) {
        auto &list = changed.shards[service];
        list.resize(shards.size());
        const auto known = before.shards.find(service);
        for (std::size_t index = 0; index < shards.size(); ++index) {
            const auto same = known != before.shards.end() && index < known->second.size()
                    && known->second[index] == shards[index];
            if (!same)
                list[index] = shards[index];
        }
    }
    return changed;
}

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
    auto counts = false;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        counts = applyReplyToRegion(daemon.leadership.region, reply, now);
    }
    if (counts)
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
                 [&daemon, peer, sentAt](result<wire::ExchangeReply> ended) {
                     countExchange(daemon.counters, ended.has_value());
                     if (ended) {
                         if (!isCutFrom(daemon, peer) && ended->host_id() == peer)
                             handleReply(daemon, *ended, sentAt);
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
    auto leads = false;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        const auto &state = daemon.leadership.region.leadership;
        leads = state.role == leadership_role::Leader;
        leader = daemon.leadership.region.leaderHint;
    }
    if (leads) {
        const auto sentAt = monotonicNow();
        const auto request = makeRequest(daemon, daemon.self.id);
        handleReply(daemon, answerExchange(daemon, request), sentAt);
        return;
    }
    const auto unknown = leader.empty() || leader == daemon.self.id;
    exchangeWith(daemon, unknown ? selectNextPeer(daemon) : leader);
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
    exchange_reply answer;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        answer = answerExchange(daemon.leadership.region, fromWire(message), monotonicNow());
    }
    auto reply = toWire(answer);
    const auto present = currentConfiguration(daemon);
    reply.set_configuration_revision(present.revision);
    if (present.revision > message.configuration_revision())
        *reply.mutable_configuration() = toWire(present);
    if (!answer.leading)
        addKnownHosts(daemon, reply);
    return reply;
}

} // namespace parsleyloft
