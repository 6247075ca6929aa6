// The exchange between a host and its leader: promises and reports one way, leases and
// tables the other.
#include "decisions/exchange.h"

namespace parsleyloft {

namespace {

// Learns what a host holds. After the quiet time nothing of an earlier term is held.
auto takeOver(region_state &region, const host_id &host, const assignment_table &table, instant now)
        -> void
{
    if (now < region.leadership.quietUntil)
        takeHeldTable(region.planner, host, table);
    else
        region.planner.hosts[host].merged = true;
}

// True while a group of the host is planned for another, which hosts aren't told yet. A
// lease under the table that they have would bring the old holding back.
auto isBeingReplaced(const region_state &region, const host_id &host) -> bool
{
    for (const auto &[id, group] : region.given.groups) {
        if (group.holder != host || group.phase == assignment_phase::Vacant)
            continue;
        const auto planned = region.planner.table.groups.find(id);
        if (planned == region.planner.table.groups.end() || planned->second.given != group.given)
            return true;
    }
    return false;
}

// Takes what a host says of itself and gives it a lease, when this host leads.
auto answerAsLeader(region_state &region, const exchange_request &request, instant now,
                    exchange_reply &reply) -> void
{
    const auto &host = request.report.host.id;
    auto &state = region.leadership;
    const auto &returned = request.returned;
    if (returned && returned->leader == state.self && returned->ledIn == state.highest)
        countConfirmation(state, host, request.report.start, returned->stamp,
                          request.recordVersion);
    const auto confirmed = licenceConfirmedAt(state, now);
    const auto planning = region.plannedTerm == state.highest;
    if (!confirmed || !isLicensed(state, now) || !planning)
        return;
    reply.leading = true;
    reply.stamp = now;
    takeReport(region.planner, request.report, now);
    if (request.table)
        takeOver(region, host, *request.table, now);
    reply.tableWanted = !region.planner.hosts[host].merged;
    const assignment_table theirs{request.tableTerm, request.tableVersion, {}, {}, {}, {}};
    if (isNewer(region.given, theirs))
        reply.table = region.given;
    if (!mayLease(region.planner, host, now) || isBeingReplaced(region, host))
        return;
    reply.leaseGiven = true;
    reply.confirmationAge = now - *confirmed;
    noteLease(region.planner, host, *confirmed);
    promiseOneself(state, now);
}

} // namespace

auto newRegion(lease_limits limits, const member &self, std::vector<service_info> services,
               instant now) -> region_state
{
    region_state region;
    region.leadership = newLeadership(limits, self, now);
    region.planner.limits = limits;
    region.planner.services = std::move(services);
    region.lastLeaderWord = now;
    return region;
}

auto addLeadership(const region_state &region, exchange_request &request) -> void
{
    request.highest = region.leadership.highest;
    request.returned = region.returned;
    request.recordVersion = region.leadership.record.version;
}

auto addHoldings(holdings_state &holdings, bool tableWanted, instant now, exchange_request &request)
        -> void
{
    noteLapse(holdings, now);
    request.tableTerm = holdings.table.leaderTerm;
    request.tableVersion = holdings.table.version;
    if (tableWanted)
        request.table = holdings.table;
    request.report.releasedGroups = openGroupReleases(holdings);
    request.report.releasedShards = openShardReleases(holdings);
}

auto answerExchange(region_state &region, const exchange_request &request, instant now)
        -> exchange_reply
{
    exchange_reply reply;
    auto &state = region.leadership;
    reply.from = state.self;
    meetTerm(state, request.highest);
    const auto leads = state.role == leadership_role::Leader;
    if (leads)
        answerAsLeader(region, request, now, reply);
    reply.highest = state.highest;
    reply.leader = reply.leading ? state.self : region.leaderHint;
    if (state.record.version > request.recordVersion)
        reply.record = state.record;
    return reply;
}

auto takeAnswer(region_state &region, const exchange_reply &reply, instant now) -> bool
{
    auto &state = region.leadership;
    if (reply.record)
        learnRecord(state, *reply.record);
    if (!reply.leading) {
        meetTerm(state, reply.highest);
        region.leaderHint = reply.leader == reply.from ? host_id() : reply.leader;
        return false;
    }
    if (reply.highest < state.highest)
        return false;
    region.leaderHint = reply.from;
    region.lastLeaderWord = now;
    region.tableWanted = reply.tableWanted;
    const auto itself = reply.from == state.self;
    if (!itself && promiseSupport(state, reply.from, reply.highest, now))
        region.returned = returned_stamp{reply.from, reply.highest, reply.stamp};
    return true;
}

auto takeWord(holdings_state &holdings, const exchange_reply &reply, instant sentAt, instant now)
        -> bool
{
    noteLapse(holdings, now);
    const auto taken = reply.table && takeTable(holdings, *reply.table);
    if (reply.leaseGiven && reply.highest >= holdings.table.leaderTerm)
        renewLease(holdings, {reply.highest, sentAt, reply.confirmationAge}, now);
    return taken;
}

auto keepLeading(region_state &region, instant now) -> bool
{
    resignIfStale(region.leadership, now);
    if (region.leadership.role == leadership_role::Leader)
        return isLicensed(region.leadership, now);
    if (region.leaderHint == region.leadership.self)
        region.leaderHint.clear();
    return false;
}

auto beginLeading(region_state &region, instant now) -> bool
{
    if (region.plannedTerm == region.leadership.highest)
        return false;
    // Members may consent again to the host that they support without their promises having
    // run out. So the leases that it gave in its former term may still run.
    auto &quietUntil = region.leadership.quietUntil;
    quietUntil = std::max(quietUntil, region.planner.latestLeaseBound);
    beginTerm(region.planner, region.leadership.highest);
    region.plannedTerm = region.leadership.highest;
    region.plannedSince = now;
    // A table of an earlier term may name holders that have been replaced since.
    region.given = {};
    region.tableWanted = false;
    return true;
}

} // namespace parsleyloft
