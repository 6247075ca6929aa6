// What callers do while their orders run, through the real hosts: they half-close, send requests
// in one segment, leave, or await an interim answer. Nobody gets 408, 421, 429 or 503 for an order
// that ran or runs later.
#include "support/answer_reader.h"
#include "support/site_cluster.h"

#include <catch2/catch.hpp>

#include <thread>

namespace parsleyloft {

namespace {

constexpr duration orderTime = 300ms;
constexpr duration answerLimit = 5s;
// An order that a host still holds when its caller has its answer would run within this time.
constexpr duration settleTime = 1s;

struct hosts_with_slow_orders : site_cluster
{
    hosts_with_slow_orders()
    {
        keyed_server_faults faults;
        faults.serviceTime = orderTime;
        for (auto &[id, server] : servers)
            setServerFaults(server, faults);
    }

    auto connect(int host) -> std::unique_ptr<caller_socket>
    {
        auto socket = connectTo(callerAddress(*this, host), limit());
        REQUIRE(socket != nullptr);
        return socket;
    }

    static auto limit() -> instant { return monotonicNow() + answerLimit; }
};

auto orderHead(const std::string &id, std::size_t bodyBytes, const std::string &moreHeaders = {})
        -> std::string
{
    return "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n"
            + moreHeaders + "\r\n";
}

auto send(caller_socket &socket, const std::string &bytes) -> void
{
    const auto until = hosts_with_slow_orders::limit();
    REQUIRE(sendBytes(socket, bytes, until, false) == send_end::Sent);
}

auto isPromise(unsigned status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// Checks that an order that was called not run has not run, and that an answer is its own. The
// hosts have settled.
auto checkOrder(site_cluster &cluster, const std::string &id, const std::string &body,
                const caller_answer &answer) -> void
{
    CAPTURE(id, answer.status, runsOf(cluster, id));
    CHECK(runsOf(cluster, id) <= 1);
    CHECK_FALSE((isPromise(answer.status) && runsOf(cluster, id) > 0));
    if (answer.status == 200) {
        CHECK(answer.requestId == id);
        CHECK(answer.body == "POST /order/1 " + body);
    }
}

} // namespace

// Guards against REFUSED: a host takes the end of the caller's sending side for the end of the
// caller, and answers as if the order had been dropped.
TEST_CASE_METHOD(hosts_with_slow_orders,
                 "order_of_a_caller_that_half_closes_is_called_not_run_only_if_it_never_runs")
{
    std::map<std::string, caller_answer> answers;
    std::size_t ran = 0;
    for (const auto delay : {0ms, 5ms, 50ms, 150ms, 290ms, 300ms}) {
        for (const auto host : {0, 1}) {
            const auto id = "half-" + std::to_string(delay.count()) + "-" + std::to_string(host);
            const auto socket = connect(host);
            send(*socket, orderHead(id, 4) + "book");
            std::this_thread::sleep_for(delay);
            closeSending(*socket);
            answers[id] = readFinalAnswer(*socket, limit());
        }
    }
    std::this_thread::sleep_for(settleTime);
    for (const auto &[id, answer] : answers) {
        checkOrder(*this, id, "book", answer);
        ran += runsOf(*this, id);
    }
    CHECK(ran > 0);
}

// Guards against REFUSED and MIXED: the bytes of a second order, which wait behind the first one,
// end the watch of its connection or are answered with the first one's result.
TEST_CASE_METHOD(hosts_with_slow_orders,
                 "orders_sent_in_one_segment_are_called_not_run_only_if_they_never_run")
{
    for (const auto host : {0, 1}) {
        const auto name = "segment-" + std::to_string(host);
        const auto socket = connect(host);
        send(*socket, orderHead(name + "-1", 4) + "book" + orderHead(name + "-2", 4) + "pays");
        const auto first = readFinalAnswer(*socket, limit());
        const auto second = readFinalAnswer(*socket, limit());
        std::this_thread::sleep_for(settleTime);
        checkOrder(*this, name + "-1", "book", first);
        checkOrder(*this, name + "-2", "pays", second);
        CHECK(first.status == 200);
        CHECK(second.status == 200);
    }
}

// Guards against REFUSED and UNASKED: the part of a body that has come is sent to a server, or the
// rest of it is taken for a request.
TEST_CASE_METHOD(hosts_with_slow_orders, "order_of_a_caller_that_leaves_in_the_body_never_runs")
{
    const auto body = orderHead("within", 0) + orderHead("within", 0);
    for (const auto resets : {false, true}) {
        for (const auto sent : {std::size_t(0), std::size_t(1), body.size() / 2, body.size() - 1}) {
            const auto id = "part-" + std::to_string(sent) + (resets ? "-reset" : "-closed");
            auto socket = connect(0);
            send(*socket, orderHead(id, body.size()) + body.substr(0, sent));
            std::this_thread::sleep_for(50ms);
            if (resets)
                resetAtClose(*socket);
            socket.reset();
            std::this_thread::sleep_for(settleTime / 4);
            CAPTURE(id);
            CHECK(runsOf(*this, id) == 0);
        }
    }
    std::this_thread::sleep_for(settleTime);
    CHECK(runsOf(*this, "within") == 0);
    CHECK(callHost(*this, 0, {}).response.status == 200);
}

// Guards against TWICE: an order whose caller has left while it runs is sent again.
TEST_CASE_METHOD(hosts_with_slow_orders,
                 "order_of_a_caller_that_leaves_before_the_answer_runs_once_at_most")
{
    std::vector<std::string> ids;
    for (const auto resets : {false, true}) {
        for (const auto delay : {0ms, 5ms, 50ms, 150ms, 290ms, 300ms}) {
            ids.push_back("left-" + std::to_string(delay.count())
                          + (resets ? "-reset" : "-closed"));
            auto socket = connect(0);
            send(*socket, orderHead(ids.back(), 4) + "book");
            std::this_thread::sleep_for(delay);
            if (resets)
                resetAtClose(*socket);
        }
    }
    std::this_thread::sleep_for(settleTime);
    std::size_t ran = 0;
    for (const auto &id : ids) {
        CAPTURE(id);
        CHECK(runsOf(*this, id) <= 1);
        ran += runsOf(*this, id);
    }
    CHECK(ran > 0);
}

// Guards against REFUSED: an order whose body follows the interim answer is refused after it was
// sent on, or runs though its caller has left instead of sending the body.
TEST_CASE_METHOD(hosts_with_slow_orders,
                 "order_with_an_expected_interim_answer_is_called_not_run_only_if_it_never_runs")
{
    const std::string expectation = "Expect: 100-continue\r\n";
    for (const auto host : {0, 1}) {
        const auto id = "expected-" + std::to_string(host);
        const auto socket = connect(host);
        send(*socket, orderHead(id, 4, expectation));
        CHECK(readAnswer(*socket, limit()).status == 100);
        CHECK(runsOf(*this, id) == 0);
        send(*socket, "book");
        const auto answer = readFinalAnswer(*socket, limit());
        std::this_thread::sleep_for(settleTime);
        checkOrder(*this, id, "book", answer);
        CHECK(answer.status == 200);
    }
    const auto socket = connect(0);
    send(*socket, orderHead("expected-left", 4, expectation));
    CHECK(readAnswer(*socket, limit()).status == 100);
    closeSending(*socket);
    const auto answer = readFinalAnswer(*socket, limit());
    std::this_thread::sleep_for(settleTime);
    checkOrder(*this, "expected-left", "", answer);
    CHECK(runsOf(*this, "expected-left") == 0);
}

} // namespace parsleyloft
