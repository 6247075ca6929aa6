// What counts as "not run", through the real hosts: a request that must not run twice is answered
// with 408, 421, 429 or 503 only if no server has run it and none will.
#include "support/raw_site.h"

#include <catch2/catch.hpp>

#include <set>

namespace parsleyloft {

namespace {

auto idLine(const raw_connection &connection) -> std::string
{
    return "X-Request-Id: " + rawHeader(connection, "X-Request-Id") + "\r\n";
}

// Answers that tell the caller that its request has not run, and never will.
auto isPromise(const http_outcome &outcome) -> bool
{
    const auto status = outcome.response.status;
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// A server that started at the address of earlier ones, whose entries are still listed.
struct hosts_before_a_server_started_again : hosts_before_a_raw_server
{
    hosts_before_a_server_started_again()
    {
        answerBy([this](raw_connection &connection) { return refuseOrRun(connection); });
    }

    // Refuses requests to earlier servers. Runs the others, after a copy of the refusal that the
    // connection has carried, if any.
    auto refuseOrRun(raw_connection &connection) -> bool
    {
        const auto id = rawHeader(connection, "X-Request-Id");
        std::string copy;
        {
            const std::lock_guard guard(stateLock);
            auto &refusal = refusals[connection.socket];
            if (rawHeader(connection, "X-Expect-Instance") != "raw") {
                refused.insert(id);
                refusal = "HTTP/1.1 421 Other\r\nX-Not-Executed: 1\r\nX-Instance-Id: raw\r\n"
                        + idLine(connection)
                        + "Keep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n";
                return sendAll(connection, refusal);
            }
            copy = std::exchange(refusal, {});
            ++runs[id];
        }
        if (!copy.empty()) {
            sendAll(connection, copy);
            std::this_thread::sleep_for(30ms);
        }
        return sendAll(connection, ownAnswer(connection));
    }

    std::mutex stateLock;
    // All guarded by stateLock. The last refusal by connection, the requests that were refused
    // once, and how often each request ran.
    std::map<int, std::string> refusals;
    std::set<std::string> refused;
    std::map<std::string, int> runs;
};

// A server that runs every order, and answers it as the test says.
struct hosts_before_a_server_that_runs : hosts_before_a_raw_server
{
    auto answerOrders(raw_handler answer) -> void
    {
        answerBy([this, answer = std::move(answer)](raw_connection &connection) {
            ++runs;
            return answer(connection);
        });
    }

    // Answers with the head and an empty body.
    auto answerWith(const std::string &statusLine, const std::string &headers) -> void
    {
        answerOrders([statusLine, headers](raw_connection &connection) {
            return sendAll(connection,
                           "HTTP/1.1 " + statusLine + "\r\n" + headers + idLine(connection)
                                   + "Content-Length: 0\r\n\r\n");
        });
    }

    std::atomic<int> runs = 0;
};

} // namespace

// Guards against REFUSED: a request is refused at an address under one id, sent there again under
// another, and the second copy of its own refusal comes where the answer of its run is due.
TEST_CASE_METHOD(hosts_before_a_server_started_again,
                 "request_sent_again_to_the_address_that_refused_it_is_not_called_not_run")
{
    std::size_t sentAgain = 0;
    for (int index = 0; index < 20; ++index) {
        const auto earlier = "earlier-" + std::to_string(index);
        announce(earlier);
        std::this_thread::sleep_for(150ms);
        const auto call = order("order-" + std::to_string(index));
        const auto outcome = callHost(*this, index % 2, call);
        putItem(*store, "servers/" + earlier, "");
        CAPTURE(call.id, outcome.response.status);
        const std::lock_guard guard(stateLock);
        CHECK(runs[call.id] <= 1);
        if (runs[call.id] == 0)
            continue;
        sentAgain += refused.contains(call.id) ? 1 : 0;
        CHECK_FALSE(isPromise(outcome));
    }
    CHECK(sentAgain > 0);
}

// Guards against REFUSED: an order runs, and its answer is no statement of its server that it has
// not.
TEST_CASE_METHOD(hosts_before_a_server_that_runs,
                 "order_that_ran_is_not_called_not_run_whatever_its_answer")
{
    const std::string statement = "X-Not-Executed: 1\r\n";
    const std::string stamp = "X-Upstream-Stamp: s\r\n";
    SECTION("refusal_without_the_statement")
    {
        answerWith(GENERATE(as<std::string>{}, "503 No", "429 No", "408 No"), "");
    }
    SECTION("statement_beside_the_stamp_of_work")
    {
        answerWith(GENERATE(as<std::string>{}, "503 No", "429 No", "421 No"), statement + stamp);
    }
    SECTION("statement_beside_a_status_of_work")
    {
        answerWith(GENERATE(as<std::string>{}, "200 OK", "500 Failed", "504 Late"), statement);
    }
    SECTION("refusal_of_another_request")
    {
        answerOrders([&](raw_connection &connection) {
            return sendAll(connection,
                           "HTTP/1.1 503 No\r\n" + statement
                                   + "X-Request-Id: other\r\nContent-Length: 0\r\n\r\n");
        });
    }
    SECTION("refusal_without_an_id")
    {
        answerOrders([&](raw_connection &connection) {
            return sendAll(connection,
                           "HTTP/1.1 503 No\r\n" + statement + "Content-Length: 0\r\n\r\n");
        });
    }
    SECTION("refusal_that_breaks_off")
    {
        answerOrders([&](raw_connection &connection) {
            sendAll(connection, "HTTP/1.1 503 No\r\n" + statement + idLine(connection));
            return false;
        });
    }
    SECTION("closed_connection")
    {
        answerOrders([](raw_connection &) { return false; });
    }
    SECTION("reset_connection")
    {
        answerOrders([](raw_connection &connection) {
            resetRaw(connection);
            return false;
        });
    }
    SECTION("nothing_until_the_deadline")
    {
        answerOrders([](raw_connection &) {
            std::this_thread::sleep_for(700ms);
            return false;
        });
    }
    for (int index = 0; index < 4; ++index) {
        // A server whose answers were lost is left alone for a moment.
        std::this_thread::sleep_for(150ms);
        auto call = order("ran-" + std::to_string(index));
        call.waitMs = 500;
        const int before = runs;
        const auto outcome = callHost(*this, index % 2, call);
        CAPTURE(call.id, outcome.response.status);
        if (runs == before)
            continue;
        CHECK(runs == before + 1);
        CHECK_FALSE(isPromise(outcome));
    }
    CHECK(runs > 0);
}

} // namespace parsleyloft
