// The leader's choice of holders for groups and of owners for shards.
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
        updateHostsAndServers(planner, hosts, servers);
        reportAll(now);
        plan(now);
    }

    auto reportHost(const host_info &host, instant time) -> void
    {
        applyReport(planner, {host, 1, false, {}, {}, {}}, time);
        mergeHeldTable(planner, host.id, {});
        recordLease(planner, host.id, time);
    }

    auto reportAll(instant time) -> void
    {
        for (const auto &host : hosts)
            reportHost(host, time);
    }

    auto plan(instant time) -> void { planTable(planner, config, changesFrozenUntil, time); }

    auto owners() -> std::map<server_id, int>
    {
        std::map<server_id, int> count;
        for (const auto &shard : planner.table.shards["orders"]) {
            if (shard.phase == assignment_phase::Held)
                ++count[shard.owner];
        }
        return count;
    }

    auto releaseAll(instant time) -> void
    {
        host_report report{hosts[0], 1, false, {}, {}, {}};
        auto &shards = planner.table.shards["orders"];
        for (shard_index index = 0; index < shards.size(); ++index) {
            if (shards[index].phase == assignment_phase::Releasing)
                report.releasedShards.push_back({{"orders", index}, shards[index].grantEpoch});
        }
        applyReport(planner, report, time);
    }

    std::vector<host_info> hosts;
    configuration config;
    instant changesFrozenUntil{1h};
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

TEST_CASE_METHOD(leader_with_hosts, "leader_changes_nothing_while_earlier_leases_may_run",
                 "[planner]")
{
    planner_state nextTerm = planner;
    beginTerm(nextTerm, {1, 2});
    planTable(nextTerm, config, now + 1s, now);
    for (const auto &[id, group] : nextTerm.table.groups)
        CHECK(group.phase == assignment_phase::Vacant);
}

TEST_CASE_METHOD(leader_with_hosts, "group_of_a_lost_host_moves_only_after_the_end_of_its_lease",
                 "[planner]")
{
    const group_id group{"orders", "a"};
    for (auto time = now; time < now + 3s; time += 100ms) {
        reportHost(hosts[1], time);
        reportHost(hosts[2], time);
        plan(time);
        const auto early = time < now + planner.limits.grant;
        if (early)
            REQUIRE(planner.table.groups[group].holder == "host-a");
    }
    CHECK(planner.table.groups[group].holder != "host-a");
    CHECK(planner.table.groups[group].phase == assignment_phase::Held);
}

TEST_CASE_METHOD(leader_with_hosts, "group_of_a_draining_host_is_handed_over", "[planner]")
{
    const group_id group{"orders", "a"};
    const auto before = planner.table.groups[group].grantEpoch;
    applyReport(planner, {hosts[0], 1, true, {}, {}, {}}, now);
    plan(now);
    CHECK(planner.table.groups[group].phase == assignment_phase::Releasing);
    applyReport(planner, {hosts[0], 1, true, {{group, before}}, {}, {}}, now);
    plan(now);
    CHECK(planner.table.groups[group].phase == assignment_phase::Held);
    CHECK(planner.table.groups[group].holder != "host-a");
    CHECK(planner.table.groups[group].grantEpoch > before);
}

TEST_CASE_METHOD(leader_with_hosts, "domain_out_of_service_moves_only_its_own_shards", "[planner]")
{
    const auto before = planner.table.shards["orders"];
    config.evacuatedDomains.insert("a");
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

TEST_CASE_METHOD(leader_with_hosts, "domain_back_in_service_gets_its_share_with_the_fewest_moves",
                 "[planner]")
{
    config.evacuatedDomains.insert("a");
    plan(now);
    releaseAll(now);
    plan(now);
    config.evacuatedDomains.clear();
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

TEST_CASE_METHOD(leader_with_hosts, "unreachable_server_owns_nothing_until_it_is_reachable",
                 "[planner]")
{
    host_report report{hosts[0], 1, false, {}, {}, {{"s-a1", false}}};
    auto &shards = planner.table.shards["orders"];
    for (shard_index index = 0; index < shards.size(); ++index) {
        if (shards[index].owner == "s-a1")
            report.releasedShards.push_back({{"orders", index}, shards[index].grantEpoch});
    }
    applyReport(planner, report, now);
    plan(now);
    CHECK(owners().count("s-a1") == 0);
    report.releasedShards.clear();
    report.serverReachable["s-a1"] = true;
    applyReport(planner, report, now);
    for (int step = 0; step < 10; ++step) {
        plan(now);
        releaseAll(now);
    }
    CHECK(owners()["s-a1"] == 2);
}

TEST_CASE_METHOD(leader_with_hosts, "restarted_host_gets_no_lease_while_its_earlier_lease_may_run",
                 "[planner]")
{
    applyReport(planner, {hosts[0], 2, false, {}, {}, {}}, now + 100ms);
    mergeHeldTable(planner, "host-a", {});
    CHECK_FALSE(mayGrantLease(planner, "host-a", now + 100ms));
    CHECK(mayGrantLease(planner, "host-a", now + 2100ms));
}

TEST_CASE_METHOD(leader_with_hosts, "server_that_is_no_longer_listed_drains_while_it_owns_shards",
                 "[planner]")
{
    std::vector<server_info> servers;
    for (const auto &[id, server] : planner.table.servers) {
        if (id != "s-a1")
            servers.push_back(server);
    }
    updateHostsAndServers(planner, hosts, servers);
    REQUIRE(planner.table.servers.contains("s-a1"));
    CHECK(planner.table.servers["s-a1"].leaving);
    plan(now);
    releaseAll(now);
    plan(now);
    CHECK(owners().count("s-a1") == 0);
}

} // namespace parsleyloft
