// Admission, order, limits and probes of one group's queue.
#include "decisions/group_queue.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct queue_of_three
{
    queue_of_three()
    {
        std::vector<server_load> servers;
        for (const auto *id : {"s1", "s2", "s3"}) {
            server_load one;
            one.id = id;
            one.slots = 3;
            servers.push_back(one);
        }
        setServers(queue, servers);
    }

    auto warm(duration latency) -> void
    {
        for (auto &[id, server] : queue.servers) {
            server.phase = server_phase::Normal;
            server.limit = server.slots;
            server.latency = latency;
            server.samples = 100;
        }
    }

    auto request(const class_name &name, duration left) -> queued_request
    {
        queued_request one;
        one.number = next++;
        one.className = name;
        one.arrived = now;
        one.deadline = now + left;
        return one;
    }

    instant now{1h};
    ticket next = 1;
    group_queue queue;
};

} // namespace

TEST_CASE_METHOD(queue_of_three, "cold_servers_get_one_request_each", "[group_queue]")
{
    for (int count = 0; count < 9; ++count)
        REQUIRE(offer(queue, request("check", 1s), 0, now).admitted);
    CHECK(removeStartable(queue, now).size() == 3);
}

TEST_CASE_METHOD(queue_of_three, "warm_servers_never_get_more_than_their_slots", "[group_queue]")
{
    warm(5ms);
    for (int count = 0; count < 20; ++count)
        offer(queue, request("check", 1s), 0, now);
    CHECK(removeStartable(queue, now).size() == 9);
    CHECK(removeStartable(queue, now).empty());
}

TEST_CASE_METHOD(queue_of_three, "requests_start_in_the_order_of_their_deadlines", "[group_queue]")
{
    offer(queue, request("slow", 10s), 0, now);
    offer(queue, request("fast", 1s), 0, now);
    const auto starts = removeStartable(queue, now);
    CHECK(starts.front().request.className == "fast");
}

TEST_CASE_METHOD(queue_of_three, "request_that_would_wait_too_long_is_refused", "[group_queue]")
{
    warm(100ms);
    for (int count = 0; count < 18; ++count)
        offer(queue, request("check", 10s), 0, now);
    removeStartable(queue, now);
    const auto offered = offer(queue, request("check", 100ms), 0, now);
    CHECK_FALSE(offered.admitted);
    CHECK(offered.refusal == reason::WaitTooLong);
}

TEST_CASE_METHOD(queue_of_three, "class_with_refusals_left_gives_way_to_one_without",
                 "[group_queue]")
{
    warm(100ms);
    for (int count = 0; count < 40; ++count)
        offer(queue, request("history", 10s), 500, now);
    removeStartable(queue, now);
    const auto offered = offer(queue, request("order", 300ms), 0, now);
    CHECK(offered.admitted);
    REQUIRE(offered.shed);
    CHECK(queue.refusalBudgets["history"].refused == 1);
}

TEST_CASE_METHOD(queue_of_three, "owner_alone_gets_requests_for_its_keys", "[group_queue]")
{
    warm(5ms);
    for (int count = 0; count < 5; ++count) {
        auto one = request("order", 1s);
        one.owner = "s2";
        offer(queue, one, 0, now);
    }
    const auto starts = removeStartable(queue, now);
    CHECK(starts.size() == 3);
    for (const auto &one : starts)
        CHECK(one.server == "s2");
}

TEST_CASE_METHOD(queue_of_three, "straggler_loses_new_work_and_returns_by_a_probe", "[group_queue]")
{
    warm(5ms);
    queue.servers["s1"].latency = 100ms;
    queue.servers["s1"].running = 1;
    finish(queue, "s1", attempt_result::Answered, 100ms);
    CHECK(queue.servers["s1"].phase == server_phase::Straggling);
    for (int count = 0; count < 20; ++count)
        offer(queue, request("check", 1s), 0, now);
    int atStraggler = 0;
    for (const auto &one : removeStartable(queue, now))
        atStraggler += one.server == "s1" ? 1 : 0;
    CHECK(atStraggler == 1);
    finish(queue, "s1", attempt_result::Answered, 5ms);
    CHECK(queue.servers["s1"].phase == server_phase::Normal);
}

TEST_CASE_METHOD(queue_of_three, "server_that_sheds_is_cold_again", "[group_queue]")
{
    warm(5ms);
    queue.servers["s1"].running = 1;
    finish(queue, "s1", attempt_result::Refused, 1ms);
    CHECK(queue.servers["s1"].phase == server_phase::Cold);
    CHECK(queue.servers["s1"].limit == 1);
}

TEST_CASE_METHOD(queue_of_three, "cold_server_earns_its_slots_by_answers", "[group_queue]")
{
    auto &server = queue.servers["s1"];
    int answers = 0;
    while (server.phase == server_phase::Cold) {
        server.running = 1;
        finish(queue, "s1", attempt_result::Answered, 5ms);
        REQUIRE(++answers < 1000);
    }
    CHECK(answers == 40);
    CHECK(server.limit == server.slots);
}

TEST_CASE_METHOD(queue_of_three, "request_past_its_deadline_leaves_the_queue_unstarted",
                 "[group_queue]")
{
    offer(queue, request("check", 10ms), 0, now);
    CHECK(removeExpired(queue, now + 10ms).size() == 1);
    CHECK(removeStartable(queue, now + 10ms).empty());
}

TEST_CASE_METHOD(queue_of_three, "hedge_goes_to_another_server", "[group_queue]")
{
    warm(5ms);
    const auto server = reserveHedgeServer(queue, "s1", now);
    REQUIRE(server);
    CHECK(*server != "s1");
}

} // namespace parsleyloft
