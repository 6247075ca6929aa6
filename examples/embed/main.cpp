// Embeds the coordination parts: one leader plans owners for two hosts, and one of the
// hosts holds a lease under the table. Time is handed in, so that nothing waits.
#include "decisions/exchange.h"

#include <iostream>

using namespace parsleyloft;

namespace {

const lease_limits limits;

// Asks the leader once on behalf of a host and takes its answer.
auto exchangeOnce(region_state &leader, region_state &host, holdings_state &holdings,
                  const host_info &self, instant now) -> void
{
    exchange_request request;
    request.report.host = self;
    request.report.start = host.leadership.start;
    addLeadership(host, request);
    addHoldings(holdings, host.tableWanted, now, request);
    const auto reply = answerExchange(leader, request, now);
    if (applyReplyToRegion(host, reply, now))
        applyReplyToHoldings(holdings, reply, now, now);
}

} // namespace

auto main() -> int
{
    const instant start{1h};
    const std::vector<service_info> services{{"books", true, 4, true}};
    const host_info first{"first", "north", "", "first:1"};
    const host_info second{"second", "north", "", "second:1"};
    auto leader = newRegion(limits, {first.id, 1, "north"}, services, start);
    auto other = newRegion(limits, {second.id, 1, "north"}, services, start);
    auto holdings = newHoldings(limits, second.id);

    // A region of one member elects itself once promises of a former life have ended.
    auto now = start + 1s;
    adoptNewerRecord(leader.leadership, makeRecoveryRecord(leader.leadership, {}));
    const auto request = becomeCandidate(leader.leadership, now, 1);
    if (!request)
        return 1;
    const consent_reply own{first.id, 1, true, request->asked, leader.leadership.record};
    handleConsentReply(leader.leadership, own, now);
    beginLeading(leader, now);
    updateHostsAndServers(leader.planner, {first, second},
                          {{"server-1", "books", "north", "", 3, false},
                           {"server-2", "books", "north", "", 3, false}});

    // After the quiet time the leader gives out owners; the other host learns them.
    for (int step = 0; step < 30; ++step) {
        now += 100ms;
        planTable(leader.planner, {}, leader.leadership.changesFrozenUntil, now);
        if (const auto next = nextTableToPublish(leader.planner, leader.published))
            leader.published = *next;
        exchangeOnce(leader, other, holdings, second, now);
    }
    const group_id group{"books", "north"};
    const auto holds = mayUseGroup(holdings, group, now);
    std::cout << "second " << (holds ? "may" : "may not") << " send to books in north\n";
    for (shard_index shard = 0; shard < 4; ++shard)
        std::cout << "shard " << shard << " is owned by "
                  << holdings.table.shards["books"][shard].owner << "\n";
    return holds ? 0 : 1;
}
