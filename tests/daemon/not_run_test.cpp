// What one host of `parsleyloft serve` answers its callers after attempts whose outcome was
// unknown, and what it runs when they send such requests again.
#include "daemon/serve.h"
#include "support/child_process.h"
#include "support/raw_backend.h"
#include "transport/blocking_call.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

const group_id ordersA{"orders", "a"};
const group_id ordersB{"orders", "b"};
const group_id jobsA{"jobs", "a"};
const group_id jobsB{"jobs", "b"};

auto settingsOf(std::uint16_t firstPort) -> wire::Settings
{
    const auto address = [&](int offset) {
        return "127.0.0.1:" + std::to_string(firstPort + offset);
    };
    wire::Settings settings;
    settings.set_host_id("self");
    settings.set_region("region");
    settings.set_failure_domain("a");
    settings.set_caller_address(address(0));
    settings.set_peer_address(address(1));
    // Nothing listens there.
    settings.set_platform_address(address(2));
    auto *orders = settings.add_services();
    orders->set_name("orders");
    orders->set_keyed(true);
    orders->set_shards(1);
    settings.add_services()->set_name("jobs");
    settings.set_worker_threads(2);
    constexpr std::uint32_t maxBodyBytes = 65536;
    settings.set_max_body_bytes(maxBodyBytes);
    return settings;
}

// A backend server in each of two domains. They run every request once more each time it comes, and
// lose the answers while that is set.
struct two_backends
{
    auto runRequest(raw_backend &backend, raw_connection &connection, const std::string &id) -> bool
    {
        {
            const std::lock_guard guard(backend.lock);
            ++backend.runs[id];
        }
        if (losesAnswers) {
            resetRaw(connection);
            return false;
        }
        return sendAll(connection, rawResponse("200 OK\r\nRequest-Id: " + id + "\r\n", "ran"));
    }

    auto countRuns(const std::string &id) -> int
    {
        const std::scoped_lock guard(backendA.lock, backendB.lock);
        return backendA.runs[id] + backendB.runs[id];
    }

    std::atomic<bool> losesAnswers = false;
    raw_backend backendA{[this](raw_connection &connection, const std::string &id) {
        return runRequest(backendA, connection, id);
    }};
    raw_backend backendB{[this](raw_connection &connection, const std::string &id) {
        return runRequest(backendB, connection, id);
    }};
};

// A host that holds all groups, without a leader: the tests set its table.
struct host_that_holds_all_groups : two_backends
{
    host_that_holds_all_groups()
    {
        auto started = startDaemon(settingsOf(ports.firstPort));
        REQUIRE(started);
        daemon = std::move(*started);
        {
            const std::lock_guard guard(daemon->configured.lock);
            auto &classes = daemon->configured.current.classes;
            classes["order"] = {"order", "orders", 5s, false, 0};
            classes["job"] = {"job", "jobs", 5s, false, 0};
        }
        {
            const std::lock_guard guard(daemon->holdings.lock);
            auto &state = daemon->holdings.state;
            state.table.leaderTerm = {1, 1};
            state.table.version = 1;
            for (const auto &group : {ordersA, ordersB, jobsA, jobsB}) {
                auto &backend = group.domain == "a" ? backendA : backendB;
                const auto id = group.service + "-" + group.domain;
                state.table.groups[group] = {"self", {{1, 1}, 1}, assignment_phase::Held};
                state.table.servers[id] = {
                        id, group.service, group.domain, formatEndpoint(backend.raw.address),
                        4,  false};
            }
            state.leaseEnds = monotonicNow() + 1h;
            state.lapseHandled = false;
        }
        setOwner("orders-a", 2);
        for (const auto &group : {ordersA, ordersB, jobsA, jobsB}) {
            const auto table = groupTable(*daemon, group);
            waitUntil("the host sends to the group", [&] {
                const std::lock_guard guard(table->lock);
                return table->sending && !table->queue.servers.empty();
            });
        }
    }

    ~host_that_holds_all_groups()
    {
        daemon->stopping = true;
        stopPeerServer(daemon->peerServer, 1s);
        stopWorkers(*daemon->workers);
        stopWorkers(*workers);
    }

    auto setOwner(const server_id &owner, std::uint64_t sequence) const -> void
    {
        const std::lock_guard guard(daemon->holdings.lock);
        daemon->holdings.state.table.shards["orders"] = {
                {owner, {{1, 1}, sequence}, assignment_phase::Held}};
    }

    auto loseLease() const -> void
    {
        const std::lock_guard guard(daemon->holdings.lock);
        daemon->holdings.state.leaseEnds = monotonicNow();
    }

    auto call(const std::string &className, const std::string &id, const header_list &more = {})
            -> http_response
    {
        http_request request;
        request.method = "POST";
        request.target = "/v1/call/" + className;
        request.headers["Request-Id"] = id;
        if (className == "order")
            request.headers["Key"] = "key";
        for (const auto &[name, value] : more)
            request.headers[name] = value;
        const auto target = *parseEndpoint(daemon->settings.caller_address());
        return callAndWait(client, target, request, 10s).response;
    }

    port_claim ports;
    std::unique_ptr<worker_pool> workers = startWorkers(1);
    http_client client = makeHttpClient(*workers, 0);
    std::unique_ptr<daemon_process> daemon;
};

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
    REQUIRE(outcomeOf(call("order", "order-1")) == "unknown");
    REQUIRE(countRuns("order-1") == 1);
    header_list repeated;
    repeated["Repeated"] = "yes";
    SECTION("the host has lost its lease")
    {
        loseLease();
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
    const auto response = call("order", "order-1", repeated);
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
    REQUIRE(outcomeOf(call("order", "order-1")) == "unknown");
    losesAnswers = false;
    setOwner("orders-b", 3);
    header_list repeated;
    repeated["Repeated"] = "yes";
    const auto response = call("order", "order-1", repeated);
    CHECK(outcomeOf(response) == "unknown");
    CHECK(reasonOf(response) == "history_lost");
    CHECK(countRuns("order-1") == 1);
}

TEST_CASE_METHOD(host_that_holds_all_groups,
                 "repeat_of_an_order_that_never_came_is_run_by_an_owner_of_long_standing",
                 "[daemon]")
{
    REQUIRE(outcomeOf(call("order", "order-0")) == "answered");
    {
        const auto table = groupTable(*daemon, ordersA);
        const std::lock_guard guard(table->lock);
        table->history.shards.at(0).completeSince -= 1h;
    }
    header_list repeated;
    repeated["Repeated"] = "yes";
    CHECK(outcomeOf(call("order", "order-1", repeated)) == "answered");
    CHECK(outcomeOf(call("order", "order-1", repeated)) == "answered");
    CHECK(countRuns("order-1") == 1);
}

// Guards against a second run: work without a key may be sent to any group, and only the history of
// one of them has an entry of the first attempt.
TEST_CASE_METHOD(host_that_holds_all_groups,
                 "repeat_of_work_without_a_key_is_not_run_by_another_group", "[daemon]")
{
    losesAnswers = true;
    REQUIRE(outcomeOf(call("job", "job-1")) == "unknown");
    REQUIRE(countRuns("job-1") == 1);
    losesAnswers = false;
    {
        const std::lock_guard guard(daemon->configured.lock);
        daemon->configured.current.evacuatedDomains.insert("a");
    }
    header_list repeated;
    repeated["Repeated"] = "yes";
    const auto response = call("job", "job-1", repeated);
    CHECK(outcomeOf(response) == "unknown");
    CHECK(reasonOf(response) == "history_lost");
    CHECK(countRuns("job-1") == 1);
}

// Guards against a status that is taken for "not run": a peer replies to a forwarded order with
// values that this host does not know.
TEST_CASE_METHOD(host_that_holds_all_groups, "unknown_outcome_in_a_reply_is_not_called_not_run",
                 "[daemon]")
{
    const auto invalidOutcome = GENERATE(0U, 4U, 257U, 258U);
    const auto address = "127.0.0.1:" + std::to_string(ports.firstPort + 3);
    peer_handlers handlers;
    handlers.forward = [invalidOutcome](const wire::ForwardRequest &,
                                        const peer_responder<wire::ForwardReply> &respond) {
        wire::ForwardReply reply;
        reply.set_outcome(invalidOutcome);
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
    const auto response = call("order", "order-1");
    CHECK(outcomeOf(response) == "unknown");
    CHECK(response.status == 502);
    stopPeerServer(*peer, 1s);
}

} // namespace parsleyloft
