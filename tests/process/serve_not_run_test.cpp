// What the hosts of `parsleyloft serve` answer as "not run": no server has run the request and none
// will. The backend server answers byte by byte.
#include "codec/json.h"
#include "support/cluster.h"
#include "support/raw_backend.h"

#include <catch2/catch.hpp>

#include <set>

namespace parsleyloft {

namespace {

auto twoHosts() -> wire::Deployment
{
    wire::Deployment deployment;
    const auto read = readJson(R"({
      "name": "pair", "failure_domains": ["a"], "hosts": 2, "worker_threads": 2,
      "services": [{"name": "orders", "keyed": true, "shards": 4, "checks_grants": true}],
      "classes": [{"name": "order", "service": "orders", "max_wait_ms": 4000}]})",
                               deployment);
    REQUIRE(read);
    return deployment;
}

auto listed(const endpoint &address) -> wire::ListedService
{
    wire::ListedService entry;
    entry.set_id("orders-raw");
    entry.set_service("orders");
    entry.set_address(address.address);
    entry.set_port(address.port);
    (*entry.mutable_meta())["failure_domain"] = "a";
    (*entry.mutable_meta())["slots"] = "4";
    (*entry.mutable_meta())["state"] = "live";
    return entry;
}

// The owner of all keys. It refuses each order once. It runs the order when it comes again, after a
// copy of the refusal that the connection has carried, if any.
struct owner_with_late_copies
{
    auto refuseOrRun(raw_connection &connection, const std::string &id) -> bool
    {
        const auto idLine = "Request-Id: " + id + "\r\n";
        std::string copy;
        {
            const std::lock_guard guard(backend.lock);
            auto &refusal = refusals[connection.number];
            if (refused.insert(id).second) {
                refusal = rawResponse("503 Full\r\nRun: no\r\n" + idLine, "");
                return sendAll(connection, refusal);
            }
            copy = std::exchange(refusal, {});
            ++backend.runs[id];
        }
        if (!copy.empty()) {
            sendAll(connection, copy);
            std::this_thread::sleep_for(30ms);
        }
        return sendAll(connection, rawResponse("200 OK\r\n" + idLine, "answer to " + id));
    }

    // Both guarded by the lock of the backend: the last refusal by connection, and the orders that
    // were refused once.
    std::map<int, std::string> refusals;
    std::set<std::string> refused;
    raw_backend backend{[this](raw_connection &connection, const std::string &id) {
        return refuseOrRun(connection, id);
    }};
};

struct hosts_before_an_owner_with_late_copies
    : owner_with_late_copies
    , cluster
{
    hosts_before_an_owner_with_late_copies()
        : cluster(twoHosts(), {listed(backend.raw.address)})
    { }
};

} // namespace

// Guards against a false "not run": an order is refused, sent again to the same owner, and the
// second copy of its own refusal comes where the answer of its run is due.
TEST_CASE_METHOD(hosts_before_an_owner_with_late_copies,
                 "order_sent_again_to_the_owner_that_refused_it_is_not_called_not_run", "[process]")
{
    int ran = 0;
    for (int index = 0; index < 20; ++index) {
        const auto id = "order-" + std::to_string(index);
        const auto host = index % 2 == 0 ? "host-1" : "host-2";
        const auto response = callClass(*this, host, "order", id, "key");
        CAPTURE(id, response.status, headerValue(response.headers, "Parsleyloft-Reason"));
        const std::lock_guard guard(backend.lock);
        CHECK(backend.runs[id] <= 1);
        if (backend.runs[id] == 0)
            continue;
        ++ran;
        CHECK(headerValue(response.headers, "Parsleyloft-Outcome") != "not_run");
    }
    CHECK(ran > 0);
}

} // namespace parsleyloft
