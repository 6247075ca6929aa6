// Repeats, history and routes of requests.
#include "decisions/request_history.h"
#include "decisions/retry.h"
#include "decisions/routing.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct history_since_start
{
    instant start{1h};
    request_history history{start, {}, {}};
};

struct two_domains
{
    two_domains()
    {
        for (const auto *domain : {"a", "b"}) {
            const std::string server = std::string("s-") + domain;
            table.servers[server] = {server, "catalogue", domain, "", 3, false};
            table.groups[{"catalogue", domain}] = {
                    std::string("host-") + domain, {{1, 0}, 1}, assignment_phase::Held};
        }
        work.service = "catalogue";
    }

    auto choose() -> tl::expected<route_target, reason>
    {
        const routing_view view{table, wanted, services, hints, "a"};
        return chooseTarget(view, {work, "", avoid, 0}, now);
    }

    assignment_table table;
    configuration wanted;
    std::vector<service_info> services{{"catalogue", false, 0, false}, {"orders", true, 4, true}};
    std::map<group_id, group_hint> hints;
    std::optional<group_id> avoid;
    class_of_work work;
    instant now{1h};
};

} // namespace

TEST_CASE("request_that_may_not_repeat_is_never_repeated_after_an_unknown_end", "[retry]")
{
    retry_budget budget;
    for (const auto &entry : reasonNames)
        CHECK(afterAttempt(unknownOutcome(entry.value), false, budget, 1s) == next_step::Finish);
}

TEST_CASE("request_that_was_not_run_by_a_wrong_holder_is_routed_again", "[retry]")
{
    retry_budget budget;
    CHECK(afterAttempt(notRun(reason::WrongHolder), false, budget, 1s) == next_step::RouteAgain);
}

TEST_CASE("idempotent_request_is_repeated_while_the_budget_lasts", "[retry]")
{
    retry_budget budget{2};
    const auto lost = unknownOutcome(reason::ServerFailed);
    CHECK(afterAttempt(lost, true, budget, 1s) == next_step::Repeat);
    CHECK(afterAttempt(lost, true, budget, 1s) == next_step::Repeat);
    CHECK(afterAttempt(lost, true, budget, 1s) == next_step::Finish);
}

TEST_CASE_METHOD(history_since_start, "second_attempt_of_a_running_request_is_not_started",
                 "[history]")
{
    CHECK_FALSE(beginOnce(history, "r1", false, start));
    const auto second = beginOnce(history, "r1", true, start + 1s);
    REQUIRE(second);
    CHECK(second->result == outcome::Unknown);
    CHECK(second->cause == reason::AlreadyRunning);
}

TEST_CASE_METHOD(history_since_start, "second_attempt_of_an_answered_request_gets_its_answer",
                 "[history]")
{
    beginOnce(history, "r1", false, start);
    endOnce(history, "r1", {outcome::Answered, reason::None, "booked"});
    const auto second = beginOnce(history, "r1", true, start + 1s);
    REQUIRE(second);
    CHECK(second->body == "booked");
}

TEST_CASE_METHOD(history_since_start, "request_that_was_not_run_may_be_sent_again", "[history]")
{
    beginOnce(history, "r1", false, start);
    endOnce(history, "r1", notRun(reason::WaitTooLong));
    CHECK_FALSE(beginOnce(history, "r1", false, start + 1s));
}

TEST_CASE_METHOD(history_since_start, "repeat_that_a_new_holder_can_not_judge_is_not_run",
                 "[history]")
{
    const auto told = beginOnce(history, "r1", true, start + 1s);
    REQUIRE(told);
    CHECK(told->cause == reason::HistoryLost);
    CHECK_FALSE(beginOnce(history, "r2", true, start + historyLength));
}

TEST_CASE_METHOD(two_domains, "request_without_key_stays_in_its_own_domain", "[routing]")
{
    CHECK(choose()->group.domain == "a");
}

TEST_CASE_METHOD(two_domains, "request_leaves_its_domain_when_that_is_out_of_service", "[routing]")
{
    wanted.evacuatedDomains.insert("a");
    CHECK(choose()->group.domain == "b");
}

TEST_CASE_METHOD(two_domains, "request_avoids_the_group_that_refused_it", "[routing]")
{
    avoid = group_id{"catalogue", "a"};
    CHECK(choose()->group.domain == "b");
}

TEST_CASE_METHOD(two_domains, "request_goes_where_fewer_wait", "[routing]")
{
    hints[{"catalogue", "a"}] = {50, {}};
    CHECK(choose()->group.domain == "b");
}

TEST_CASE_METHOD(two_domains, "group_whose_only_server_leaves_gets_no_new_work", "[routing]")
{
    table.servers["s-a"].leaving = true;
    CHECK(choose()->group.domain == "b");
}

TEST_CASE_METHOD(two_domains, "keyed_request_without_key_is_refused", "[routing]")
{
    work.service = "orders";
    CHECK(choose().error() == reason::MissingKey);
}

} // namespace parsleyloft
