// Tests of the roles of hosts in large fleets: leases, and the claims when the leader is gone.
#include "decisions/membership.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace parsleyloft {

namespace {

struct fleet
{
    // A twentieth of the hosts is large.
    explicit fleet(std::size_t size)
    {
        for (std::size_t index = 0; index < size; ++index) {
            const auto id = "h" + std::to_string(index);
            hosts[id] = {id, "d" + std::to_string(index % 5), "10.0.0.1:1",
                         index % 20 == 0 ? 0.5 : 0.1};
        }
    }

    auto termsOf(const host_id &id, bool usesUpdateSource = true) const -> lease_terms
    {
        return leaseTermsFor({hosts.size(), leadershipRank(hosts, id), true, usesUpdateSource});
    }

    // Renewals of all hosts in a second.
    auto renewalRate(bool usesUpdateSource) const -> double
    {
        double rate = 0;
        for (const auto &[id, host] : hosts)
            rate += 1
                    / std::chrono::duration<double>(termsOf(id, usesUpdateSource).renewAfter)
                              .count();
        return rate;
    }

    std::map<host_id, member_host> hosts;
};

struct fleet_of_three : fleet
{
    fleet_of_three()
        : fleet(3)
    { }

    instant now{1h};
    missing_hosts missing;
};

} // namespace

// One leader that answers every host spends its processor and its link on that: at 295 hosts it
// came so late that hosts took it for lost and all turned to the store.
TEST_CASE("updates_of_a_large_fleet_are_relayed_in_each_failure_domain", "[membership]")
{
    const fleet large(GENERATE(300, 1000));
    const auto leader =
            std::find_if(large.hosts.begin(), large.hosts.end(), [&](const auto &entry) {
                return leadershipRank(large.hosts, entry.first) == 0;
            })->first;
    std::map<host_id, std::size_t> served;
    for (const auto &[id, host] : large.hosts) {
        const auto sources = findUpdateSources(large.hosts, leader, id);
        if (id == leader) {
            CHECK(sources.empty());
            continue;
        }
        REQUIRE_FALSE(sources.empty());
        ++served[sources.front()];
        // Two further sources stand in when the first one fails.
        const auto rank = leadershipRank(large.hosts, id);
        CHECK(sources.size() >= (rank == 1 ? 1 : 2));
        const auto &first = large.hosts.at(sources.front());
        CHECK((first.id == leader || first.domain == host.domain));
    }
    // Two relays in each of five failure domains, and the standby.
    CHECK(served.at(leader) <= 11);
    for (const auto &[id, count] : served)
        CHECK(count <= large.hosts.size() / 5);
}

TEST_CASE("no_two_hosts_wait_for_updates_of_each_other", "[membership]")
{
    const fleet large(300);
    for (const host_id leader : {"h0", "h7", "h20", "gone", ""}) {
        // Follows every source of every source: the way always ends at the leader or the standby.
        std::map<host_id, std::vector<host_id>> sources;
        for (const auto &[id, host] : large.hosts)
            sources[id] = findUpdateSources(large.hosts, leader, id);
        for (const auto &[id, host] : large.hosts) {
            std::set<host_id> reached{id};
            std::vector<host_id> open{id};
            std::size_t steps = 0;
            auto cycle = false;
            while (!open.empty() && !cycle && ++steps < 1000) {
                const auto next = open.back();
                open.pop_back();
                for (const auto &source : sources[next]) {
                    cycle = cycle || source == id;
                    if (reached.insert(source).second)
                        open.push_back(source);
                }
            }
            CHECK_FALSE(cycle);
        }
    }
}

TEST_CASE("leader_of_a_small_fleet_serves_every_host_itself", "[membership]")
{
    const fleet small(77);
    CHECK(findRelays(small.hosts, "d1", "h0").empty());
}

// The lease of every host used to be renewed each 0.7 s: 430 calls a second at 300 hosts.
TEST_CASE("renewals_of_a_large_fleet_stay_few", "[membership]")
{
    CHECK(fleet(300).renewalRate(true) < 120);
    CHECK(fleet(1000).renewalRate(true) < 320);
    // While the store is away all hosts probe it themselves.
    CHECK(fleet(300).renewalRate(false) < 240);
    CHECK(fleet(1000).renewalRate(false) < 320);
}

TEST_CASE("leader_of_any_fleet_is_replaced_within_its_short_lease", "[membership]")
{
    for (const std::size_t size : {1, 3, 10, 60, 300, 1000}) {
        const fleet hosts(size);
        std::size_t candidates = 0;
        for (const auto &[id, host] : hosts.hosts) {
            const auto terms = hosts.termsOf(id);
            // Three renewals fit in, so that a lost one ends nothing.
            CHECK(terms.length >= 3 * terms.renewAfter);
            candidates += terms.length <= 3s ? 1 : 0;
        }
        CHECK(candidates == std::min<std::size_t>(size, 16));
    }
}

TEST_CASE("ordinary_lease_outlasts_an_outage_of_the_store", "[membership]")
{
    const auto terms = leaseTermsFor({300, 200, true, true});
    CHECK(terms.length - terms.renewAfter >= 8s);
}

TEST_CASE("host_that_does_not_know_the_others_yet_has_no_short_lease", "[membership]")
{
    CHECK(leaseTermsFor({1, 0, false, false}).length > 3s);
}

// All hosts notice a lost leader at the same time. Each claim costs a call.
TEST_CASE("claims_after_the_loss_of_a_leader_are_spread_over_the_fleet", "[membership]")
{
    std::size_t early = 0;
    for (std::size_t rank = 0; rank < 300; ++rank)
        early += claimDelay(rank) < 200ms ? 1 : 0;
    CHECK(early <= 5);
    CHECK(claimDelay(0) == 0us);
    CHECK(claimDelay(1000) <= 3s);
}

// The store may come back from an older copy, which lacks hosts that have announced themselves
// since.
TEST_CASE_METHOD(fleet_of_three, "host_missing_from_an_older_copy_is_kept_for_a_while",
                 "[membership]")
{
    missing.graceEnds = now + 2s;
    const auto lapses = GENERATE(false, true);
    if (lapses)
        removeHost(hosts, missing, "h2", now);
    else
        retainHosts(hosts, missing, {"h1"}, "h0", now);
    CHECK(hosts.contains("h2"));
    CHECK_FALSE(dropMissingHosts(hosts, missing, now + 2s - 1ms));
    SECTION("and_removed_after_it")
    {
        CHECK(dropMissingHosts(hosts, missing, now + 2s));
        CHECK_FALSE(hosts.contains("h2"));
        CHECK(hosts.size() == 2);
    }
    SECTION("and_stays_when_it_is_listed_again")
    {
        retainHosts(hosts, missing, {"h1", "h2"}, "h0", now + 1s);
        CHECK_FALSE(dropMissingHosts(hosts, missing, now + 2s));
        CHECK(hosts.size() == 3);
    }
}

TEST_CASE_METHOD(fleet_of_three, "host_that_is_no_longer_listed_is_removed_at_once", "[membership]")
{
    const auto lapses = GENERATE(false, true);
    if (lapses)
        removeHost(hosts, missing, "h2", now);
    else
        retainHosts(hosts, missing, {"h1"}, "h0", now);
    CHECK_FALSE(hosts.contains("h2"));
    CHECK(hosts.contains("h0"));
    CHECK(hosts.contains("h1"));
}

} // namespace parsleyloft
