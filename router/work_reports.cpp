// Work that callers ask for by key: reported by every host, gathered by the leader.
#include "router/work_reports.h"

#include <cmath>

namespace parsleyloft {

namespace {

// Work that was reported so long ago counts half.
constexpr duration workHalfLife = 2500ms;
constexpr double leastWork = 100;
constexpr duration longestUnit = 60s;
constexpr duration loadPeriod = 200ms;
constexpr double paceWeight = 0.3;

// How much the unit of reported work has grown.
auto unitAt(const reported_work &reported, instant now) -> double
{
    const auto age = std::chrono::duration<double>(now - reported.unitSince).count();
    return std::exp2(age / std::chrono::duration<double>(workHalfLife).count());
}

// Starts the unit anew before it grows beyond what doubles hold well.
auto renewUnit(reported_work &reported, instant now) -> void
{
    if (now - reported.unitSince < longestUnit)
        return;
    const auto unit = unitAt(reported, now);
    for (auto &[key, amount] : reported.keys)
        amount /= unit;
    reported.unitSince = now;
}

auto addWork(reported_work &reported, const wire::ServiceWork &work, instant now) -> void
{
    renewUnit(reported, now);
    const auto unit = unitAt(reported, now);
    for (const auto &one : work.keys()) {
        if (one.key() <= lastKey)
            reported.keys[one.key()] += one.work_us() * unit;
    }
}

auto paceOfOwnQueues(router_process &router, std::map<service_name, wire::ServiceWork> &work)
        -> void
{
    std::vector<std::pair<group_id, std::shared_ptr<group_queue_table>>> groups;
    {
        const std::lock_guard guard(router.groups.lock);
        groups.assign(router.groups.byId.begin(), router.groups.byId.end());
    }
    for (const auto &[id, group] : groups) {
        const std::lock_guard guard(group->lock);
        if (work.contains(id.service)) {
            for (const auto &[server, state] : group->queue.servers) {
                auto *pace = work[id.service].add_servers();
                pace->set_server_id(server);
                pace->set_slowness(state.slowness);
            }
        }
    }
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

auto refreshLoad(router_process &router, const service_name &service, std::size_t servers,
                 instant now) -> void
{
    auto &reported = router.work.reported[service];
    if (now - reported.usedAt < loadPeriod)
        return;
    reported.usedAt = now;
    const auto least = leastWork * unitAt(reported, now);
    std::erase_if(reported.keys, [least](const auto &one) { return one.second < least; });
    setWork(router.work.heard[service], reported.keys, servers);
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
        for (const auto &[service, keys] : router.work.asked) {
            for (const auto &[key, amount] : keys) {
                auto *message = work[service].add_keys();
                message->set_key(key);
                message->set_work_us(amount);
            }
        }
        router.work.asked.clear();
    }
    paceOfOwnQueues(router, work);
    for (auto &[service, one] : work) {
        one.set_service(service);
        *report.add_services() = std::move(one);
    }
    return report;
}

auto noteSync(router_process &router, const wire::SyncRequest &report) -> void
{
    const auto now = monotonicNow();
    const std::lock_guard guard(router.work.lock);
    for (const auto &service : report.services()) {
        addWork(router.work.reported[service.service()], service, now);
        auto &load = router.work.heard[service.service()];
        for (const auto &server : service.servers()) {
            auto &known = load.slowness.try_emplace(server.server_id(), 1).first->second;
            known += paceWeight * (server.slowness() - known);
        }
    }
}

} // namespace parsleyloft
