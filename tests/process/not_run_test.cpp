// What counts as "not run", through the real hosts: a request that must not run twice is answered
// with 408, 421, 429 or 503 only if no server has run it and none will.
#include "support/raw_site.h"

#include <catch2/catch.hpp>

#include <future>
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
        // Hosts send to servers of their own failure domain first, so that orders go to the earlier
        // server before the present one.
        announce("raw", "c", 2);
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
            auto &refusal = refusals[connection.number];
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
        announce(earlier, index % 2 == 0 ? "a" : "b");
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
    CHECK(sentAgain == 20);
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

// Guards against REFUSED: what the store says of a server shows nothing about the requests that it
// runs.
TEST_CASE_METHOD(site_cluster, "order_that_runs_while_its_server_leaves_the_store_is_answered")
{
    keyed_server_faults slow;
    slow.serviceTime = 800ms;
    for (auto &[id, server] : servers)
        setServerFaults(server, slow);
    std::vector<std::future<http_outcome>> running;
    for (int index = 0; index < 4; ++index)
        running.push_back(std::async(std::launch::async, [&, index] {
            return callHost(*this, index % 2, order("running-" + std::to_string(index)));
        }));
    waitUntil("the orders run", [&] {
        return countArrivals(servers["shop-a"]) + countArrivals(servers["shop-b"]) >= 4;
    });
    for (const auto *id : {"shop-a", "shop-b"}) {
        SECTION(std::string("removed_") + id)
        {
            putItem(*store, std::string("servers/") + id, "");
        }
        SECTION(std::string("draining_") + id)
        {
            publishServerState(servers[id], *store, true);
        }
        SECTION(std::string("started_again_") + id)
        {
            putServerEntry(*store, {id, "shop", "a", 3, false, 5000}, addressOf(servers[id]));
        }
    }
    SECTION("evacuated_domain")
    {
        putItem(*store, "op/evacuate/a", "{}");
    }
    SECTION("unreachable_store")
    {
        store_faults away;
        away.unavailable = true;
        setStoreFaults(*store, away);
    }
    for (auto &outcome : running)
        CHECK(outcome.get().response.status == 200);
}

// Guards against REFUSED and TWICE: the status 421 alone counts as the statement that the order has
// not run, although no response without X-Not-Executed states this.
TEST_CASE_METHOD(hosts_before_a_server_that_runs,
                 "order_answered_421_without_the_statement_runs_once_and_is_not_called_not_run")
{
    // A second entry at the same address, so that an order may be sent again.
    announce("second");
    answerWith("421 Other", GENERATE(as<std::string>{}, "", "X-Instance-Id: raw\r\n"));
    std::size_t sent = 0;
    for (int index = 0; index < 4; ++index) {
        std::this_thread::sleep_for(500ms);
        const int before = runs;
        const auto call = order("misdirected-" + std::to_string(index));
        const auto outcome = callHost(*this, index % 2, call);
        CAPTURE(call.id, outcome.response.status);
        if (runs == before)
            continue;
        ++sent;
        CHECK(runs == before + 1);
        CHECK_FALSE(isPromise(outcome));
    }
    CHECK(sent > 0);
}

// Guards against REFUSED and MIXED: the copy of an earlier answer breaks off inside a line that
// contains "HTTP/1.", so that the status line of the answer behind it is the second such text of
// the line and the head of the answer is read as the rest of the copy's.
TEST_CASE_METHOD(hosts_before_a_server_that_runs,
                 "copy_cut_off_in_a_line_that_names_the_protocol_is_not_the_answer_of_an_order")
{
    const auto copy = GENERATE(as<std::string>{}, "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n",
                               "HTTP/1.1 200 OK\r\nX-Upstream-Stamp: s\r\n");
    const auto cut = GENERATE(as<std::string>{}, "Via: HTTP/1.1 gateway", "Filler: HTTP/1.");
    answerOrders([copy, cut](raw_connection &connection) {
        sendAll(connection, copy + cut);
        std::this_thread::sleep_for(5ms);
        return sendAll(connection,
                       "HTTP/1.1 500 Failed\r\n" + idLine(connection)
                               + "Content-Length: 0\r\n\r\n");
    });
    std::size_t sent = 0;
    for (int index = 0; index < 4; ++index) {
        std::this_thread::sleep_for(150ms);
        const int before = runs;
        const auto call = order("merged-" + std::to_string(index));
        const auto outcome = callHost(*this, index % 2, call);
        CAPTURE(call.id, outcome.response.status);
        if (runs == before)
            continue;
        ++sent;
        CHECK(runs == before + 1);
        CHECK_FALSE(isPromise(outcome));
        CHECK(outcome.response.status >= 500);
    }
    CHECK(sent > 0);
}

// Guards against REFUSED: a caller names X-Request-Id in its Connection header, the server gets no
// id, and any answer without one counts as the order's own.
TEST_CASE_METHOD(hosts_before_a_server_that_runs,
                 "request_id_named_by_the_connection_header_is_forwarded_all_the_same")
{
    std::atomic<int> withId = 0;
    answerOrders([&](raw_connection &connection) {
        withId += rawHeader(connection, "X-Request-Id") == "named" ? 1 : 0;
        sendAll(connection, "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(5ms);
        return sendAll(connection, ownAnswer(connection));
    });
    const auto answer = sendRaw(*this, 0,
                                "DELETE /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
                                "X-Request-Id: named\r\nX-Deadline-Ms: 1000\r\n"
                                "Connection: close, X-Request-Id\r\n\r\n");
    CHECK(runs == 1);
    CHECK(withId == 1);
    CHECK_FALSE(answer.starts_with("HTTP/1.1 503"));
}

// Guards against LOST: the HTTP library refuses to encode the request, and the exception ends the
// exchange without a result, so that the caller waits beyond its deadline.
TEST_CASE_METHOD(hosts_before_a_server_that_runs, "request_that_cannot_be_encoded_gets_an_answer")
{
    const auto began = monotonicNow();
    const auto answer = sendRaw(*this, 0,
                                "TRACE /shop/item HTTP/1.1\r\nHost: shop.example\r\n"
                                "X-Request-Id: traced\r\nX-Deadline-Ms: 1000\r\n"
                                "Connection: close\r\nContent-Length: 4\r\n\r\nbody");
    CHECK(answer.starts_with("HTTP/1.1 "));
    CHECK(monotonicNow() - began < 2s);
}

} // namespace parsleyloft
