// What one host of `parsleyloft serve` answers its callers after attempts whose outcome was
// unknown, and what it runs when they send such requests again.
#include "support/host_in_process.h"
#include "transport/blocking_call.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

auto outcomeOf(const http_response &response) -> std::string
{
    return headerValue(response.headers, "Parsleyloft-Outcome");
}

auto reasonOf(const http_response &response) -> std::string
{
    return headerValue(response.headers, "Parsleyloft-Reason");
}

} // namespace

// Guards against a false "not run": the first attempt of an order ran without an answer, and the
// repeat is refused.
TEST_CASE_METHOD(host_that_holds_all_groups,
                 "refused_repeat_of_an_order_that_ran_is_not_called_not_run", "[daemon]")
{
    losesAnswers = true;
    REQUIRE(outcomeOf(callClass(*this, "order", "order-1")) == "unknown");
    REQUIRE(countRuns(*this, "order-1") == 1);
    header_list repeated;
    repeated["Repeated"] = "yes";
    SECTION("the host has lost its lease")
    {
        loseLease(*this);
        repeated["Deadline-Ms"] = "100";
    }
    SECTION("the class has been removed")
    {
        const std::lock_guard guard(daemon->configured.lock);
        daemon->configured.current.classes.erase("order");
    }
    SECTION("a header is invalid")
    {
        repeated["Deadline-Ms"] = "0";
    }
    const auto response = callClass(*this, "order", "order-1", repeated);
    CAPTURE(response.status, reasonOf(response));
    CHECK(outcomeOf(response) == "unknown");
    CHECK(response.status >= 500);
    CHECK(response.status != 503);
}

// Guards against a second run: the key moves to an owner in another group, whose history has no
// entry of the first attempt.
TEST_CASE_METHOD(host_that_holds_all_groups,
                 "repeat_of_an_order_is_not_run_by_the_next_owner_of_its_key", "[daemon]")
{
    losesAnswers = true;
    REQUIRE(outcomeOf(callClass(*this, "order", "order-1")) == "unknown");
    losesAnswers = false;
    setOwner(*this, "orders-b", 3);
    header_list repeated;
    repeated["Repeated"] = "yes";
    const auto response = callClass(*this, "order", "order-1", repeated);
    CHECK(outcomeOf(response) == "unknown");
    CHECK(reasonOf(response) == "history_lost");
    CHECK(countRuns(*this, "order-1") == 1);
}

TEST_CASE_METHOD(host_that_holds_all_groups,
                 "repeat_of_an_order_that_never_came_is_run_by_an_owner_of_long_standing",
                 "[daemon]")
{
    REQUIRE(outcomeOf(callClass(*this, "order", "order-0")) == "answered");
    {
        const auto table = groupTable(*daemon, ordersA);
        const std::lock_guard guard(table->lock);
        table->history.shards.at(0).completeSince -= 1h;
    }
    header_list repeated;
    repeated["Repeated"] = "yes";
    CHECK(outcomeOf(callClass(*this, "order", "order-1", repeated)) == "answered");
    CHECK(outcomeOf(callClass(*this, "order", "order-1", repeated)) == "answered");
    CHECK(countRuns(*this, "order-1") == 1);
}

// Guards against a second run: work without a key may be sent to any group, and only the history of
// one of them has an entry of the first attempt.
TEST_CASE_METHOD(host_that_holds_all_groups,
                 "repeat_of_work_without_a_key_is_not_run_by_another_group", "[daemon]")
{
    losesAnswers = true;
    REQUIRE(outcomeOf(callClass(*this, "job", "job-1")) == "unknown");
    REQUIRE(countRuns(*this, "job-1") == 1);
    losesAnswers = false;
    {
        const std::lock_guard guard(daemon->configured.lock);
        daemon->configured.current.evacuatedDomains.insert("a");
    }
    header_list repeated;
    repeated["Repeated"] = "yes";
    const auto response = callClass(*this, "job", "job-1", repeated);
    CHECK(outcomeOf(response) == "unknown");
    CHECK(reasonOf(response) == "history_lost");
    CHECK(countRuns(*this, "job-1") == 1);
}

// Guards against a second run: a caller gives up while its order waits for a route, and sends it
// again through another host, after which the key moves within reach of this one.
TEST_CASE_METHOD(host_that_holds_all_groups, "order_of_a_caller_that_is_gone_is_not_sent",
                 "[daemon]")
{
    {
        const std::lock_guard guard(daemon->holdings.lock);
        daemon->holdings.state.table.groups[ordersA] = {
                "unreachable", {{1, 1}, 9}, assignment_phase::Held};
    }
    {
        const std::lock_guard guard(daemon->configured.lock);
        daemon->configured.current.classes["order"].maxWait = 10min;
    }
    http_request request;
    request.method = "POST";
    request.target = "/v1/call/order";
    request.headers["Request-Id"] = "order-1";
    request.headers["Key"] = "key";
    const auto target = *parseEndpoint(daemon->settings.caller_address());
    REQUIRE(callAndWait(client, target, request, 100ms).failure == http_failure::TimedOut);
    waitUntil("the order has ended, long before its deadline",
              [&] { return countOpenRequests(daemon->callerServer) == 0; });
    setOwner(*this, "orders-b", 3);
    // A later order goes the same way.
    REQUIRE(outcomeOf(callClass(*this, "order", "order-2")) == "answered");
    CHECK(countRuns(*this, "order-1") == 0);
}

// Guards against a false "not run": an order ran, and its answer has the statement of a refusal
// beside a status that is none.
TEST_CASE_METHOD(host_that_holds_all_groups,
                 "statement_beside_a_status_of_work_is_not_called_not_run", "[daemon]")
{
    const auto status = GENERATE(as<std::string>{}, "200 OK", "202 Accepted", "204 No Content",
                                 "404 Not Found", "500 Failed", "502 Bad Gateway");
    answerHead = status + "\r\nRun: no\r\n";
    const auto response = callClass(*this, "order", "order-1");
    CAPTURE(status, response.status);
    CHECK(outcomeOf(response) == "unknown");
    CHECK(countRuns(*this, "order-1") == 1);
}

TEST_CASE_METHOD(host_that_holds_all_groups, "refusal_is_called_not_run", "[daemon]")
{
    const auto status =
            GENERATE(as<std::string>{}, "400 Malformed", "429 Too Many", "503 Full", "504 Late");
    answerHead = status + "\r\nRun: no\r\n";
    CHECK(outcomeOf(callClass(*this, "order", "order-1")) == "not_run");
}

// Guards against a status that is taken for "not run": a peer replies to a forwarded order with
// values that this host does not know.
TEST_CASE_METHOD(host_that_holds_all_groups, "unknown_outcome_in_a_reply_is_not_called_not_run",
                 "[daemon]")
{
    std::atomic<std::uint32_t> replied = 0;
    const auto address = "127.0.0.1:" + std::to_string(ports.firstPort + 3);
    peer_handlers handlers;
    handlers.forward = [&replied](const wire::ForwardRequest &,
                                  const peer_responder<wire::ForwardReply> &respond) {
        wire::ForwardReply reply;
        reply.set_outcome(replied);
        respond(reply);
    };
    auto peer = startPeerServer(*workers, address, handlers);
    REQUIRE(peer);
    updateHostAddress(*daemon, {"peer", "a", "", address});
    {
        const std::lock_guard guard(daemon->holdings.lock);
        daemon->holdings.state.table.groups[ordersA] = {
                "peer", {{1, 1}, 9}, assignment_phase::Held};
    }
    for (const auto invalid : {0U, 4U, 257U, 258U}) {
        replied = invalid;
        const auto response = callClass(*this, "order", "order-" + std::to_string(invalid));
        CAPTURE(invalid);
        CHECK(outcomeOf(response) == "unknown");
        CHECK(response.status == 502);
    }
    stopPeerServer(*peer, 1s);
}

} // namespace parsleyloft
