// Orders to servers under the leadership in which they were planned: one that is delayed on its way
// out is not sent once that leadership has ended.
#include "router/ownership_manager.h"

#include "support/raw_server.h"

#include <catch2/catch.hpp>

#include <future>

namespace parsleyloft {

namespace {

// A leader with one range of keys to grant, whose only worker is occupied until the test says so.
struct leader_with_a_busy_worker
{
    leader_with_a_busy_worker()
    {
        router.metrics = makeCounters();
        router.workers = startWorkers(1);
        router.servers = makeHttpClient(*router.workers, 4);
        // No store listens there.
        router.store.http = makeHttpClient(*router.workers, 1);
        router.store.address = {"127.0.0.1", 1};
        router.self.id = "h-1";
        router.members.leader = {"h-1", lease, 0, claim};
        router.leadership.lease = lease;
        router.leadership.leaseValidUntil = timeAfter(hostTimeNow(), 1min);
        site_configuration configuration;
        configuration.services["ledger"] = {"ledger", true};
        router.routes.current = makeRouteTable(configuration);
        server_record record;
        record.id = "i-1";
        record.service = "ledger";
        record.address = server.address;
        recordServer(router.directory.directory, record, monotonicNow());
        ownership_table table;
        table.service = "ledger";
        table.slices = {{0, lastKey, slice_phase::Pending, {"i-1", 0, server.address}, 1, {}}};
        router.leadership.managed["ledger"].manager =
                makeOwnershipManager({}, table, claim, monotonicNow());
        post(*router.workers, [this] { workerReleased.get_future().wait(); });
    }

    ~leader_with_a_busy_worker()
    {
        router.stopping = true;
        stopWorkers(*router.workers);
        router.servers = {};
        router.store.http = {};
    }

    // Lets the worker send what was planned. Returns the range's state after the result.
    auto sendPlanned() -> slice_state
    {
        workerReleased.set_value();
        const auto end = monotonicNow() + 5s;
        while (monotonicNow() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            const std::lock_guard guard(router.leadership.lock);
            const auto &state = router.leadership.managed.at("ledger").manager.states.at(0);
            if (!state.inFlight)
                return state;
        }
        FAIL("the order has no result");
        return {};
    }

    static constexpr lease_id lease = 7;
    static constexpr store_position claim{0, 5};
    std::atomic<int> orders = 0;
    raw_server server{[this](raw_connection &connection) {
        ++orders;
        return sendAll(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }};
    router_process router;
    std::promise<void> workerReleased;
};

} // namespace

TEST_CASE_METHOD(leader_with_a_busy_worker, "order_is_sent_under_its_leadership", "[key_orders]")
{
    manageOwnership(router);
    CHECK(sendPlanned().granted);
    CHECK(orders == 1);
}

// Guards against a grant from a host that no longer leads: its worker was late, or the connect took
// long, and the leadership ended between the last check and the write.
TEST_CASE_METHOD(leader_with_a_busy_worker, "order_is_not_sent_after_its_leadership_has_ended",
                 "[key_orders]")
{
    manageOwnership(router);
    SECTION("with_the_lease")
    {
        const std::lock_guard guard(router.leadership.lock);
        router.leadership.leaseValidUntil.monotonic = monotonicNow();
    }
    // The monotonic clock has not counted the time in which the lease ended.
    SECTION("with_the_lease_while_the_machine_was_suspended")
    {
        const std::lock_guard guard(router.leadership.lock);
        router.leadership.leaseValidUntil.sinceBoot = hostTimeNow().sinceBoot;
    }
    SECTION("and_the_same_host_leads_again")
    {
        const std::lock_guard guard(router.members.lock);
        router.members.leader.position.revision = claim.revision + 2;
    }
    CHECK_FALSE(sendPlanned().granted);
    CHECK(orders == 0);
}

} // namespace parsleyloft
