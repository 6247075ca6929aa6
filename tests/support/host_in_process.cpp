// A host of `parsleyloft serve` in the process of the test.
#include "support/host_in_process.h"

#include "daemon/serve.h"
#include "transport/blocking_call.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

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

// A server of each service in each domain.
auto setTable(host_that_holds_all_groups &host) -> void
{
    const std::lock_guard guard(host.daemon->holdings.lock);
    auto &state = host.daemon->holdings.state;
    state.table.leaderTerm = {1, 1};
    state.table.version = 1;
    for (const auto &group : {ordersA, ordersB, jobsA, jobsB}) {
        const auto &backend = group.domain == "a" ? host.backendA : host.backendB;
        const auto id = group.service + "-" + group.domain;
        state.table.groups[group] = {"self", {{1, 1}, 1}, assignment_phase::Held};
        state.table.servers[id] = {
                id, group.service, group.domain, formatEndpoint(backend.raw.address), 4, false};
    }
    state.leaseEnds = monotonicNow() + 1h;
    state.lapseHandled = false;
}

} // namespace

auto two_backends::runRequest(raw_backend &backend, raw_connection &connection,
                              const std::string &id) const -> bool
{
    {
        const std::lock_guard guard(backend.lock);
        ++backend.runs[id];
    }
    if (losesAnswers) {
        resetRaw(connection);
        return false;
    }
    return sendAll(connection, rawResponse(answerHead + "Request-Id: " + id + "\r\n", "ran"));
}

host_that_holds_all_groups::host_that_holds_all_groups()
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
    setTable(*this);
    setOwner(*this, "orders-a", 2);
    for (const auto &group : {ordersA, ordersB, jobsA, jobsB}) {
        const auto table = groupTable(*daemon, group);
        waitUntil("the host sends to the group", [&] {
            const std::lock_guard guard(table->lock);
            return table->sending && !table->queue.servers.empty();
        });
    }
}

host_that_holds_all_groups::~host_that_holds_all_groups()
{
    daemon->stopping = true;
    stopPeerServer(daemon->peerServer, 1s);
    stopWorkers(*daemon->workers);
    stopWorkers(*workers);
}

auto countRuns(host_that_holds_all_groups &host, const std::string &id) -> int
{
    const std::scoped_lock guard(host.backendA.lock, host.backendB.lock);
    return host.backendA.runs[id] + host.backendB.runs[id];
}

auto setOwner(host_that_holds_all_groups &host, const server_id &owner, std::uint64_t sequence,
              assignment_phase phase) -> void
{
    const std::lock_guard guard(host.daemon->holdings.lock);
    host.daemon->holdings.state.table.shards["orders"] = {{owner, {{1, 1}, sequence}, phase}};
}

auto loseLease(host_that_holds_all_groups &host) -> void
{
    const std::lock_guard guard(host.daemon->holdings.lock);
    host.daemon->holdings.state.leaseEnds = monotonicNow();
}

auto callClass(host_that_holds_all_groups &host, const std::string &className,
               const std::string &id, const header_list &more) -> http_response
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/call/" + className;
    request.headers["Request-Id"] = id;
    if (className == "order")
        request.headers["Key"] = "key";
    for (const auto &[name, value] : more)
        request.headers[name] = value;
    const auto target = *parseEndpoint(host.daemon->settings.caller_address());
    return callAndWait(host.client, target, request, 10s).response;
}

} // namespace parsleyloft
