// Repeats, history and routing of requests.
#include "decisions/request_history.h"
#include "decisions/retry.h"
#include "decisions/routing.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct history_since_start
{
    history_since_start() { recordShard(history, shard, {{1, 1}, 1}, start); }

    auto begin(const request_id &id, bool repeated, instant now) -> std::optional<request_outcome>
    {
        return beginAtMostOnce(history, {id, repeated, maxWait, shard}, now);
    }

    const shard_index shard = 3;
    const duration maxWait = 8s;
    instant start{1h};
    request_history history;
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
        const routing_view view{table, config, services, hints, "a"};
        return chooseTarget(view, {work, "", avoid, 0}, now);
    }

    assignment_table table;
    configuration config;
    std::vector<service_info> services{{"catalogue", false, 0, false}, {"orders", true, 4, true}};
    std::map<group_id, group_hint> hints;
    std::optional<group_id> avoid;
    class_of_work work;
    instant now{1h};
};

} // namespace

TEST_CASE("request_that_may_not_repeat_is_not_repeated_after_an_unknown_outcome", "[retry]")
{
    retry_budget budget;
    for (const auto &entry : reasonNames)
        CHECK(decideNextStep(unknownOutcome(entry.value), false, budget, 1s) == next_step::Finish);
}

TEST_CASE("request_refused_by_a_wrong_holder_is_routed_again", "[retry]")
{
    retry_budget budget;
    CHECK(decideNextStep(notRun(reason::WrongHolder), false, budget, 1s) == next_step::RouteAgain);
}

TEST_CASE("idempotent_request_is_repeated_only_within_the_budget", "[retry]")
{
    retry_budget budget{2};
    const auto lost = unknownOutcome(reason::ServerFailed);
    CHECK(decideNextStep(lost, true, budget, 1s) == next_step::Repeat);
    CHECK(decideNextStep(lost, true, budget, 1s) == next_step::Repeat);
    CHECK(decideNextStep(lost, true, budget, 1s) == next_step::Finish);
}

TEST_CASE_METHOD(history_since_start, "repeat_of_a_running_request_is_not_started", "[history]")
{
    CHECK_FALSE(begin("r1", false, start));
    const auto repeat = begin("r1", true, start + 1s);
    REQUIRE(repeat);
    CHECK(repeat->result == outcome::Unknown);
    CHECK(repeat->cause == reason::AlreadyRunning);
}

TEST_CASE_METHOD(history_since_start, "repeat_of_an_answered_request_gets_its_answer", "[history]")
{
    begin("r1", false, start);
    endAtMostOnce(history, "r1", {outcome::Answered, reason::None, "booked"}, start);
    const auto repeat = begin("r1", true, start + 1s);
    REQUIRE(repeat);
    CHECK(repeat->body == "booked");
}

TEST_CASE_METHOD(history_since_start, "request_that_was_not_run_may_be_sent_again", "[history]")
{
    begin("r1", false, start);
    endAtMostOnce(history, "r1", notRun(reason::WaitTooLong), start);
    CHECK_FALSE(begin("r1", false, start + 1s));
}

// Guards against a second run: a request that was refused once and then ran leaves the history with
// the age of its refused attempt.
TEST_CASE_METHOD(history_since_start, "outcome_of_a_request_that_was_refused_before_is_kept",
                 "[history]")
{
    begin("r1", false, start);
    endAtMostOnce(history, "r1", notRun(reason::WaitTooLong), start);
    begin("r1", false, start + 30s);
    endAtMostOnce(history, "r1", {outcome::Answered, reason::None, "booked"}, start + 30s);
    const auto repeat = begin("r1", true, start + historyRetention + 1s);
    REQUIRE(repeat);
    CHECK(repeat->body == "booked");
}

// Guards against a second run beside the first: a running request leaves the history.
TEST_CASE_METHOD(history_since_start, "repeat_of_a_request_that_runs_for_long_is_not_started",
                 "[history]")
{
    begin("r1", false, start);
    const auto repeat = begin("r1", true, start + historyRetention + 10s);
    REQUIRE(repeat);
    CHECK(repeat->cause == reason::AlreadyRunning);
}

TEST_CASE_METHOD(history_since_start, "outcome_of_a_long_run_is_kept_from_its_end", "[history]")
{
    begin("r1", false, start);
    endAtMostOnce(history, "r1", unknownOutcome(reason::ServerFailed), start + 50s);
    const auto repeat = begin("r1", true, start + historyRetention + 10s);
    REQUIRE(repeat);
    CHECK(repeat->cause == reason::ServerFailed);
    CHECK_FALSE(begin("r1", true, start + 50s + historyRetention));
}

TEST_CASE_METHOD(history_since_start, "repeat_from_before_the_history_of_a_new_holder_is_not_run",
                 "[history]")
{
    const auto answered = begin("r1", true, start + 1s);
    REQUIRE(answered);
    CHECK(answered->cause == reason::HistoryLost);
    const auto complete = start + maxWait + historyRetention;
    // The first attempt may have waited until its deadline at the earlier holder.
    CHECK(begin("r2", true, complete - 1us)->cause == reason::HistoryLost);
    CHECK_FALSE(begin("r2", true, complete));
}

// Guards against a second run: another owner or holder has had the shard.
TEST_CASE_METHOD(history_since_start, "repeat_after_the_return_of_a_shard_is_not_run", "[history]")
{
    const auto back = start + 1h;
    recordShard(history, shard, {{1, 1}, 1}, back);
    CHECK_FALSE(begin("r1", true, back));
    recordShard(history, shard, {{1, 1}, 3}, back);
    const auto answered = begin("r2", true, back + maxWait);
    REQUIRE(answered);
    CHECK(answered->cause == reason::HistoryLost);
}

TEST_CASE_METHOD(history_since_start, "repeat_of_work_without_a_key_is_not_run", "[history]")
{
    const auto repeat = beginAtMostOnce(history, {"r1", true, maxWait, std::nullopt}, start + 1h);
    REQUIRE(repeat);
    CHECK(repeat->cause == reason::HistoryLost);
    CHECK_FALSE(beginAtMostOnce(history, {"r2", false, maxWait, std::nullopt}, start + 1h));
}

TEST_CASE_METHOD(two_domains, "request_without_key_stays_in_its_own_domain", "[routing]")
{
    CHECK(choose()->group.domain == "a");
}

TEST_CASE_METHOD(two_domains, "request_leaves_its_domain_while_that_is_out_of_service", "[routing]")
{
    config.evacuatedDomains.insert("a");
    CHECK(choose()->group.domain == "b");
}

TEST_CASE_METHOD(two_domains, "request_avoids_the_group_that_refused_it", "[routing]")
{
    avoid = group_id{"catalogue", "a"};
    CHECK(choose()->group.domain == "b");
}

TEST_CASE_METHOD(two_domains, "request_goes_to_the_group_with_the_shorter_queue", "[routing]")
{
    hints[{"catalogue", "a"}] = {50, {}};
    CHECK(choose()->group.domain == "b");
}

TEST_CASE_METHOD(two_domains, "group_whose_only_server_is_leaving_gets_no_new_work", "[routing]")
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
