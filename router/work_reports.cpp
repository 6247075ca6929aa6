// The work that callers request, by key: reported by every host, summed up by the leader.
#include "router/work_reports.h"

#include "router/site_sync.h"
#include "telemetry/event_log.h"

#include <cmath>
#include <numbers>

namespace parsleyloft {

namespace {

// Work reported this long ago counts half.
constexpr duration workHalfLife = 2500ms;
constexpr double minWork = 100;
constexpr duration maxUnitAge = 60s;
constexpr duration loadUpdateInterval = 200ms;
constexpr duration loadLogInterval = 10s;
constexpr double slownessWeight = 0.3;

// The current unit of the reported amounts. It doubles with each half-life.
auto unitAt(const reported_work &reported, instant now) -> double
{
    const auto age = std::chrono::duration<double>(now - reported.unitSince).count();
    return std::exp2(age / std::chrono::duration<double>(workHalfLife).count());
}

// Resets the unit to 1 before the amounts exceed the useful range of a double.
auto rebaseUnit(reported_work &reported, instant now) -> void
{
    if (now - reported.unitSince < maxUnitAge)
        return;
    const auto unit = unitAt(reported, now);
    for (auto &[key, amount] : reported.keys)
        amount /= unit;
    reported.unitSince = now;
}

// The sum, in the unit of the amounts, that the work of one slot adds up to when it is always busy:
// what is added each second, less what decays.
auto workOfSlot() -> double
{
    return static_cast<double>(workHalfLife.count()) / std::numbers::ln2;
}

auto addWork(reported_work &reported, const wire::ServiceWork &work, instant now) -> void
{
    rebaseUnit(reported, now);
    const auto unit = unitAt(reported, now);
    for (const auto &keyWork : work.keys()) {
        if (keyWork.key() <= lastKey)
            reported.keys[keyWork.key()] += keyWork.work_us() * unit;
    }
}

// Adds the slowness of servers as measured by the permit queues of this host.
auto addServerSlowness(router_process &router, std::map<service_name, wire::ServiceWork> &work)
        -> void
{
    const auto now = monotonicNow();
    std::vector<std::pair<group_id, std::shared_ptr<group_queue_table>>> groups;
    {
        const std::lock_guard guard(router.groups.lock);
        groups.assign(router.groups.byId.begin(), router.groups.byId.end());
    }
    for (const auto &[id, group] : groups) {
        const std::lock_guard guard(group->lock);
        if (work.contains(id.service)) {
            const auto measured = relativeSlowness(group->queue.paces, now);
            for (const auto &[server, slowness] : measured) {
                auto *pace = work[id.service].add_servers();
                pace->set_server_id(server);
                pace->set_slowness(slowness);
            }
        }
    }
}

auto addLeavingServers(router_process &router, wire::SyncRequest &report) -> void
{
    const std::lock_guard guard(router.directory.lock);
    for (const auto &[server, startTimeMs] : router.directory.unreportedLeaving) {
        auto *message = report.add_leaving();
        message->set_server_id(server);
        message->set_start_time_ms(startTimeMs);
    }
    router.directory.unreportedLeaving.clear();
}

} // namespace

auto keyedServices(router_process &router) -> std::vector<service_name>
{
    std::vector<service_name> keyed;
    const auto routes = currentRoutes(router);
    if (!routes)
        return keyed;
    for (const auto &[name, service] : routes->configuration.services) {
        if (service.keyed)
            keyed.push_back(name);
    }
    return keyed;
}

auto updateLoad(router_process &router, const service_name &service,
                const service_capacity &capacity, instant now) -> void
{
    auto &reported = router.work.reported[service];
    if (now - reported.loadUpdatedAt < loadUpdateInterval)
        return;
    reported.loadUpdatedAt = now;
    const auto least = minWork * unitAt(reported, now);
    std::erase_if(reported.keys, [least](const auto &entry) { return entry.second < least; });
    const auto perServer = capacity.servers == 0
            ? 0
            : static_cast<double>(capacity.slots) / static_cast<double>(capacity.servers);
    setWork(router.work.loads[service], reported.keys, capacity.servers,
            perServer * workOfSlot() * unitAt(reported, now));
    updateHeat(router.work.heat[service], router.work.loads[service], now);
}

auto logLoad(router_process &router, const service_name &service) -> void
{
    const auto now = monotonicNow();
    std::size_t keys = 0;
    std::size_t largeKeys = 0;
    double utilization = 0;
    duration hotFor = 0us;
    std::uint32_t hotSeen = 0;
    {
        const std::lock_guard guard(router.work.lock);
        auto &reported = router.work.reported[service];
        if (reported.loadUpdatedAt == instant{} || now - reported.loadLoggedAt < loadLogInterval)
            return;
        reported.loadLoggedAt = now;
        const auto &load = router.work.loads[service];
        keys = load.keys.size();
        largeKeys = load.large.size();
        utilization = load.utilization;
        const auto &heat = router.work.heat[service];
        hotFor = heat.lifetime;
        hotSeen = heat.samples;
    }
    logEvent(log_level::Info, "key_load",
             {{"service", service},
              {"keys", std::to_string(keys)},
              {"large_keys", std::to_string(largeKeys)},
              {"utilization", std::to_string(utilization)},
              {"hot_for_ms", std::to_string(toMilliseconds(hotFor))},
              {"hot_seen", std::to_string(hotSeen)}});
}

auto takeWorkReport(router_process &router) -> wire::SyncRequest
{
    wire::SyncRequest report;
    report.set_host_id(router.self.id);
    std::map<service_name, wire::ServiceWork> work;
    for (const auto &service : keyedServices(router))
        work[service].set_service(service);
    {
        const std::lock_guard guard(router.work.lock);
        for (const auto &[service, keys] : router.work.requested) {
            for (const auto &[key, amount] : keys) {
                auto *message = work[service].add_keys();
                message->set_key(key);
                message->set_work_us(amount);
            }
        }
        router.work.requested.clear();
        for (const auto &[service, servers] : router.work.relayedSlowness) {
            for (const auto &[server, slowness] : servers) {
                auto *message = work[service].add_servers();
                message->set_server_id(server);
                message->set_slowness(slowness);
            }
        }
        router.work.relayedSlowness.clear();
    }
    addServerSlowness(router, work);
    addLeavingServers(router, report);
    for (auto &[service, serviceWork] : work) {
        serviceWork.set_service(service);
        *report.add_services() = std::move(serviceWork);
    }
    return report;
}

auto relayWorkReport(router_process &router, const wire::SyncRequest &report) -> void
{
    for (const auto &server : report.leaving())
        adoptLeavingServer(router, server.server_id(), server.start_time_ms());
    const std::lock_guard guard(router.work.lock);
    for (const auto &service : report.services()) {
        auto &requested = router.work.requested[service.service()];
        for (const auto &keyWork : service.keys()) {
            if (keyWork.key() <= lastKey)
                requested[keyWork.key()] += keyWork.work_us();
        }
        auto &slowness = router.work.relayedSlowness[service.service()];
        for (const auto &server : service.servers())
            slowness[server.server_id()] = server.slowness();
    }
}

auto recordWorkReport(router_process &router, const wire::SyncRequest &report) -> void
{
    for (const auto &server : report.leaving())
        adoptLeavingServer(router, server.server_id(), server.start_time_ms());
    const auto now = monotonicNow();
    const std::lock_guard guard(router.work.lock);
    for (const auto &service : report.services()) {
        addWork(router.work.reported[service.service()], service, now);
        auto &load = router.work.loads[service.service()];
        for (const auto &server : service.servers()) {
            auto &known = load.slowness.try_emplace(server.server_id(), 1).first->second;
            known += slownessWeight * (server.slowness() - known);
        }
    }
}

} // namespace parsleyloft
