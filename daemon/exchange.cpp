// Exchanges of state between hosts: leases, tables, configuration, reports.
#include "daemon/exchange.h"

#include "codec/assignment_codec.h"
#include "codec/configuration_codec.h"
#include "daemon/grants.h"

namespace parsleyloft {

namespace {

constexpr duration exchangeTimeout = 400ms;

auto addLeadership(daemon_process &daemon, wire::ExchangeRequest &request) -> bool
{
    const std::lock_guard guard(daemon.leadership.lock);
    const auto &state = daemon.leadership.state;
    *request.mutable_term() = toWire(state.highest);
    request.set_echoed_stamp_us(daemon.leadership.echoedStampUs);
    request.set_record_version(state.record.version);
    return daemon.leadership.tableWanted;
}

auto addHoldings(daemon_process &daemon, wire::ExchangeRequest &request, bool tableWanted) -> void
{
    const std::lock_guard guard(daemon.holdings.lock);
    auto &state = daemon.holdings.state;
    noteLapse(state, monotonicNow());
    *request.mutable_table_term() = toWire(state.table.givenIn);
    request.set_table_version(state.table.version);
    if (tableWanted)
        *request.mutable_table() = toWire(state.table);
    for (const auto &release : openGroupReleases(state))
        *request.add_released_groups() = toWire(release);
    for (const auto &release : openShardReleases(state))
        *request.add_released_shards() = toWire(release);
    for (const auto &[server, grant] : daemon.holdings.grants) {
        const auto group = findGroupOfServer(state.table, server);
        const auto judged = grant.clockKnown || grant.lost;
        if (!judged || !group || state.table.groups[*group].holder != daemon.self.id)
            continue;
        auto *report = request.add_servers();
        report->set_server_id(server);
        report->set_reachable(!daemon.holdings.lostServers.contains(server));
    }
}

auto makeRequest(daemon_process &daemon, const host_id &to) -> wire::ExchangeRequest
{
    wire::ExchangeRequest request;
    *request.mutable_sender() = toWire(daemon.self);
    request.set_start_number(daemon.start);
    request.set_draining(daemon.draining);
    const auto present = currentConfiguration(daemon);
    request.set_configuration_revision(present.revision);
    {
        const std::lock_guard guard(daemon.hosts.lock);
        if (daemon.hosts.behind.erase(to) > 0)
            *request.mutable_configuration() = toWire(present);
    }
    const auto tableWanted = addLeadership(daemon, request);
    addHoldings(daemon, request, tableWanted);
    return request;
}

// Takes the leader's word. Returns false when it comes from an older term.
auto takeLeadership(daemon_process &daemon, const wire::ExchangeReply &reply, instant now) -> bool
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &table = daemon.leadership;
    if (reply.has_record())
        learnRecord(table.state, fromWire(reply.record()));
    const auto ledIn = fromWire(reply.term());
    if (!reply.leading()) {
        meetTerm(table.state, ledIn);
        table.leaderHint = reply.leader();
        return false;
    }
    if (ledIn < table.state.highest)
        return false;
    table.leaderHint = reply.host_id();
    table.lastLeaderWord = now;
    table.tableWanted = reply.table_wanted();
    const auto itself = reply.host_id() == daemon.self.id;
    if (!itself && promiseSupport(table.state, reply.host_id(), ledIn, now))
        table.echoedStampUs = reply.stamp_us();
    return true;
}

auto journalTable(daemon_process &daemon, const assignment_table &table) -> void
{
    if (!daemon.events.inside)
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
            *event.mutable_epoch() = toWire(shards[index].given);
            record(daemon.events, std::move(event));
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

auto takeLease(daemon_process &daemon, const wire::ExchangeReply &reply, instant sentAt,
               instant now) -> void
{
    assignment_table changed;
    {
        const std::lock_guard guard(daemon.holdings.lock);
        auto &state = daemon.holdings.state;
        noteLapse(state, now);
        if (reply.has_table()) {
            const auto table = fromWire(reply.table());
            if (daemon.events.inside)
                changed = changedShards(state.table, table);
            if (!takeTable(state, table))
                changed = {};
        }
        const auto current = fromWire(reply.term()) >= state.table.givenIn;
        if (reply.lease_given() && current)
            renewLease(state, sentAt, duration(reply.confirmation_age_us()), now);
    }
    for (const auto &host : reply.table().hosts())
        learnHost(daemon, fromWire(host));
    journalTable(daemon, changed);
}

auto takeReply(daemon_process &daemon, const wire::ExchangeReply &reply, instant sentAt) -> void
{
    const auto now = monotonicNow();
    if (reply.has_configuration())
        adoptConfiguration(daemon, fromWire(reply.configuration()));
    for (const auto &host : reply.known_hosts())
        learnHost(daemon, fromWire(host));
    const auto revision = currentConfiguration(daemon).revision;
    {
        const std::lock_guard guard(daemon.hosts.lock);
        daemon.hosts.heard[reply.host_id()] = now;
        if (reply.configuration_revision() < revision)
            daemon.hosts.behind.insert(reply.host_id());
    }
    if (takeLeadership(daemon, reply, now))
        takeLease(daemon, reply, sentAt, now);
    if (reply.has_table())
        post(*daemon.workers, [&daemon] { grantOnce(daemon); });
}

auto nextPeer(daemon_process &daemon) -> host_id
{
    const std::lock_guard guard(daemon.hosts.lock);
    if (daemon.hosts.known.empty())
        return {};
    auto next = daemon.hosts.known.begin();
    std::advance(next,
                 static_cast<std::ptrdiff_t>(daemon.hosts.nextPeer++ % daemon.hosts.known.size()));
    return next->first;
}

auto exchangeWith(daemon_process &daemon, const host_id &peer) -> void
{
    const auto address = addressOfPeer(daemon, peer);
    if (address.empty() || isCutFrom(daemon, peer))
        return;
    const auto sentAt = monotonicNow();
    callExchange(daemon.peers, address, makeRequest(daemon, peer), exchangeTimeout,
                 [&daemon, peer, sentAt](result<wire::ExchangeReply> ended) {
                     countExchange(daemon.counters, ended.has_value());
                     if (ended) {
                         if (!isCutFrom(daemon, peer) && ended->host_id() == peer)
                             takeReply(daemon, *ended, sentAt);
                         return;
                     }
                     const std::lock_guard guard(daemon.leadership.lock);
                     if (daemon.leadership.leaderHint == peer)
                         daemon.leadership.leaderHint.clear();
                 });
}

// Takes what a host says of itself and gives it a lease, when this host leads.
auto answerAsLeader(daemon_process &daemon, const wire::ExchangeRequest &request, instant now,
                    wire::ExchangeReply &reply) -> void
{
    const auto host = request.sender().host_id();
    auto &table = daemon.leadership;
    if (request.echoed_stamp_us() != 0 && fromWire(request.term()) == table.state.highest)
        countConfirmation(table.state, host, request.start_number(),
                          fromMicroseconds(request.echoed_stamp_us()), request.record_version());
    const auto confirmed = licenceConfirmedAt(table.state, now);
    if (!confirmed || !isLicensed(table.state, now))
        return;
    reply.set_leading(true);
    reply.set_stamp_us(toMicroseconds(now));
    takeReport(table.planner, reportFromWire(request), now);
    if (request.has_table())
        takeHeldTable(table.planner, host, fromWire(request.table()));
    reply.set_table_wanted(!table.planner.hosts[host].merged);
    const assignment_table theirs{
        fromWire(request.table_term()), request.table_version(), {}, {}, {}, {}};
    if (isNewer(table.given, theirs))
        *reply.mutable_table() = toWire(table.given);
    if (!mayLease(table.planner, host, now))
        return;
    reply.set_lease_given(true);
    reply.set_confirmation_age_us((now - *confirmed).count());
    noteLease(table.planner, host, *confirmed);
}

auto addKnownHosts(daemon_process &daemon, wire::ExchangeReply &reply) -> void
{
    const std::lock_guard guard(daemon.hosts.lock);
    for (const auto &[id, host] : daemon.hosts.known)
        *reply.add_known_hosts() = toWire(host);
}

} // namespace

auto exchangeOnce(daemon_process &daemon) -> void
{
    host_id leader;
    auto leads = false;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        const auto &state = daemon.leadership.state;
        leads = state.role == leadership_role::Leader;
        leader = daemon.leadership.leaderHint;
    }
    if (leads) {
        const auto sentAt = monotonicNow();
        const auto request = makeRequest(daemon, daemon.self.id);
        takeReply(daemon, answerExchange(daemon, request), sentAt);
        return;
    }
    const auto unknown = leader.empty() || leader == daemon.self.id;
    exchangeWith(daemon, unknown ? nextPeer(daemon) : leader);
}

auto gossipOnce(daemon_process &daemon) -> void
{
    const auto peer = nextPeer(daemon);
    if (!peer.empty())
        exchangeWith(daemon, peer);
}

auto answerExchange(daemon_process &daemon, const wire::ExchangeRequest &request)
    -> wire::ExchangeReply
{
    const auto now = monotonicNow();
    wire::ExchangeReply reply;
    reply.set_host_id(daemon.self.id);
    learnHost(daemon, fromWire(request.sender()));
    if (request.has_configuration())
        adoptConfiguration(daemon, fromWire(request.configuration()));
    const auto present = currentConfiguration(daemon);
    reply.set_configuration_revision(present.revision);
    if (present.revision > request.configuration_revision())
        *reply.mutable_configuration() = toWire(present);
    {
        const std::lock_guard guard(daemon.leadership.lock);
        auto &table = daemon.leadership;
        meetTerm(table.state, fromWire(request.term()));
        if (table.state.role == leadership_role::Leader)
            answerAsLeader(daemon, request, now, reply);
        *reply.mutable_term() = toWire(table.state.highest);
        const auto itself = table.state.role == leadership_role::Leader;
        reply.set_leader(itself ? daemon.self.id : table.leaderHint);
        if (table.state.record.version > request.record_version())
            *reply.mutable_record() = toWire(table.state.record);
    }
    if (!reply.leading())
        addKnownHosts(daemon, reply);
    return reply;
}

} // namespace parsleyloft
