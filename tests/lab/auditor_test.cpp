// The auditor reports a breach of each invariant, and none for a clean journal.
#include "lab/auditor.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct journal_events
{
    auto add(wire::JournalKind kind, std::int64_t atMs) -> wire::JournalEvent &
    {
        events.emplace_back();
        events.back().set_kind(kind);
        events.back().set_at_us(atMs * 1000);
        events.back().set_writer("writer");
        return events.back();
    }

    auto hold(const std::string &server, std::uint64_t sequence, std::int64_t fromMs,
              std::int64_t untilMs) -> void
    {
        auto &event = add(wire::JOURNAL_KIND_GRANT_HELD, fromMs);
        event.set_service("orders");
        event.set_server_id(server);
        event.mutable_epoch()->set_sequence(sequence);
        event.set_until_us(untilMs * 1000);
    }

    auto run(const std::string &id, const std::string &server, std::int64_t atMs)
            -> wire::JournalEvent &
    {
        auto &event = add(wire::JOURNAL_KIND_RUN_STARTED, atMs);
        event.set_service("orders");
        event.set_server_id(server);
        event.set_request_id(id);
        event.set_key("key");
        event.set_failure_domain("a");
        return event;
    }

    auto end(const std::string &id, const std::string &outcome, std::int64_t atMs)
            -> wire::JournalEvent &
    {
        auto &event = add(wire::JOURNAL_KIND_CALL_ENDED, atMs);
        event.set_request_id(id);
        event.set_outcome(outcome);
        event.set_answer_is_own(true);
        return event;
    }

    auto breaches() const -> std::vector<std::string>
    {
        std::vector<std::string> found;
        const auto report = auditEvents(events);
        for (const auto &breach : report.breaches())
            found.push_back(breach.invariant());
        return found;
    }

    event_list events;
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE_METHOD(journal_events, "journal_of_a_clean_run_has_no_breach", "[auditor]")
{
    hold("s1", 1, 0, 1000);
    run("r1", "s1", 100);
    end("r1", "answered", 200);
    hold("s2", 2, 1500, 3000);
    run("r2", "s2", 1600);
    end("r2", "unknown", 1700);
    end("r3", "not_run", 1800);
    CHECK(breaches().empty());
}

TEST_CASE_METHOD(journal_events, "two_servers_holding_one_shard_break_one_owner", "[auditor]")
{
    hold("s1", 1, 0, 1000);
    hold("s2", 2, 900, 2000);
    CHECK(breaches() == names{"one_owner"});
}

TEST_CASE_METHOD(journal_events, "run_at_a_server_that_is_not_the_owner_breaks_one_owner",
                 "[auditor]")
{
    hold("s1", 1, 0, 1000);
    run("r1", "s2", 500);
    CHECK(breaches() == names{"one_owner"});
}

TEST_CASE_METHOD(journal_events, "decreasing_epoch_breaks_assignments_survive", "[auditor]")
{
    hold("s1", 5, 0, 1000);
    hold("s2", 4, 1500, 2000);
    CHECK(breaches() == names{"assignments_survive"});
}

TEST_CASE_METHOD(journal_events, "overloaded_cold_server_breaks_cold_start", "[auditor]")
{
    add(wire::JOURNAL_KIND_OVERRUN, 5);
    CHECK(breaches() == names{"cold_start"});
}

TEST_CASE_METHOD(journal_events, "late_run_in_an_evacuated_domain_breaks_domain_out", "[auditor]")
{
    add(wire::JOURNAL_KIND_DOMAIN_OUT, 0).set_failure_domain("a");
    run("r1", "s1", 4900);
    CHECK(breaches().empty());
    run("r2", "s1", 5100);
    CHECK(breaches() == names{"domain_out"});
}

TEST_CASE_METHOD(journal_events, "late_run_at_a_leaving_server_breaks_leaving_server", "[auditor]")
{
    add(wire::JOURNAL_KIND_SERVER_LEAVING, 0).set_server_id("s1");
    run("r1", "s1", 5100);
    CHECK(breaches() == names{"leaving_server"});
}

TEST_CASE_METHOD(journal_events, "answer_of_another_request_breaks_own_answer", "[auditor]")
{
    run("r1", "s1", 0);
    end("r1", "answered", 10).set_answer_is_own(false);
    CHECK(breaches() == names{"own_answer"});
}

TEST_CASE_METHOD(journal_events, "not_run_outcome_of_a_request_that_ran_breaks_not_run_is_true",
                 "[auditor]")
{
    run("r1", "s1", 0);
    end("r1", "not_run", 10);
    CHECK(breaches() == names{"not_run_is_true"});
}

TEST_CASE_METHOD(journal_events, "second_run_breaks_at_most_once_unless_the_request_may_repeat",
                 "[auditor]")
{
    run("r1", "s1", 0).set_may_repeat(true);
    run("r1", "s1", 1).set_may_repeat(true);
    CHECK(breaches().empty());
    run("r2", "s1", 2);
    run("r2", "s1", 3);
    CHECK(breaches() == names{"at_most_once"});
}

TEST_CASE_METHOD(journal_events, "call_cut_by_a_stopping_host_breaks_graceful_stop", "[auditor]")
{
    add(wire::JOURNAL_KIND_STOP_BEGAN, 0).set_server_id("127.0.0.1:1");
    end("r1", "cut", 10).set_server_id("127.0.0.1:2");
    CHECK(breaches().empty());
    end("r2", "cut", 20).set_server_id("127.0.0.1:1");
    CHECK(breaches() == names{"graceful_stop"});
}

TEST_CASE_METHOD(journal_events, "call_sent_after_the_stop_ended_does_not_break_graceful_stop",
                 "[auditor]")
{
    add(wire::JOURNAL_KIND_STOP_BEGAN, 0).set_server_id("127.0.0.1:1");
    add(wire::JOURNAL_KIND_STOP_ENDED, 10).set_server_id("127.0.0.1:1");
    add(wire::JOURNAL_KIND_CALL_SENT, 20).set_request_id("r1");
    end("r1", "cut", 30).set_server_id("127.0.0.1:1");
    CHECK(breaches().empty());
    add(wire::JOURNAL_KIND_CALL_SENT, 5).set_request_id("r2");
    end("r2", "cut", 40).set_server_id("127.0.0.1:1");
    CHECK(breaches() == names{"graceful_stop"});
}

TEST_CASE_METHOD(journal_events, "decreasing_revision_breaks_configuration_holds", "[auditor]")
{
    add(wire::JOURNAL_KIND_CONFIGURATION, 0).set_revision(5);
    add(wire::JOURNAL_KIND_CONFIGURATION, 1).set_revision(4);
    CHECK(breaches() == names{"configuration_holds"});
}

TEST_CASE_METHOD(journal_events, "change_not_in_force_within_the_limit_breaks_configuration_holds",
                 "[auditor]")
{
    add(wire::JOURNAL_KIND_STARTED, 0);
    add(wire::JOURNAL_KIND_ACCEPTED_CHANGE, 10).set_revision(2);
    CHECK(breaches().empty());
    add(wire::JOURNAL_KIND_CONFIGURATION, 14'000).set_revision(2);
    CHECK(breaches() == names{"configuration_holds"});
}

} // namespace parsleyloft
