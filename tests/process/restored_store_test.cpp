// Routing hosts while the metadata store returns from a copy that is some seconds old: what hosts
// wrote since is gone, revisions go back and are given out again, and what operators and servers
// wrote is written again.
#include "support/owner_breaches.h"
#include "support/site_cluster.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <functional>
#include <sys/wait.h>
#include <thread>

namespace parsleyloft {

namespace {

// Bounds of the platform. Hosts are bound by them again when the store has been back for the first
// one.
constexpr duration stableWindow = 3s;
constexpr duration configurationBound = 2s;
constexpr duration evacuationBound = 5s;
constexpr duration recoveryBound = 15s;
// Operators and servers have written their items again this long after the return.
constexpr duration rewriteDelay = 1500ms;
constexpr duration outage = 1s;
constexpr duration pollInterval = 20ms;
constexpr std::uint32_t lastKeyOfSite = 65535;

enum class leader_loss : std::uint8_t { None, BeforeTheMove, AfterTheReturn };

struct restored_site : site_cluster
{
    auto statusAt(int host, const std::string &target) -> unsigned
    {
        caller_call call;
        call.target = target;
        return callHost(*this, host, call).response.status;
    }

    // Does not depend on the servers, or on the other host.
    auto hasRoute(int host, const std::string &target) -> bool
    {
        caller_call call;
        call.target = target;
        call.waitMs = 300;
        const auto outcome = callHost(*this, host, call);
        return outcome.failure == http_failure::None && outcome.response.status != 404;
    }

    auto isServedEverywhere(const std::string &target) -> bool
    {
        return statusAt(0, target) == 200 && statusAt(1, target) == 200;
    }

    // The store is away for a moment, and returns from the copy. The hosts find it as the function
    // leaves it.
    auto restore(
            const store_copy &copy, const std::function<void()> &writeFirst = [] {}) -> void
    {
        setStoreFaults(*store, {.unavailable = true});
        std::this_thread::sleep_for(outage);
        restoreStore(*store, copy);
        writeFirst();
        setStoreFaults(*store, {});
    }

    auto announceServers(const std::vector<std::string> &ids, int times = 1) -> void
    {
        for (int round = 0; round < times; ++round) {
            for (const auto &id : ids)
                publishServerState(servers.at(id), *store, false);
        }
    }

    // Starts a server of the service "shop" under a name of its own in the fixture.
    auto startShopServer(const std::string &name, const std::string &id, std::int64_t startTimeMs)
            -> void
    {
        const auto port = static_cast<std::uint16_t>(ports.firstPort + 20 + servers.size());
        auto started = startKeyedServer(*workers, *store, {"127.0.0.1", port},
                                        {id, "shop", "a", 3, false, startTimeMs});
        REQUIRE(started);
        servers[name] = *started;
    }

    auto arrivalsAt(const std::vector<std::string> &ids) -> std::size_t
    {
        std::size_t arrivals = 0;
        for (const auto &id : ids)
            arrivals += countArrivals(servers.at(id));
        return arrivals;
    }

    // Waits until requests through both hosts no longer reach these servers.
    auto awaitUnused(const std::vector<std::string> &ids) -> void
    {
        waitUntil("the servers are not used", [&] {
            const auto before = arrivalsAt(ids);
            for (int index = 0; index < 16; ++index)
                statusAt(index % 2, "/shop/item");
            return arrivalsAt(ids) == before;
        });
    }

    auto signalHost(int host, int signal) -> void
    {
        kill(processes.at("host-" + std::to_string(host)), signal);
    }

    auto killHost(int host) -> void
    {
        signalHost(host, SIGKILL);
        waitpid(processes.at("host-" + std::to_string(host)), nullptr, 0);
    }

    // The host that the store names as the leader.
    auto leader() -> int
    {
        const auto value = findItem(*store, "parsleyloft/live/leader");
        return value && value->find("host-1") != std::string::npos ? 1 : 0;
    }

    auto holdsAllKeys(const std::string &id) -> bool
    {
        return countHeldKeys(servers.at(id)) == lastKeyOfSite + 1;
    }

    // Takes a domain out of service until its keys have moved to the other server.
    auto moveKeys(const std::string &domain, const std::string &to) -> void
    {
        putItem(*store, "op/evacuate/" + domain, "{}");
        waitUntil("the keys have moved to " + to, [&] { return holdsAllKeys(to); });
        putItem(*store, "op/evacuate/" + domain, "");
    }

    // Sends requests for keys of all ranges through both hosts, whether or not they are served.
    auto requestKeysFor(duration length) -> void
    {
        const auto end = monotonicNow() + length;
        for (std::uint32_t count = 0; monotonicNow() < end; ++count) {
            caller_call call;
            call.target = "/ledger/entry";
            call.key = count * 4099 % (lastKeyOfSite + 1);
            call.waitMs = 300;
            callHost(*this, static_cast<int>(count % 2), call);
            std::this_thread::sleep_for(pollInterval);
        }
    }

    auto areKeysServed(int host) -> bool
    {
        for (std::uint32_t key = 0; key <= lastKeyOfSite; key += 4099) {
            caller_call call;
            call.target = "/ledger/entry";
            call.key = key;
            if (callHost(*this, host, call).response.status != 200)
                return false;
        }
        return true;
    }

    auto findOwnerBreaches() -> std::set<std::string>
    {
        return ownerBreaches(heldKeys(servers.at("ledger-a")), heldKeys(servers.at("ledger-b")));
    }
};

auto isMetWithin(duration limit, const std::function<bool()> &condition) -> bool
{
    const auto end = monotonicNow() + limit;
    while (monotonicNow() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

// The number of polls during this time at which the condition was not met.
auto countMisses(duration length, const std::function<bool()> &condition) -> int
{
    auto misses = 0;
    const auto end = monotonicNow() + length;
    while (monotonicNow() < end) {
        misses += condition() ? 0 : 1;
        std::this_thread::sleep_for(pollInterval);
    }
    return misses;
}

} // namespace

// Guards against changes that are taken for old ones, or missed, because the store gives their
// revisions out for the second time.
TEST_CASE_METHOD(restored_site, "configuration_written_after_a_restore_takes_effect_on_every_host")
{
    // Writes before the configuration, so that its revision is lower than before or the same, and
    // after it, so that the store's revision is lower or higher when the hosts reach it.
    const auto earlierWrites = GENERATE(0, 4);
    const auto laterWrites = GENERATE(0, 40);
    const auto copy = copyStore(*store);
    for (std::uint64_t version = 2; version <= 6; ++version)
        putConfiguration(*this, version, {"/before/"});
    waitUntil("the route is served", [&] { return isServedEverywhere("/before/x"); });
    restore(copy, [&] {
        announceServers({"shop-a"}, earlierWrites);
        putConfiguration(*this, 7, {"/before/", "/after/"});
        announceServers({"shop-a"}, laterWrites);
    });
    CHECK(isMetWithin(stableWindow, [&] { return isServedEverywhere("/after/x"); }));
    putConfiguration(*this, 8, {"/later/"});
    CHECK(isMetWithin(configurationBound, [&] { return isServedEverywhere("/later/x"); }));
    CHECK(statusAt(0, "/after/x") == 404);
    CHECK(statusAt(1, "/after/x") == 404);
}

// Guards against hosts that return to an older configuration with the store.
TEST_CASE_METHOD(restored_site, "configuration_in_force_survives_a_restore_to_an_older_one")
{
    putConfiguration(*this, 2, {"/old/"});
    waitUntil("the route is served", [&] { return isServedEverywhere("/old/x"); });
    const auto copy = copyStore(*store);
    putConfiguration(*this, 5, {"/added/"});
    const auto isNewest = [&] {
        return isServedEverywhere("/added/x") && statusAt(0, "/old/x") == 404
                && statusAt(1, "/old/x") == 404;
    };
    waitUntil("the newest configuration is in force", isNewest);
    restore(copy);
    CHECK(countMisses(rewriteDelay, isNewest) == 0);
    putConfiguration(*this, 5, {"/added/"});
    CHECK(countMisses(stableWindow, isNewest) == 0);
}

// Guards against a host that keeps the positions of before a restore that it did not see, because
// it was frozen, and against sending them to the other host.
TEST_CASE_METHOD(restored_site, "host_frozen_across_a_restore_follows_the_store_again")
{
    const auto freezesLeader = GENERATE(true, false);
    const auto copy = copyStore(*store);
    for (std::uint64_t version = 2; version <= 6; ++version)
        putConfiguration(*this, version, {"/before/"});
    waitUntil("the route is served", [&] { return isServedEverywhere("/before/x"); });
    const auto frozen = freezesLeader ? leader() : 1 - leader();
    signalHost(frozen, SIGSTOP);
    restore(copy, [&] { putConfiguration(*this, 7, {"/after/"}); });
    CHECK(isMetWithin(stableWindow, [&] { return hasRoute(1 - frozen, "/after/x"); }));
    signalHost(frozen, SIGCONT);
    CHECK(isMetWithin(stableWindow, [&] { return hasRoute(frozen, "/after/x"); }));
    putConfiguration(*this, 8, {"/later/"});
    CHECK(isMetWithin(configurationBound,
                      [&] { return hasRoute(0, "/later/x") && hasRoute(1, "/later/x"); }));
    waitUntil("requests are served", [&] { return isServedEverywhere("/shop/item"); });
}

// Guards against the use of a server whose entry of before its end is in the copy, and against the
// loss of one that the copy does not have yet.
TEST_CASE_METHOD(restored_site, "server_that_left_before_a_restore_gets_no_requests_after_it")
{
    // Whether the servers that leave are gone by then, or still draining.
    const auto gone = GENERATE(true, false);
    const auto leaveAgain = [&] {
        for (const auto *id : {"shop-a", "shop-b"}) {
            publishServerState(servers.at(id), *store, true);
            if (gone)
                putItem(*store, std::string("servers/") + id, "");
        }
    };
    const auto copy = copyStore(*store);
    startShopServer("shop-c", "shop-c", 2000);
    waitUntil("the new server is used", [&] {
        statusAt(0, "/shop/item");
        return arrivalsAt({"shop-c"}) > 0;
    });
    leaveAgain();
    awaitUnused({"shop-a", "shop-b"});
    const auto before = arrivalsAt({"shop-a", "shop-b"});
    restore(copy);
    const auto isServed = [&] { return isServedEverywhere("/shop/item"); };
    CHECK(countMisses(rewriteDelay, isServed) == 0);
    announceServers({"shop-c"});
    leaveAgain();
    CHECK(countMisses(stableWindow, isServed) == 0);
    CHECK(arrivalsAt({"shop-a", "shop-b"}) == before);
    // A later incarnation under the same id is another server.
    startShopServer("shop-a-again", "shop-a", 3000);
    CHECK(isMetWithin(configurationBound, [&] {
        statusAt(0, "/shop/item");
        statusAt(1, "/shop/item");
        return arrivalsAt({"shop-a-again"}) > 0;
    }));
}

// Guards against the use of a domain between the return of a store that does not know yet that it
// is out of service, and the operator's next write.
TEST_CASE_METHOD(restored_site, "evacuated_domain_gets_no_requests_across_a_restore")
{
    const auto copy = copyStore(*store);
    putItem(*store, "op/evacuate/a", "{}");
    awaitUnused({"shop-a"});
    const auto before = arrivalsAt({"shop-a"});
    restore(copy);
    const auto isServed = [&] { return isServedEverywhere("/shop/item"); };
    CHECK(countMisses(rewriteDelay, isServed) == 0);
    putItem(*store, "op/evacuate/a", "{}");
    CHECK(countMisses(stableWindow, isServed) == 0);
    CHECK(arrivalsAt({"shop-a"}) == before);
    putItem(*store, "op/evacuate/a", "");
    CHECK(isMetWithin(evacuationBound, [&] {
        isServed();
        return arrivalsAt({"shop-a"}) > before;
    }));
}

// Guards against a domain that stays out of service because the copy is older than its return.
TEST_CASE_METHOD(restored_site, "domain_in_service_is_used_after_a_restore_to_its_evacuation")
{
    putItem(*store, "op/evacuate/a", "{}");
    awaitUnused({"shop-a"});
    const auto copy = copyStore(*store);
    putItem(*store, "op/evacuate/a", "");
    const auto isUsed = [&] {
        const auto before = arrivalsAt({"shop-a"});
        for (int index = 0; index < 8; ++index)
            statusAt(index % 2, "/shop/item");
        return arrivalsAt({"shop-a"}) > before;
    };
    waitUntil("the domain is used", isUsed);
    restore(copy);
    std::this_thread::sleep_for(rewriteDelay);
    putItem(*store, "op/evacuate/a", "");
    CHECK(isMetWithin(evacuationBound, isUsed));
}

// Guards against hosts that count on leases which a restored store does not have: they are listed
// again, and one of them leads.
TEST_CASE_METHOD(restored_site, "hosts_of_a_lost_lease_are_listed_again_after_a_restore")
{
    const auto copy = copyStore(*store);
    for (int host = 0; host < 2; ++host) {
        killHost(host);
        startRoutingHost(*this, host);
    }
    awaitServing(*this);
    restore(copy);
    // The leases of the copy end meanwhile.
    std::this_thread::sleep_for(stableWindow + configurationBound);
    const auto isListed = [&] {
        return findItem(*store, "parsleyloft/live/hosts/host-0")
                && findItem(*store, "parsleyloft/live/hosts/host-1")
                && findItem(*store, "parsleyloft/live/leader");
    };
    CHECK(isListed());
    CHECK(countMisses(stableWindow, isListed) == 0);
    CHECK(isServedEverywhere("/shop/item"));
}

// Guards against state of the first return that makes hosts miss or misread the second.
TEST_CASE_METHOD(restored_site, "second_restore_shortly_after_the_first_is_followed_too")
{
    const auto gap = GENERATE(200, 1000);
    const auto copy = copyStore(*store);
    for (std::uint64_t version = 2; version <= 6; ++version)
        putConfiguration(*this, version, {"/before/"});
    publishServerState(servers.at("shop-a"), *store, true);
    waitUntil("the route is served", [&] { return isServedEverywhere("/before/x"); });
    awaitUnused({"shop-a"});
    const auto before = arrivalsAt({"shop-a"});
    restore(copy, [&] { putConfiguration(*this, 7, {"/before/", "/between/"}); });
    std::this_thread::sleep_for(std::chrono::milliseconds(gap));
    restore(copy, [&] { putConfiguration(*this, 8, {"/before/", "/after/"}); });
    const auto isServed = [&] { return isServedEverywhere("/before/x"); };
    CHECK(isMetWithin(stableWindow, [&] { return isServedEverywhere("/after/x"); }));
    publishServerState(servers.at("shop-a"), *store, true);
    CHECK(countMisses(stableWindow, isServed) == 0);
    CHECK(arrivalsAt({"shop-a"}) == before);
    putConfiguration(*this, 9, {"/later/"});
    CHECK(isMetWithin(configurationBound, [&] { return isServedEverywhere("/later/x"); }));
}

// Guards against two servers with the same keys, and fences that were used before, once the table
// of owners is one of before the keys moved; and against owners that can't change any more.
TEST_CASE_METHOD(restored_site, "keys_moved_before_a_restore_keep_one_owner")
{
    const auto loss =
            GENERATE(leader_loss::None, leader_loss::BeforeTheMove, leader_loss::AfterTheReturn);
    const auto copy = copyStore(*store);
    if (loss == leader_loss::BeforeTheMove) {
        const auto lost = leader();
        killHost(lost);
        waitUntil("the other host leads", [&] { return leader() == 1 - lost; });
        startRoutingHost(*this, lost);
        awaitServing(*this);
    }
    moveKeys("a", "ledger-b");
    restore(copy);
    requestKeysFor(configurationBound);
    if (loss == leader_loss::AfterTheReturn) {
        const auto lost = leader();
        killHost(lost);
        requestKeysFor(configurationBound);
        startRoutingHost(*this, lost);
    }
    requestKeysFor(recoveryBound);
    CHECK(areKeysServed(0));
    CHECK(areKeysServed(1));
    putItem(*store, "op/evacuate/b", "{}");
    CHECK(isMetWithin(recoveryBound, [&] { return holdsAllKeys("ledger-a"); }));
    CHECK(areKeysServed(0));
    CHECK(areKeysServed(1));
    CHECK(findOwnerBreaches() == std::set<std::string>());
}

// Guards against hosts that take the table of a restored store for complete when none of them knows
// what was granted since the copy, and against grants that servers refuse for ever because they
// have seen higher fences.
TEST_CASE_METHOD(restored_site, "keys_moved_before_a_restore_keep_one_owner_if_all_hosts_restart")
{
    const auto movedBack = GENERATE(false, true);
    const auto copy = copyStore(*store);
    moveKeys("a", "ledger-b");
    if (movedBack)
        moveKeys("b", "ledger-a");
    restore(copy);
    for (int host = 0; host < 2; ++host) {
        killHost(host);
        startRoutingHost(*this, host);
    }
    requestKeysFor(recoveryBound);
    CHECK(isMetWithin(recoveryBound, [&] { return areKeysServed(0) && areKeysServed(1); }));
    CHECK(findOwnerBreaches() == std::set<std::string>());
}

// Guards against a second holder of most keys: the copy was of before the first table of owners,
// and hosts that had just started took its absence for a new deployment.
TEST_CASE_METHOD(restored_site, "keys_keep_one_owner_if_only_new_hosts_see_a_store_without_a_table")
{
    moveKeys("a", "ledger-b");
    const auto copy = copyStore(*store);
    setStoreFaults(*store, {.unavailable = true});
    for (int host = 0; host < 2; ++host) {
        killHost(host);
        startRoutingHost(*this, host);
    }
    std::this_thread::sleep_for(2 * outage);
    restore(copy, [&] {
        for (const auto *key : {"parsleyloft/owners/ledger", "parsleyloft/live/leader"})
            putItem(*store, key, "");
    });
    requestKeysFor(recoveryBound);
    CHECK(isMetWithin(recoveryBound, [&] { return areKeysServed(0) && areKeysServed(1); }));
    CHECK(findOwnerBreaches() == std::set<std::string>());
}

// Guards against fences and owners of the first return that are used again after the second.
TEST_CASE_METHOD(restored_site, "keys_moved_between_two_restores_keep_one_owner")
{
    const auto copy = copyStore(*store);
    moveKeys("a", "ledger-b");
    restore(copy);
    requestKeysFor(stableWindow);
    putItem(*store, "op/evacuate/b", "{}");
    CHECK(isMetWithin(recoveryBound, [&] { return holdsAllKeys("ledger-a"); }));
    putItem(*store, "op/evacuate/b", "");
    restore(copy);
    requestKeysFor(stableWindow);
    putItem(*store, "op/evacuate/a", "{}");
    CHECK(isMetWithin(recoveryBound, [&] { return holdsAllKeys("ledger-b"); }));
    CHECK(areKeysServed(0));
    CHECK(areKeysServed(1));
    CHECK(findOwnerBreaches() == std::set<std::string>());
}

// Guards against a leader, and a successor, that take owners and fences from a table of an earlier
// era: the store has carried out a late write, whose condition held again.
TEST_CASE_METHOD(restored_site, "keys_keep_one_owner_if_a_late_write_replaces_the_table_of_owners")
{
    const auto leaderLost = GENERATE(false, true);
    const auto *const key = "parsleyloft/owners/ledger";
    const auto late = findItem(*store, key);
    REQUIRE(late);
    const auto copy = copyStore(*store);
    moveKeys("a", "ledger-b");
    restore(copy);
    waitUntil("the leader has stored its table", [&] { return findItem(*store, key) != late; });
    requestKeysFor(recoveryBound);
    // The table's sequence number rises well above that of a table that has just been read.
    for (int round = 0; round < 3; ++round) {
        moveKeys("b", "ledger-a");
        moveKeys("a", "ledger-b");
    }
    moveKeys("b", "ledger-a");
    putItem(*store, key, *late);
    if (leaderLost) {
        const auto lost = leader();
        killHost(lost);
        startRoutingHost(*this, lost);
    }
    putItem(*store, "op/evacuate/a", "{}");
    requestKeysFor(recoveryBound);
    CHECK(isMetWithin(recoveryBound, [&] { return holdsAllKeys("ledger-b"); }));
    CHECK(isMetWithin(recoveryBound, [&] { return areKeysServed(0) && areKeysServed(1); }));
    CHECK(findItem(*store, key) != late);
    CHECK(findOwnerBreaches() == std::set<std::string>());
}

// Guards against owners that hosts ignore: a leader whose lease was renewed late read its own table
// again, and its sequence numbers began again under the same claim.
TEST_CASE_METHOD(restored_site, "owners_of_a_leader_that_resumes_under_its_claim_are_followed")
{
    for (int round = 0; round < 3; ++round) {
        moveKeys("a", "ledger-b");
        moveKeys("b", "ledger-a");
    }
    const auto claim = findItem(*store, "parsleyloft/live/leader");
    setStoreFaults(*store, {.unavailable = true, .pauseLeases = true});
    std::this_thread::sleep_for(stableWindow + outage);
    setStoreFaults(*store, {.pauseLeases = true});
    requestKeysFor(stableWindow);
    putItem(*store, "op/evacuate/a", "{}");
    CHECK(isMetWithin(recoveryBound, [&] { return holdsAllKeys("ledger-b"); }));
    CHECK(isMetWithin(stableWindow, [&] { return areKeysServed(0) && areKeysServed(1); }));
    CHECK(findItem(*store, "parsleyloft/live/leader") == claim);
    CHECK(findOwnerBreaches() == std::set<std::string>());
}

} // namespace parsleyloft
