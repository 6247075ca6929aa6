// The periodic state exchange between a host and its leader.
#include "decisions/exchange.h"

namespace parsleyloft {

namespace {

// Merges the table of a host into the plan while leases of earlier leaders may still run. After
// that, no holding of an earlier term is in force, so the table is not needed.
auto mergeReportedTable(region_state &region, const host_id &host, const assignment_table &table,
                        instant now) -> void
{
    if (now < region.leadership.changesFrozenUntil)
        mergeHeldTable(region.planner, host, table);
    else
        region.planner.hosts[host].tableMerged = true;
}

// True while the plan assigns a group of the host anew but the new table is not published yet. A
// lease under the published table would bring the old holding back.
auto isBeingReplaced(const region_state &region, const host_id &host) -> bool
{
    for (const auto &[id, group] : region.published.groups) {
        if (group.holder != host || group.phase == assignment_phase::Vacant)
            continue;
        const auto planned = region.planner.table.groups.find(id);
        if (planned == region.planner.table.groups.end()
            || planned->second.grantEpoch != group.grantEpoch)
            return true;
    }
    return false;
}

// Applies a host's report and grants it a lease, when this host leads and is licensed.
auto answerAsLeader(region_state &region, const exchange_request &request, instant now,
                    exchange_reply &reply) -> void
{
    const auto &host = request.report.host.id;
    auto &state = region.leadership;
    const auto &returned = request.returnedStamp;
    if (returned && returned->leader == state.self && returned->leaderTerm == state.highestTerm)
        recordConfirmation(state, host, request.report.start, returned->stamp,
                           request.recordVersion);
    const auto confirmed = licenceConfirmedAt(state, now);
    const auto planning = region.plannerTerm == state.highestTerm;
    if (!confirmed || !isLicensed(state, now) || !planning)
        return;
    reply.leading = true;
    reply.stamp = now;
    applyReport(region.planner, request.report, now);
    if (request.table)
        mergeReportedTable(region, host, *request.table, now);
    reply.tableWanted = !region.planner.hosts[host].tableMerged;
    const assignment_table hostTable{request.tableTerm, request.tableVersion, {}, {}, {}, {}};
    if (isNewer(region.published, hostTable))
        reply.table = region.published;
    if (!mayGrantLease(region.planner, host, now) || isBeingReplaced(region, host))
        return;
    reply.leaseGranted = true;
    reply.confirmationAge = now - *confirmed;
    recordLease(region.planner, host, *confirmed);
    extendOwnPromise(state, now);
}

} // namespace

auto newRegion(lease_limits limits, const member &self, std::vector<service_info> services,
               instant now) -> region_state
{
    region_state region;
    region.leadership = newLeadership(limits, self, now);
    region.planner.limits = limits;
    region.planner.services = std::move(services);
    region.lastLeaderContact = now;
    return region;
}

auto addLeadership(const region_state &region, exchange_request &request) -> void
{
    request.highestTerm = region.leadership.highestTerm;
    request.returnedStamp = region.stampToReturn;
    request.recordVersion = region.leadership.record.version;
}

auto addHoldings(holdings_state &holdings, bool tableWanted, instant now, exchange_request &request)
        -> void
{
    releaseIfLeaseEnded(holdings, now);
    request.tableTerm = holdings.table.leaderTerm;
    request.tableVersion = holdings.table.version;
    if (tableWanted)
        request.table = holdings.table;
    request.report.releasedGroups = pendingGroupReleases(holdings);
    request.report.releasedShards = pendingShardReleases(holdings);
}

auto answerExchange(region_state &region, const exchange_request &request, instant now)
        -> exchange_reply
{
    exchange_reply reply;
    auto &state = region.leadership;
    reply.from = state.self;
    observeTerm(state, request.highestTerm);
    const auto leads = state.role == leadership_role::Leader;
    if (leads)
        answerAsLeader(region, request, now, reply);
    reply.highestTerm = state.highestTerm;
    reply.leader = reply.leading ? state.self : region.leaderHint;
    if (state.record.version > request.recordVersion)
        reply.record = state.record;
    return reply;
}

auto applyReplyToRegion(region_state &region, const exchange_reply &reply, instant now) -> bool
{
    auto &state = region.leadership;
    if (reply.record)
        adoptNewerRecord(state, *reply.record);
    if (!reply.leading) {
        observeTerm(state, reply.highestTerm);
        region.leaderHint = reply.leader == reply.from ? host_id() : reply.leader;
        return false;
    }
    if (reply.highestTerm < state.highestTerm)
        return false;
    region.leaderHint = reply.from;
    region.lastLeaderContact = now;
    region.tableWanted = reply.tableWanted;
    const auto fromSelf = reply.from == state.self;
    if (!fromSelf && promiseSupport(state, reply.from, reply.highestTerm, now))
        region.stampToReturn = returned_stamp{reply.from, reply.highestTerm, reply.stamp};
    return true;
}

auto applyReplyToHoldings(holdings_state &holdings, const exchange_reply &reply, instant sentAt,
                          instant now) -> bool
{
    releaseIfLeaseEnded(holdings, now);
    const auto applied = reply.table && applyTable(holdings, *reply.table);
    if (reply.leaseGranted && reply.highestTerm >= holdings.table.leaderTerm)
        renewLease(holdings, {reply.highestTerm, sentAt, reply.confirmationAge}, now);
    return applied;
}

auto checkLeadership(region_state &region, instant now) -> bool
{
    resignIfUnlicensed(region.leadership, now);
    if (region.leadership.role == leadership_role::Leader)
        return isLicensed(region.leadership, now);
    if (region.leaderHint == region.leadership.self)
        region.leaderHint.clear();
    return false;
}

auto beginLeading(region_state &region, instant now) -> bool
{
    if (region.plannerTerm == region.leadership.highestTerm)
        return false;
    // Members may consent to the host that they already support before their promises have
    // ended. So the leases that it granted in its former term may still run.
    auto &changesFrozenUntil = region.leadership.changesFrozenUntil;
    changesFrozenUntil = std::max(changesFrozenUntil, region.planner.allLeasesEndBy);
    beginTerm(region.planner, region.leadership.highestTerm);
    region.plannerTerm = region.leadership.highestTerm;
    region.plannerTermStart = now;
    // A table of an earlier term may name holders that have since been replaced.
    region.published = {};
    region.tableWanted = false;
    return true;
}

} // namespace parsleyloft
