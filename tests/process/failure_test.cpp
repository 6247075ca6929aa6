// Real processes under kills, pauses, partitions, store outages and operator changes. The auditor
// checks the invariants in the journals afterwards.
#include "codec/json.h"
#include "tests/support/cluster.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace parsleyloft {

namespace {

// Calls to wait for while a fault lasts. At the rate of the load they take longer than a lease.
constexpr std::uint64_t callsBeyondOneLease = 600;

auto putClass(cluster &cluster, const std::string &host, const std::string &name,
              std::uint32_t maxWaitMs, const std::string &revision) -> unsigned
{
    http_request request;
    request.method = "PUT";
    request.target = "/v1/classes/" + name;
    request.body = R"({"service": "catalogue", "may_repeat": true, "max_wait_ms": )"
            + std::to_string(maxWaitMs) + "}";
    if (!revision.empty())
        request.headers["If-Match"] = revision;
    const auto target = *parseEndpoint(callerAddress(cluster, host));
    return callAndWait(cluster.client, target, request, 20s).response.status;
}

auto hasClass(cluster &cluster, const std::string &host, const std::string &name,
              std::uint32_t maxWaitMs) -> bool
{
    const auto dump = fetchDump(cluster, host);
    if (!dump)
        return false;
    for (const auto &work : dump->configuration().classes()) {
        if (work.name() == name)
            return work.max_wait_ms() == maxWaitMs;
    }
    return false;
}

// Waits until every shard is owned and calls of non-repeatable work to 24 keys are answered.
auto requireServed(cluster &cluster, const std::string &prefix) -> void
{
    waitUntil("all shards are owned", [&] { return allShardsOwned(cluster); });
    for (int key = 0; key < 24; ++key) {
        const auto id = prefix + "-after-" + std::to_string(key);
        waitUntil("the key is served", [&, attempt = 0]() mutable {
            const auto response =
                    callClass(cluster, findLeader(cluster), "order",
                              id + "-" + std::to_string(attempt++), "key-" + std::to_string(key));
            return headerValue(response.headers, "Parsleyloft-Outcome") == "answered";
        });
    }
}

} // namespace

TEST_CASE_METHOD(cluster, "store_outage_with_killed_hosts_keeps_every_invariant", "[process]")
{
    startLoad(*this, "load", 30);
    awaitCalls(*this, "load", callsBeyondOneLease);
    setPlatformFaults(*this, R"({"down": true})");
    awaitCalls(*this, "load", callsBeyondOneLease);
    // Kill a holder of exclusive keys and then the leader while the store is down.
    const auto holder = findHolder(*this, "orders", "a");
    sendSignal(*this, holder, SIGKILL);
    awaitExit(*this, holder);
    awaitCalls(*this, "load", callsBeyondOneLease);
    const auto leader = findLeader(*this);
    sendSignal(*this, leader, SIGKILL);
    awaitExit(*this, leader);
    requireServed(*this, "outage");
    awaitLoad(*this, "load");
    setPlatformFaults(*this, "{}");
    startHost(*this, holder);
    startHost(*this, leader);
    requireServed(*this, "recovered");
    checkAudit(*this);
}

TEST_CASE_METHOD(cluster, "long_store_outage_interrupts_no_key", "[process]")
{
    startLoad(*this, "load", 35);
    awaitCalls(*this, "load", callsBeyondOneLease);
    setPlatformFaults(*this, R"({"down": true})");
    const auto report = awaitLoad(*this, "load");
    setPlatformFaults(*this, "{}");
    CHECK(countOutcomes(report, "order", "not_run") == 0);
    CHECK(countOutcomes(report, "order", "unknown") == 0);
    CHECK(checkAudit(*this).owner_changes() == 0);
}

TEST_CASE_METHOD(cluster, "partitioned_domain_stops_its_keys_before_they_start_elsewhere",
                 "[process]")
{
    startLoad(*this, "load", 25);
    awaitCalls(*this, "load", callsBeyondOneLease);
    setDomainCut(*this, "b", true);
    waitUntil("the other domains own all keys", [&] {
        const auto dump = fetchDump(*this, findLeader(*this));
        if (!dump)
            return false;
        for (const auto &group : dump->table().groups()) {
            const auto inCutDomain = group.holder() == "host-2" || group.holder() == "host-5";
            if (inCutDomain || group.phase() != wire::ASSIGNMENT_PHASE_HELD)
                return false;
        }
        return true;
    });
    // Idempotent work without keys continues inside the domain that is cut off.
    waitUntil("the cut domain serves idempotent work", [&, attempt = 0]() mutable {
        const auto response =
                callClass(*this, "host-2", "check", "inside-" + std::to_string(attempt++), "");
        return response.status == 200;
    });
    setDomainCut(*this, "b", false);
    requireServed(*this, "recovered");
    awaitLoad(*this, "load");
    checkAudit(*this);
}

TEST_CASE_METHOD(cluster, "paused_servers_after_resuming_run_nothing_they_no_longer_own",
                 "[process]")
{
    startLoad(*this, "load", 25);
    awaitCalls(*this, "load", callsBeyondOneLease);
    // orders-2 checks grants and ledger-3 does not.
    sendSignal(*this, "orders-2", SIGSTOP);
    sendSignal(*this, "ledger-3", SIGSTOP);
    waitUntil("others own their shards", [&] {
        const auto dump = fetchDump(*this, findLeader(*this));
        if (!dump)
            return false;
        for (const auto &service : dump->table().shards()) {
            for (int index = 0; index < service.owners_size(); ++index) {
                const auto &owner = service.server_ids(static_cast<int>(service.owners(index)));
                if (owner == "orders-2" || owner == "ledger-3")
                    return false;
            }
        }
        return true;
    });
    awaitCalls(*this, "load", callsBeyondOneLease);
    sendSignal(*this, "orders-2", SIGCONT);
    sendSignal(*this, "ledger-3", SIGCONT);
    awaitLoad(*this, "load");
    requireServed(*this, "resumed");
    CHECK(checkAudit(*this).owner_changes() > 0);
}

TEST_CASE_METHOD(cluster, "paused_leader_and_lost_answers_lose_no_change", "[process]")
{
    startLoad(*this, "load", 30);
    awaitCalls(*this, "load", callsBeyondOneLease);
    setPlatformFaults(*this, R"({"lost_answers_permille": 400, "delay_ms": 20})");
    const auto leader = findLeader(*this);
    sendSignal(*this, leader, SIGSTOP);
    const std::string other = leader == "host-1" ? "host-3" : "host-1";
    waitUntil("another host leads", [&] {
        const auto dump = fetchDump(*this, other);
        return dump && !dump->leader().empty() && dump->leader() != leader;
    });
    unsigned status = 0;
    waitUntil("a change is accepted", [&] {
        status = putClass(*this, other, "extra", 700, "");
        return status == 200;
    });
    sendSignal(*this, leader, SIGCONT);
    for (const auto &host : plan.hosts)
        waitUntil("the change is in force",
                  [&] { return hasClass(*this, host.host_id(), "extra", 700); });
    awaitLoad(*this, "load");
    setPlatformFaults(*this, "{}");
    requireServed(*this, "resumed");
    checkAudit(*this);
}

TEST_CASE_METHOD(cluster, "concurrent_changes_at_one_revision_get_one_acceptance_and_one_conflict",
                 "[process]")
{
    const auto before = fetchDump(*this, "host-1");
    REQUIRE(before);
    const auto revision = std::to_string(before->configuration().revision());
    auto first = std::async(std::launch::async,
                            [&] { return putClass(*this, "host-1", "race", 101, revision); });
    const auto second = putClass(*this, "host-4", "race", 202, revision);
    const auto firstStatus = first.get();
    CHECK(std::min(firstStatus, second) == 200);
    CHECK(std::max(firstStatus, second) == 409);
    const auto acceptedWait = second == 200 ? 202U : 101U;
    for (const auto &host : plan.hosts)
        waitUntil("the accepted change is in force",
                  [&] { return hasClass(*this, host.host_id(), "race", acceptedWait); });
}

TEST_CASE_METHOD(cluster, "accepted_change_survives_restart_of_every_host_and_a_store_outage",
                 "[process]")
{
    REQUIRE(putClass(*this, "host-1", "kept", 333, "") == 200);
    startLoad(*this, "load", 60);
    for (const auto &host : plan.hosts) {
        const auto name = host.host_id();
        sendSignal(*this, name, SIGTERM);
        CHECK(awaitExit(*this, name) == 0);
        startHost(*this, name);
        waitUntil("the host serves again", [&] { return allShardsOwned(*this); });
        CHECK(hasClass(*this, name, "kept", 333));
    }
    setPlatformFaults(*this, R"({"down": true})");
    const auto last = plan.hosts.back().host_id();
    sendSignal(*this, last, SIGKILL);
    awaitExit(*this, last);
    startHost(*this, last);
    // A host that starts while the store is down learns the configuration from its peers.
    waitUntil("the host has the change", [&] { return hasClass(*this, last, "kept", 333); });
    setPlatformFaults(*this, "{}");
    sendSignal(*this, "load", SIGTERM);
    awaitExit(*this, "load");
    for (const auto &host : plan.hosts)
        CHECK(hasClass(*this, host.host_id(), "kept", 333));
    checkAudit(*this);
}

TEST_CASE_METHOD(cluster, "rolling_restart_of_every_host_cuts_no_request", "[process]")
{
    startLoad(*this, "load", 40);
    awaitCalls(*this, "load", callsBeyondOneLease);
    for (const auto &host : plan.hosts) {
        sendSignal(*this, host.host_id(), SIGTERM);
        CHECK(awaitExit(*this, host.host_id()) == 0);
        startHost(*this, host.host_id());
        waitUntil("the host serves again", [&] { return allShardsOwned(*this); });
    }
    const auto report = awaitLoad(*this, "load");
    for (const auto &work : report.classes())
        CHECK(countOutcomes(report, work.name(), "cut") == 0);
    checkAudit(*this);
}

TEST_CASE_METHOD(cluster, "domain_out_and_in_under_load_gets_no_work_while_out", "[process]")
{
    startLoad(*this, "load", 25);
    awaitCalls(*this, "load", callsBeyondOneLease);
    const auto address = callerAddress(*this, "host-1");
    REQUIRE(postRequest(*this, address, "/v1/domains", R"({"id": "c", "out": true})").status
            == 200);
    awaitCalls(*this, "load", 2 * callsBeyondOneLease);
    REQUIRE(postRequest(*this, address, "/v1/domains", R"({"id": "c", "out": false})").status
            == 200);
    const auto report = awaitLoad(*this, "load");
    CHECK(countOutcomes(report, "order", "not_run") == 0);
    CHECK(countOutcomes(report, "order", "unknown") == 0);
    requireServed(*this, "back");
    CHECK(checkAudit(*this).owner_changes() > 0);
}

TEST_CASE_METHOD(cluster, "leaving_server_under_load_is_drained", "[process]")
{
    startLoad(*this, "load", 20);
    awaitCalls(*this, "load", callsBeyondOneLease);
    setListedState(*this, "orders-1", "leaving");
    setListedState(*this, "catalogue-1", "leaving");
    const auto report = awaitLoad(*this, "load");
    CHECK(countOutcomes(report, "order", "not_run") == 0);
    checkAudit(*this);
}

TEST_CASE_METHOD(cluster, "faulty_servers_give_no_caller_a_wrong_answer", "[process]")
{
    startLoad(*this, "load", 25);
    awaitCalls(*this, "load", callsBeyondOneLease);
    setBackendFaults(*this, "catalogue-1", R"({"crossed_answers": true})");
    setBackendFaults(*this, "orders-1", R"({"crossed_answers": true})");
    setBackendFaults(*this, "catalogue-2", R"({"short_body": true})");
    setBackendFaults(*this, "orders-2", R"({"short_body": true})");
    setBackendFaults(*this, "orders-3", R"({"delay_answers_ms": 9000})");
    setBackendFaults(*this, "ledger-1", R"({"close_mid_answer": true})");
    awaitCalls(*this, "load", callsBeyondOneLease);
    for (const auto &backend : plan.backends)
        setBackendFaults(*this, backend.id, "{}");
    const auto report = awaitLoad(*this, "load");
    CHECK(countOutcomes(report, "order", "unknown") > 0);
    checkAudit(*this);
}

TEST_CASE_METHOD(cluster, "unannounced_cold_servers_are_not_overrun_for_long", "[process]")
{
    startLoad(*this, "load", 15);
    awaitCalls(*this, "load", callsBeyondOneLease);
    sendSignal(*this, "catalogue-1", SIGKILL);
    awaitExit(*this, "catalogue-1");
    awaitLoad(*this, "load");
    checkAudit(*this);
}

} // namespace parsleyloft
