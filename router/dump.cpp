// The state of a routing host, for the /v1/dump endpoint.
#include "router/dump.h"

#include "router/leadership.h"

#include <algorithm>

namespace parsleyloft {

namespace {

auto phaseOf(const permit_server &server, instant now) -> std::string
{
    if (!server.usable)
        return "leaving";
    if (now < server.pausedUntil)
        return "avoided";
    return now < server.coldUntil ? "cold" : "normal";
}

auto addQueues(router_process &router, wire::Dump &dump) -> void
{
    std::vector<std::pair<group_id, std::shared_ptr<group_queue_table>>> groups;
    {
        const std::lock_guard guard(router.groups.lock);
        groups.assign(router.groups.byId.begin(), router.groups.byId.end());
    }
    const auto now = monotonicNow();
    for (const auto &[id, group] : groups) {
        const std::lock_guard guard(group->lock);
        auto *state = dump.add_groups();
        state->set_service(id.service);
        state->set_failure_domain(id.domain);
        state->set_sending(!group->queue.outstanding.empty());
        state->set_queued(static_cast<std::uint32_t>(group->queue.waiting.size()));
        for (const auto &[name, server] : group->queue.servers) {
            auto *shown = state->add_servers();
            shown->set_server_id(name);
            shown->set_phase(phaseOf(server, now));
            shown->set_limit(server.slots);
            shown->set_running(server.running);
            shown->set_reachable(now >= server.pausedUntil);
        }
    }
}

auto addServers(router_process &router, wire::Dump &dump) -> std::set<group_id>
{
    std::set<group_id> groups;
    const std::lock_guard guard(router.directory.lock);
    dump.set_store_reachable(!router.directory.storeUnreachableSince);
    for (const auto &[id, entry] : router.directory.directory.entries) {
        const auto &record = entry.record;
        auto *server = dump.mutable_table()->add_servers();
        server->set_server_id(id);
        server->set_service(record.service);
        server->set_failure_domain(record.domain);
        server->set_address(formatEndpoint(record.address));
        server->set_slots(record.slots);
        server->set_leaving(!isUsable(router.directory.directory, entry));
        groups.insert({record.service, record.domain});
    }
    return groups;
}

auto addHosts(router_process &router, const std::set<group_id> &groups, wire::Dump &dump) -> void
{
    const std::lock_guard guard(router.members.lock);
    dump.set_leader(router.members.leader.host);
    for (const auto &[id, host] : router.members.hosts) {
        auto *shown = dump.mutable_table()->add_hosts();
        shown->set_host_id(id);
        shown->set_failure_domain(host.domain);
        shown->set_peer_address(host.peerAddress);
    }
    for (const auto &group : groups) {
        auto *shown = dump.mutable_table()->add_groups();
        shown->set_service(group.service);
        shown->set_failure_domain(group.domain);
        shown->set_holder(queueHostsFor(router.members, group).front());
        shown->set_phase(wire::ASSIGNMENT_PHASE_HELD);
    }
}

auto addKeys(router_process &router, wire::Dump &dump) -> void
{
    const std::lock_guard guard(router.ownership.lock);
    for (const auto &[service, known] : router.ownership.services) {
        for (const auto &slice : known.table->slices) {
            auto *shown = dump.add_key_slices();
            shown->set_service(service);
            shown->set_from(slice.from);
            shown->set_to(slice.to);
            shown->set_phase(std::string(nameIn(slicePhaseNames, slice.phase)));
            shown->set_server_id(slice.owner.id);
            shown->set_fence(slice.fence);
        }
    }
}

} // namespace

auto makeDump(router_process &router) -> wire::Dump
{
    wire::Dump dump;
    const auto leads = isLeading(router);
    dump.set_host_id(router.self.id);
    dump.set_role(leads ? "leader" : "follower");
    dump.set_licensed(leads);
    dump.set_draining(router.draining);
    dump.set_relayed(router.usesUpdateSource);
    if (const auto routes = currentRoutes(router))
        dump.mutable_configuration()->set_revision(routes->configuration.version);
    {
        const std::lock_guard guard(router.routes.lock);
        for (const auto &defect : router.routes.defects)
            dump.add_configuration_defects(defect);
    }
    addHosts(router, addServers(router, dump), dump);
    addKeys(router, dump);
    addQueues(router, dump);
    const std::lock_guard guard(router.leadership.lock);
    const auto left = timeLeft(router.leadership.leaseValidUntil, hostTimeNow());
    dump.set_lease_left_us(std::max<std::int64_t>(left.count(), 0));
    return dump;
}

} // namespace parsleyloft
