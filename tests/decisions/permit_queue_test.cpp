// Permits one by one: slots, owners, cold servers, failures, returns that never come.
#include "decisions/permit_queue.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct queue_of_two_servers
{
    queue_of_two_servers() { list(); }

    auto list() -> void
    {
        std::vector<permit_server> listed(2);
        listed[0].id = "s1";
        listed[1].id = "s2";
        for (auto &server : listed)
            server.slots = 2;
        listed[0].coldUntil = firstColdUntil;
        listed[0].coldPerSecond = 7.2;
        listed[1].usable = secondUsable;
        setPermitServers(queue, listed);
    }

    auto ask(const server_id &owner = {}, std::uint32_t priority = 1) -> refusal
    {
        permit_request request;
        request.number = ++last;
        request.route = "r";
        request.owner = owner;
        request.priority = priority;
        request.arrived = now;
        request.targetEnds = now + 300ms;
        request.deadline = now + 1200ms;
        return admit(queue, request, now);
    }

    auto give(permit_number number, permit_result ended, duration latency = 100ms) -> void
    {
        returnPermit(queue, {number, ended, latency, std::nullopt}, now);
    }

    instant now{1h};
    instant firstColdUntil{};
    bool secondUsable = true;
    permit_queue queue;
    permit_number last = 0;
};

} // namespace

TEST_CASE_METHOD(queue_of_two_servers, "permits_never_exceed_the_slots", "[permit_queue]")
{
    for (int index = 0; index < 10; ++index)
        ask();
    CHECK(issuePermits(queue, now).size() == 4);
    CHECK(queue.servers.at("s1").running == 2);
    CHECK(queue.servers.at("s2").running == 2);
    give(1, permit_result::Answered);
    CHECK(issuePermits(queue, now).size() == 1);
}

TEST_CASE_METHOD(queue_of_two_servers, "request_for_an_owner_waits_for_it_alone", "[permit_queue]")
{
    for (int index = 0; index < 3; ++index)
        ask("s1");
    const auto permits = issuePermits(queue, now);
    REQUIRE(permits.size() == 2);
    CHECK(permits[0].server == "s1");
    CHECK(queue.servers.at("s2").running == 0);
}

TEST_CASE_METHOD(queue_of_two_servers, "shorter_of_two_that_are_due_alike_goes_first",
                 "[permit_queue]")
{
    queue.smoothedLatency["history"] = 220ms;
    queue.smoothedLatency["payment"] = 72ms;
    for (int index = 0; index < 4; ++index)
        ask();
    issuePermits(queue, now);
    for (const auto *route : {"history", "payment"}) {
        permit_request request;
        request.number = ++last;
        request.route = route;
        request.arrived = now;
        request.targetEnds = now + 400ms;
        request.deadline = now + 1200ms;
        REQUIRE(admit(queue, request, now) == refusal::None);
    }
    give(1, permit_result::Answered);
    const auto permits = issuePermits(queue, now);
    REQUIRE(permits.size() == 1);
    CHECK(permits[0].route == "payment");
}

TEST_CASE_METHOD(queue_of_two_servers, "more_urgent_route_goes_first", "[permit_queue]")
{
    secondUsable = false;
    list();
    for (int index = 0; index < 2; ++index)
        ask();
    issuePermits(queue, now);
    ask({}, 5);
    ask({}, 0);
    give(1, permit_result::Answered);
    const auto permits = issuePermits(queue, now);
    REQUIRE(permits.size() == 1);
    CHECK(permits[0].number == 4);
}

TEST_CASE_METHOD(queue_of_two_servers, "request_that_would_be_late_is_refused_at_once",
                 "[permit_queue]")
{
    auto refused = refusal::None;
    for (int index = 0; index < 30 && refused == refusal::None; ++index) {
        refused = ask();
        issuePermits(queue, now);
    }
    CHECK(refused == refusal::WouldBeLate);
    CHECK(queue.waiting.size() < 12);
}

TEST_CASE_METHOD(queue_of_two_servers, "waiting_request_is_refused_before_its_deadline",
                 "[permit_queue]")
{
    for (int index = 0; index < 5; ++index)
        ask();
    issuePermits(queue, now);
    const auto asked = now;
    std::vector<refused_request> refused;
    for (; refused.empty() && now < asked + 1200ms; now += 10ms)
        refused = removeExpired(queue, now);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == refusal::Expired);
    // The caller has most of its time left to come back.
    CHECK(now - asked < 400ms);
}

TEST_CASE_METHOD(queue_of_two_servers, "asking_host_hears_in_time_that_its_request_still_waits",
                 "[permit_queue]")
{
    for (int index = 0; index < 4; ++index)
        ask();
    issuePermits(queue, now);
    permit_request request;
    request.number = 99;
    request.arrived = now;
    request.targetEnds = now + 300ms;
    request.deadline = now + 1200ms;
    request.answerBy = now + 100ms;
    REQUIRE(admit(queue, request, now) == refusal::None);
    CHECK(removeExpired(queue, now + 99ms).empty());
    const auto told = removeExpired(queue, now + 100ms);
    REQUIRE(told.size() == 1);
    CHECK(told[0].reason == refusal::StillWaiting);
}

TEST_CASE_METHOD(queue_of_two_servers, "group_without_a_usable_server_refuses", "[permit_queue]")
{
    setPermitServers(queue, {});
    CHECK(ask() == refusal::NoServer);
}

TEST_CASE_METHOD(queue_of_two_servers, "permit_that_never_comes_back_frees_its_slot_in_time",
                 "[permit_queue]")
{
    ask("s1");
    issuePermits(queue, now);
    now += 2s;
    removeExpired(queue, now);
    CHECK(queue.servers.at("s1").running == 0);
    CHECK_FALSE(returnPermit(queue, {1, permit_result::Answered, 1s, std::nullopt}, now));
}

TEST_CASE_METHOD(queue_of_two_servers, "cold_server_gets_no_more_a_second_than_it_bears",
                 "[permit_queue]")
{
    firstColdUntil = now + 10s;
    secondUsable = false;
    list();
    std::vector<instant> sends;
    for (int step = 0; step < 3000; ++step) {
        now += 1ms;
        ask();
        for (const auto &permit : issuePermits(queue, now)) {
            sends.push_back(now);
            give(permit.number, permit_result::Answered, 1ms);
        }
        removeExpired(queue, now);
    }
    for (const auto from : sends) {
        const auto inside = std::count_if(sends.begin(), sends.end(),
                                          [&](instant at) { return at >= from && at < from + 1s; });
        CHECK(inside <= 7);
    }
}

TEST_CASE_METHOD(queue_of_two_servers, "cold_server_is_spared_by_a_keeper_that_has_just_taken_over",
                 "[permit_queue]")
{
    firstColdUntil = now + 10s;
    secondUsable = false;
    list();
    ask();
    CHECK(issuePermits(queue, now).empty());
    now += 1s;
    CHECK(nextWakeup(queue, now - 1s) <= now);
    ask();
    CHECK_FALSE(issuePermits(queue, now).empty());
}

TEST_CASE_METHOD(queue_of_two_servers, "cold_server_gets_nothing_from_a_keeper_that_stands_in",
                 "[permit_queue]")
{
    ask();
    issuePermits(queue, now);
    now += 2s;
    firstColdUntil = now + 10s;
    secondUsable = false;
    list();
    queue.mayUseColdServers = false;
    ask();
    CHECK(issuePermits(queue, now).empty());
    queue.mayUseColdServers = true;
    CHECK_FALSE(issuePermits(queue, now).empty());
}

TEST_CASE_METHOD(queue_of_two_servers, "server_that_can_not_be_reached_is_left_alone_for_longer",
                 "[permit_queue]")
{
    ask("s1");
    issuePermits(queue, now);
    give(1, permit_result::Unreachable);
    const auto first = queue.servers.at("s1").pausedUntil - now;
    CHECK(first > 0us);
    now += first;
    ask("s1");
    issuePermits(queue, now);
    give(2, permit_result::Unreachable);
    CHECK(queue.servers.at("s1").pausedUntil - now > first);
}

TEST_CASE_METHOD(queue_of_two_servers, "work_of_others_at_a_server_counts_against_its_slots",
                 "[permit_queue]")
{
    ask("s1");
    issuePermits(queue, now);
    returnPermit(queue, {1, permit_result::Answered, 100ms, load_report{2, 1, 2, 1}}, now);
    ask("s1");
    CHECK(issuePermits(queue, now).empty());
    now += 301ms;
    ask("s1");
    CHECK_FALSE(issuePermits(queue, now).empty());
}

TEST_CASE_METHOD(queue_of_two_servers, "server_that_leaves_takes_its_permits_with_it",
                 "[permit_queue]")
{
    ask("s1");
    issuePermits(queue, now);
    setPermitServers(queue, {});
    CHECK(queue.outstanding.empty());
    give(1, permit_result::Answered);
    CHECK(queue.servers.empty());
}

} // namespace parsleyloft
