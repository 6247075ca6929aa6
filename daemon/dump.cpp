// The state of this process as one message, for operators.
#include "daemon/dump.h"

#include "codec/assignment_codec.h"
#include "codec/configuration_codec.h"

namespace parsleyloft {

namespace {

auto addLeadership(daemon_process &daemon, wire::Dump &dump) -> void
{
    const std::lock_guard guard(daemon.leadership.lock);
    const auto &state = daemon.leadership.region.leadership;
    dump.set_role(std::string(nameIn(leadershipRoleNames, state.role)));
    const auto isLeader = state.role == leadership_role::Leader;
    dump.set_leader(isLeader ? daemon.self.id : daemon.leadership.region.leaderHint);
    dump.set_licensed(isLicensed(state, monotonicNow()));
    *dump.mutable_record() = toWire(state.record);
}

auto addHoldings(daemon_process &daemon, wire::Dump &dump) -> void
{
    const std::lock_guard guard(daemon.holdings.lock);
    const auto left = daemon.holdings.state.leaseEnds - monotonicNow();
    dump.set_lease_left_us(std::max(left, duration::zero()).count());
    *dump.mutable_table() = toWire(daemon.holdings.state.table);
}

auto toWire(const server_load &server) -> wire::ServerState
{
    wire::ServerState message;
    message.set_server_id(server.id);
    message.set_phase(std::string(nameIn(serverPhaseNames, server.phase)));
    message.set_limit(server.limit);
    message.set_running(server.running);
    message.set_latency_us(server.latency.count());
    message.set_reachable(server.phase != server_phase::Unreachable);
    return message;
}

auto addGroups(daemon_process &daemon, wire::Dump &dump) -> void
{
    std::map<group_id, std::shared_ptr<group_table>> groups;
    {
        const std::lock_guard guard(daemon.groups.lock);
        groups = daemon.groups.byId;
    }
    for (const auto &[id, table] : groups) {
        const std::lock_guard guard(table->lock);
        auto *added = dump.add_groups();
        added->set_service(id.service);
        added->set_failure_domain(id.domain);
        added->set_sending(table->sending);
        added->set_queued(static_cast<std::uint32_t>(table->waiting.size()));
        for (const auto &[server, load] : table->queue.servers)
            *added->add_servers() = toWire(load);
    }
}

auto addClasses(daemon_process &daemon, wire::Dump &dump) -> void
{
    const std::lock_guard guard(daemon.statistics.lock);
    for (const auto &[name, counts] : daemon.statistics.classes) {
        auto *added = dump.add_classes();
        added->set_name(name);
        added->set_answered(counts.answered);
        added->set_refused(counts.refused);
        added->set_unknown(counts.unknown);
        added->set_late(counts.late);
        added->set_mean_wait_us(counts.meanWait.count());
        added->set_last_refusal(std::string(nameIn(reasonNames, counts.lastRefusal)));
    }
}

} // namespace

auto dumpState(daemon_process &daemon) -> wire::Dump
{
    wire::Dump dump;
    dump.set_host_id(daemon.self.id);
    dump.set_draining(daemon.draining);
    dump.set_store_reachable(daemon.storeReachable);
    dump.set_store_calls(daemon.storeCalls);
    *dump.mutable_configuration() = toWire(currentConfiguration(daemon));
    addLeadership(daemon, dump);
    addHoldings(daemon, dump);
    addGroups(daemon, dump);
    addClasses(daemon, dump);
    return dump;
}

} // namespace parsleyloft
