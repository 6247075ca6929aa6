// What counts as "not run", through the real hosts: a request that must not run twice is answered
// with 408, 421, 429 or 503 only if no server has run it and none will.
#include "support/raw_server.h"
#include "support/site_cluster.h"

#include <catch2/catch.hpp>

#include <mutex>
#include <set>

namespace parsleyloft {

namespace {

// Two hosts before a server of the service "shop" that started at the address of earlier ones,
// whose entries are still listed.
struct hosts_before_a_server_started_again : site_cluster
{
    hosts_before_a_server_started_again()
    {
        putItem(*store, "servers/shop-a", "");
        putItem(*store, "servers/shop-b", "");
        announce("present");
        for (int host = 0; host < 2; ++host)
            waitUntil("the present server is used", [&] {
                return callHost(*this, host, {}).response.body.starts_with("answer to");
            });
    }

    auto announce(const std::string &id) -> void
    {
        putItem(*store, "servers/" + id,
                R"({"service":"shop","address":"127.0.0.1:)" + std::to_string(raw.address.port)
                        + R"(","zone":"a","slots":64,"state":"ready","warmup_left_ms":0,)"
                          R"("version":"v1","seq":1,"born":5})");
    }

    // Refuses requests to earlier servers. Runs the others, after a copy of the refusal that the
    // connection has carried, if any.
    auto refuseOrRun(raw_connection &connection) -> bool
    {
        const auto id = rawHeader(connection, "X-Request-Id");
        const auto idLine = "X-Request-Id: " + id + "\r\n";
        std::string copy;
        {
            const std::lock_guard guard(lock);
            auto &refusal = refusals[connection.socket];
            if (rawHeader(connection, "X-Expect-Instance") != "present") {
                refused.insert(id);
                refusal = "HTTP/1.1 421 Other\r\nX-Not-Executed: 1\r\nX-Instance-Id: present\r\n"
                        + idLine + "Keep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n";
                return sendAll(connection, refusal);
            }
            copy = std::exchange(refusal, {});
            ++runs[id];
        }
        if (!copy.empty()) {
            sendAll(connection, copy);
            std::this_thread::sleep_for(30ms);
        }
        const auto body = "answer to " + id;
        return sendAll(connection,
                       "HTTP/1.1 200 OK\r\nX-Upstream-Stamp: s\r\nKeep-Alive: timeout=10\r\n"
                               + idLine + "Content-Length: " + std::to_string(body.size())
                               + "\r\n\r\n" + body);
    }

    std::mutex lock;
    // All guarded by lock. The last refusal by connection, the requests that were refused once, and
    // how often each request ran.
    std::map<int, std::string> refusals;
    std::set<std::string> refused;
    std::map<std::string, int> runs;
    raw_server raw{[this](raw_connection &connection) { return refuseOrRun(connection); }};
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
        caller_call call;
        call.method = "DELETE";
        call.target = "/order/1";
        call.id = "order-" + std::to_string(index);
        const auto outcome = callHost(*this, index % 2, call);
        putItem(*store, "servers/" + earlier, "");
        CAPTURE(call.id, outcome.response.status);
        const std::lock_guard guard(lock);
        CHECK(runs[call.id] <= 1);
        if (runs[call.id] == 0)
            continue;
        sentAgain += refused.contains(call.id) ? 1 : 0;
        for (const auto promise : {408U, 421U, 429U, 503U})
            CHECK(outcome.response.status != promise);
    }
    CHECK(sentAgain > 0);
}

} // namespace parsleyloft
