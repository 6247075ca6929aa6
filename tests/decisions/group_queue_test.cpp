// Admission, order, limits and probes in the queue of one group.
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
            server_load server;
            server.id = id;
            server.slots = 3;
            servers.push_back(server);
        }
        setServers(queue, servers);
    }

    auto makeWarm(duration latency) -> void
    {
        for (auto &[id, server] : queue.servers) {
            server.phase = server_phase::Normal;
            server.limit = server.slots;
            server.latency = latency;
            server.samples = 100;
        }
    }

    auto makeRequest(const class_name &name, duration timeLeft) -> queued_request
    {
        queued_request request;
        request.number = next++;
        request.className = name;
        request.arrived = now;
        request.deadline = now + timeLeft;
        return request;
    }

    instant now{1h};
    ticket next = 1;
    group_queue queue;
};

} // namespace

TEST_CASE_METHOD(queue_of_three, "cold_servers_get_one_request_each", "[group_queue]")
{
    for (int count = 0; count < 9; ++count)
        REQUIRE(offer(queue, makeRequest("check", 1s), 0, now).admitted);
    CHECK(startRequests(queue, now).size() == 3);
}

TEST_CASE_METHOD(queue_of_three, "warm_servers_get_no_more_requests_than_their_slots",
                 "[group_queue]")
{
    makeWarm(5ms);
    for (int count = 0; count < 20; ++count)
        offer(queue, makeRequest("check", 1s), 0, now);
    CHECK(startRequests(queue, now).size() == 9);
    CHECK(startRequests(queue, now).empty());
}

TEST_CASE_METHOD(queue_of_three, "requests_start_in_the_order_of_their_deadlines", "[group_queue]")
{
    offer(queue, makeRequest("slow", 10s), 0, now);
    offer(queue, makeRequest("fast", 1s), 0, now);
    const auto starts = startRequests(queue, now);
    CHECK(starts.front().request.className == "fast");
}

TEST_CASE_METHOD(queue_of_three, "request_that_would_wait_too_long_is_refused", "[group_queue]")
{
    makeWarm(100ms);
    for (int count = 0; count < 18; ++count)
        offer(queue, makeRequest("check", 10s), 0, now);
    startRequests(queue, now);
    const auto offered = offer(queue, makeRequest("check", 100ms), 0, now);
    CHECK_FALSE(offered.admitted);
    CHECK(offered.refusal == reason::WaitTooLong);
}

TEST_CASE_METHOD(queue_of_three,
                 "request_of_a_class_with_refusals_left_is_shed_for_a_class_without",
                 "[group_queue]")
{
    makeWarm(100ms);
    for (int count = 0; count < 40; ++count)
        offer(queue, makeRequest("history", 10s), 500, now);
    startRequests(queue, now);
    const auto offered = offer(queue, makeRequest("order", 300ms), 0, now);
    CHECK(offered.admitted);
    REQUIRE(offered.shed);
    CHECK(queue.refusalBudgets["history"].refused == 1);
}

TEST_CASE_METHOD(queue_of_three, "only_the_owner_gets_requests_for_its_keys", "[group_queue]")
{
    makeWarm(5ms);
    for (int count = 0; count < 5; ++count) {
        auto request = makeRequest("order", 1s);
        request.owner = "s2";
        offer(queue, request, 0, now);
    }
    const auto starts = startRequests(queue, now);
    CHECK(starts.size() == 3);
    for (const auto &started : starts)
        CHECK(started.server == "s2");
}

TEST_CASE_METHOD(queue_of_three, "straggler_gets_single_probes_until_one_is_fast", "[group_queue]")
{
    makeWarm(5ms);
    queue.servers["s1"].latency = 100ms;
    queue.servers["s1"].running = 1;
    finish(queue, "s1", attempt_result::Answered, 100ms);
    CHECK(queue.servers["s1"].phase == server_phase::Straggling);
    for (int count = 0; count < 20; ++count)
        offer(queue, makeRequest("check", 1s), 0, now);
    int atStraggler = 0;
    for (const auto &started : startRequests(queue, now))
        atStraggler += started.server == "s1" ? 1 : 0;
    CHECK(atStraggler == 1);
    finish(queue, "s1", attempt_result::Answered, 5ms);
    CHECK(queue.servers["s1"].phase == server_phase::Normal);
}

TEST_CASE_METHOD(queue_of_three, "server_that_refuses_becomes_cold", "[group_queue]")
{
    makeWarm(5ms);
    queue.servers["s1"].running = 1;
    finish(queue, "s1", attempt_result::Refused, 1ms);
    CHECK(queue.servers["s1"].phase == server_phase::Cold);
    CHECK(queue.servers["s1"].limit == 1);
}

TEST_CASE_METHOD(queue_of_three, "cold_server_reaches_its_slots_after_enough_answers",
                 "[group_queue]")
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

TEST_CASE_METHOD(queue_of_three, "request_past_its_deadline_is_removed_and_not_started",
                 "[group_queue]")
{
    offer(queue, makeRequest("check", 10ms), 0, now);
    CHECK(removeExpired(queue, now + 10ms).size() == 1);
    CHECK(startRequests(queue, now + 10ms).empty());
}

TEST_CASE_METHOD(queue_of_three, "second_attempt_goes_to_another_server", "[group_queue]")
{
    makeWarm(5ms);
    const auto server = reserveHedgeServer(queue, "s1", now);
    REQUIRE(server);
    CHECK(*server != "s1");
}

} // namespace parsleyloft
