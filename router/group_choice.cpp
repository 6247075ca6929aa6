// Selects the group that a request is sent to next: the group of its key's owner, or one of the
// service's groups.
#include "router/group_choice.h"

#include "core/hash.h"
#include "decisions/group_preference.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// Longest waits for an owner that is about to be granted the key: work at the previous owner has
// to end first. The wait is shorter while no owner is decided.
constexpr duration maxOwnerWait = 600ms;
constexpr duration maxUndecidedOwnerWait = 150ms;

auto currentOwnership(router_process &router, const service_name &service)
        -> std::shared_ptr<const ownership_table>
{
    const std::lock_guard guard(router.ownership.lock);
    const auto found = router.ownership.services.find(service);
    return found == router.ownership.services.end() ? nullptr : found->second.table;
}

// The groups with a usable server that has not failed the request.
auto usableGroups(router_process &router, const service_name &service,
                  const std::vector<server_id> &excluded) -> std::vector<group_id>
{
    std::set<domain_id> domains;
    {
        const std::lock_guard guard(router.directory.lock);
        const auto &directory = router.directory.directory;
        for (const auto &[id, entry] : directory.entries) {
            const auto failed = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
            if (entry.record.service == service && !failed && isUsable(directory, entry))
                domains.insert(entry.record.domain);
        }
    }
    std::vector<group_id> groups;
    groups.reserve(domains.size());
    for (const auto &domain : domains)
        groups.push_back({service, domain});
    return groups;
}

auto describeGroups(request_flow &flow, const std::vector<group_id> &groups)
        -> std::vector<group_option>
{
    std::vector<group_option> options;
    options.reserve(groups.size());
    for (const auto &group : groups)
        options.push_back({group.domain == flow.router.self.domain, flow.refusedBy.contains(group),
                           reportedWait(flow.router, group)});
    return options;
}

} // namespace

auto findOwnerGroup(request_flow &flow) -> std::optional<group_choice>
{
    const auto table = currentOwnership(flow.router, flow.service);
    const auto *slice = table ? findSlice(*table, *flow.callerRequest.key) : nullptr;
    if (slice == nullptr || slice->phase != slice_phase::Held)
        return std::nullopt;
    const std::lock_guard guard(flow.router.directory.lock);
    const auto &directory = flow.router.directory.directory;
    const auto owner = directory.entries.find(slice->owner.id);
    if (owner == directory.entries.end()
        || owner->second.record.startTimeMs != slice->owner.startTimeMs
        || !isUsable(directory, owner->second))
        return std::nullopt;
    return group_choice{{flow.service, owner->second.record.domain}, slice->owner.id, true};
}

auto ownerWaitLimit(request_flow &flow) -> duration
{
    const auto table = currentOwnership(flow.router, flow.service);
    const auto *slice = table ? findSlice(*table, *flow.callerRequest.key) : nullptr;
    auto expected = owner_wait::Unknown;
    if (slice != nullptr) {
        const std::lock_guard guard(flow.router.directory.lock);
        expected = expectedOwnerWait(*slice, flow.router.directory.directory);
    }
    switch (expected) {
    case owner_wait::Short:
        return std::min<duration>(flow.matchedRoute->target, maxOwnerWait);
    case owner_wait::Unknown:
        return std::min<duration>(flow.matchedRoute->target / 2, maxUndecidedOwnerWait);
    case owner_wait::Long:
        break;
    }
    return 0us;
}

auto chooseGroup(request_flow &flow, bool &anyUsable) -> std::optional<group_choice>
{
    const auto groups = usableGroups(flow.router, flow.service, flow.excluded);
    anyUsable = !groups.empty();
    const auto options = describeGroups(flow, groups);
    // Each refusal gives the request other draws.
    const auto seed = stableHash(flow.service, flow.seed + flow.refusedBy.size());
    if (const auto index = chooseGroupInTime(options, flow.targetEnds - monotonicNow(), seed))
        return group_choice{groups[*index], {}, false};
    if (flow.lateRequested || groups.empty())
        return std::nullopt;
    flow.lateRequested = true;
    return group_choice{groups[chooseLateGroup(options, seed).value_or(0)], {}, true};
}

auto chooseHedgeGroup(router_process &router, const service_name &service,
                      const std::vector<server_id> &excluded, std::uint64_t seed)
        -> tl::expected<group_id, hedge_denial>
{
    auto groups = usableGroups(router, service, excluded);
    if (groups.empty())
        return tl::unexpected(hedge_denial::NoServer);
    // The own failure domain comes first, the others in an order that depends on the request.
    const auto &ownDomain = router.self.domain;
    std::sort(groups.begin(), groups.end(), [&](const auto &left, const auto &right) {
        const auto rank = [&](const group_id &group) {
            return std::pair(group.domain != ownDomain, stableHash(group.domain, seed));
        };
        return rank(left) < rank(right);
    });
    for (const auto &group : groups) {
        if (reportedWait(router, group).value_or(0us) == 0us)
            return group;
    }
    return tl::unexpected(hedge_denial::GroupBusy);
}

} // namespace parsleyloft
