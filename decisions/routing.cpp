// Where the host that received a request sends it: the group of servers and the host that may send
// to them.
#include "decisions/routing.h"

#include "core/hash.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// A group whose holder failed is avoided for this long while there are others.
constexpr duration failureBackoff = 300ms;

// A group whose holder failed costs more than any queue.
constexpr std::uint32_t failedHolderCost = 1'000'000;

// Sending to another failure domain costs as much as this many waiting requests.
constexpr std::uint32_t crossDomainCost = 4;

auto chooseOwner(const routing_view &view, const service_info &service,
                 const route_request &request) -> tl::expected<route_target, reason>
{
    const auto index = shardOf(request.key, service.shards);
    const auto *shard = findShard(view.table, {service.name, index});
    if (shard == nullptr || shard->phase != assignment_phase::Held)
        return tl::unexpected(reason::NoOwner);
    const auto group = findGroupOfServer(view.table, shard->owner);
    if (!group)
        return tl::unexpected(reason::NoOwner);
    const auto found = view.table.groups.find(*group);
    if (found == view.table.groups.end() || found->second.phase != assignment_phase::Held)
        return tl::unexpected(reason::NoOwner);
    return route_target{*group, found->second.holder, shard->owner, index};
}

auto hasServerInService(const routing_view &view, const group_id &group) -> bool
{
    return std::any_of(view.table.servers.begin(), view.table.servers.end(),
                       [&](const auto &entry) {
                           const auto &server = entry.second;
                           return groupOf(server) == group && !server.leaving
                                   && !view.config.evacuatedHosts.contains(server.id);
                       });
}

auto costOf(const routing_view &view, const group_id &group, instant now) -> std::uint32_t
{
    const auto domainCost = group.domain == view.ownDomain ? 0 : crossDomainCost;
    const auto hint = view.hints.find(group);
    if (hint == view.hints.end())
        return domainCost;
    const auto failed =
            hint->second.failedAt != instant{} && now < hint->second.failedAt + failureBackoff;
    return domainCost + hint->second.queued + (failed ? failedHolderCost : 0);
}

auto chooseGroup(const routing_view &view, const service_info &service,
                 const route_request &request, instant now) -> tl::expected<route_target, reason>
{
    const std::pair<const group_id, group_assignment> *best = nullptr;
    const auto rank = [&](const auto &entry) {
        const auto avoided = request.avoid && *request.avoid == entry.first;
        return std::tuple(avoided, costOf(view, entry.first, now),
                          stableHash(entry.first.domain, request.seed));
    };
    for (const auto &entry : view.table.groups) {
        if (entry.first.service != service.name
            || view.config.evacuatedDomains.contains(entry.first.domain))
            continue;
        if (!hasServerInService(view, entry.first) || entry.second.holder.empty())
            continue;
        if (best == nullptr || rank(entry) < rank(*best))
            best = &entry;
    }
    if (best == nullptr)
        return tl::unexpected(reason::NoServer);
    return route_target{best->first, best->second.holder, {}, 0};
}

} // namespace

auto findService(const std::vector<service_info> &services, const service_name &name)
        -> const service_info *
{
    for (const auto &service : services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

auto chooseTarget(const routing_view &view, const route_request &request, instant now)
        -> tl::expected<route_target, reason>
{
    const auto *service = findService(view.services, request.work.service);
    if (service == nullptr)
        return tl::unexpected(reason::NoServer);
    if (!service->keyed)
        return chooseGroup(view, *service, request, now);
    if (request.key.empty())
        return tl::unexpected(reason::MissingKey);
    return chooseOwner(view, *service, request);
}

} // namespace parsleyloft
