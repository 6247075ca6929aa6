// The leader's choices of holders and owners.
#include "decisions/planner.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct leader_with_hosts
{
    leader_with_hosts()
    {
        planner.services = {{"orders", true, 12, true}};
        beginTerm(planner, {1, 1});
        std::vector<server_info> servers;
        for (const auto *domain : {"a", "b", "c"}) {
            hosts.push_back({std::string("host-") + domain, domain, "", "peer"});
            for (const auto *number : {"1", "2"})
                servers.push_back(
                        {std::string("s-") + domain + number, "orders", domain, "", 3, false});
        }
        takeHostList(planner, hosts, servers);
        hearAll(now);
        plan(now);
    }

    auto hear(const host_info &host, instant at) -> void
    {
        takeReport(planner, {host, 1, false, {}, {}, {}}, at);
        takeHeldTable(planner, host.id, {});
        noteLease(planner, host.id, at);
    }

    auto hearAll(instant at) -> void
    {
        for (const auto &host : hosts)
            hear(host, at);
    }

    auto plan(instant at) -> void { planTable(planner, wanted, quietUntil, at); }

    auto owners() -> std::map<server_id, int>
    {
        std::map<server_id, int> count;
        for (const auto &shard : planner.table.shards["orders"]) {
            if (shard.phase == assignment_phase::Held)
                ++count[shard.owner];
        }
        return count;
    }

    auto releaseAll(instant at) -> void
    {
        host_report report{hosts[0], 1, false, {}, {}, {}};
        auto &shards = planner.table.shards["orders"];
        for (shard_index index = 0; index < shards.size(); ++index) {
            if (shards[index].phase == assignment_phase::Releasing)
                report.releasedShards.push_back({{"orders", index}, shards[index].given});
        }
        takeReport(planner, report, at);
    }

    std::vector<host_info> hosts;
    configuration wanted;
    instant quietUntil{1h};
    instant now{1h};
    planner_state planner;
};

} // namespace

TEST_CASE_METHOD(leader_with_hosts, "new_region_spreads_shards_evenly_in_their_own_domains",
                 "[planner]")
{
    for (const auto &[server, count] : owners())
        CHECK(count == 2);
    for (const auto &[id, group] : planner.table.groups)
        CHECK(group.holder == "host-" + id.domain);
}

TEST_CASE_METHOD(leader_with_hosts, "leader_in_its_quiet_time_changes_nothing", "[planner]")
{
    planner_state fresh = planner;
    beginTerm(fresh, {1, 2});
    planTable(fresh, wanted, now + 1s, now);
    for (const auto &[id, group] : fresh.table.groups)
        CHECK(group.phase == assignment_phase::Vacant);
}

TEST_CASE_METHOD(leader_with_hosts, "group_of_a_lost_host_waits_for_the_end_of_its_lease",
                 "[planner]")
{
    const group_id group{"orders", "a"};
    for (auto at = now; at < now + 3s; at += 100ms) {
        hear(hosts[1], at);
        hear(hosts[2], at);
        plan(at);
        const auto early = at < now + planner.limits.grant;
        if (early)
            REQUIRE(planner.table.groups[group].holder == "host-a");
    }
    CHECK(planner.table.groups[group].holder != "host-a");
    CHECK(planner.table.groups[group].phase == assignment_phase::Held);
}

TEST_CASE_METHOD(leader_with_hosts, "group_of_a_draining_host_is_handed_over", "[planner]")
{
    const group_id group{"orders", "a"};
    const auto before = planner.table.groups[group].given;
    takeReport(planner, {hosts[0], 1, true, {}, {}, {}}, now);
    plan(now);
    CHECK(planner.table.groups[group].phase == assignment_phase::Releasing);
    takeReport(planner, {hosts[0], 1, true, {{group, before}}, {}, {}}, now);
    plan(now);
    CHECK(planner.table.groups[group].phase == assignment_phase::Held);
    CHECK(planner.table.groups[group].holder != "host-a");
    CHECK(planner.table.groups[group].given > before);
}

TEST_CASE_METHOD(leader_with_hosts, "domain_out_moves_exactly_its_own_shards", "[planner]")
{
    const auto before = planner.table.shards["orders"];
    wanted.evacuatedDomains.insert("a");
    plan(now);
    releaseAll(now);
    plan(now);
    int moved = 0;
    const auto &after = planner.table.shards["orders"];
    for (std::size_t index = 0; index < after.size(); ++index)
        moved += after[index].owner == before[index].owner ? 0 : 1;
    CHECK(moved == 4);
    CHECK(owners().count("s-a1") == 0);
    for (const auto &[server, count] : owners())
        CHECK(count == 3);
}

TEST_CASE_METHOD(leader_with_hosts, "domain_back_in_gets_its_share_by_the_fewest_moves",
                 "[planner]")
{
    wanted.evacuatedDomains.insert("a");
    plan(now);
    releaseAll(now);
    plan(now);
    wanted.evacuatedDomains.clear();
    int moves = 0;
    for (int step = 0; step < 20; ++step) {
        plan(now);
        for (const auto &shard : planner.table.shards["orders"])
            moves += shard.phase == assignment_phase::Releasing ? 1 : 0;
        releaseAll(now);
    }
    plan(now);
    CHECK(moves == 4);
    for (const auto &[server, count] : owners())
        CHECK(count == 2);
}

TEST_CASE_METHOD(leader_with_hosts, "server_reported_lost_owns_nothing_until_it_is_back",
                 "[planner]")
{
    host_report report{hosts[0], 1, false, {}, {}, {{"s-a1", false}}};
    auto &shards = planner.table.shards["orders"];
    for (shard_index index = 0; index < shards.size(); ++index) {
        if (shards[index].owner == "s-a1")
            report.releasedShards.push_back({{"orders", index}, shards[index].given});
    }
    takeReport(planner, report, now);
    plan(now);
    CHECK(owners().count("s-a1") == 0);
    report.releasedShards.clear();
    report.serverReachable["s-a1"] = true;
    takeReport(planner, report, now);
    for (int step = 0; step < 10; ++step) {
        plan(now);
        releaseAll(now);
    }
    CHECK(owners()["s-a1"] == 2);
}

TEST_CASE_METHOD(leader_with_hosts, "restarted_host_gets_no_lease_while_its_former_one_may_run",
                 "[planner]")
{
    takeReport(planner, {hosts[0], 2, false, {}, {}, {}}, now + 100ms);
    takeHeldTable(planner, "host-a", {});
    CHECK_FALSE(mayLease(planner, "host-a", now + 100ms));
    CHECK(mayLease(planner, "host-a", now + 2100ms));
}

TEST_CASE_METHOD(leader_with_hosts, "server_that_left_the_list_drains_while_it_owns_shards",
                 "[planner]")
{
    std::vector<server_info> servers;
    for (const auto &[id, server] : planner.table.servers) {
        if (id != "s-a1")
            servers.push_back(server);
    }
    takeHostList(planner, hosts, servers);
    REQUIRE(planner.table.servers.contains("s-a1"));
    CHECK(planner.table.servers["s-a1"].leaving);
    plan(now);
    releaseAll(now);
    plan(now);
    CHECK(owners().count("s-a1") == 0);
}

} // namespace parsleyloft
