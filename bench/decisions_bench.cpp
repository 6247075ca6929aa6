// The cost of the decisions and the size of the control messages for rising numbers of hosts,
// shards and servers.
#include "codec/assignment_codec.h"
#include "decisions/exchange.h"
#include "decisions/group_queue.h"

#include <benchmark/benchmark.h>

namespace parsleyloft {

namespace {

const instant start{1h};

// The state of a leader that has published a table for these numbers of hosts, servers and shards.
auto leadingRegion(std::int64_t hosts, std::int64_t servers, std::int64_t shards) -> region_state
{
    const std::vector<service_info> services{
            {"orders", true, static_cast<shard_index>(shards), true}};
    auto region = newRegion({}, {"host-0", 1, "domain-0"}, services, start);
    region.leadership.record = {1, {1, 0}, "host-0", {{"host-0", 1, "domain-0"}}};
    region.leadership.role = leadership_role::Leader;
    region.leadership.highestTerm = {1, 1};
    beginLeading(region, start);
    constexpr std::int64_t domains = 7;
    std::vector<host_info> listed;
    for (std::int64_t index = 0; index < hosts; ++index)
        listed.push_back({"host-" + std::to_string(index),
                          "domain-" + std::to_string(index % domains), "10.0.0.1:8000",
                          "10.0.0.1:8001"});
    std::vector<server_info> backends;
    for (std::int64_t index = 0; index < servers; ++index)
        backends.push_back({"server-" + std::to_string(index), "orders",
                            "domain-" + std::to_string(index % domains), "10.0.1.1:9000", 3,
                            false});
    updateHostsAndServers(region.planner, listed, backends);
    for (const auto &host : listed) {
        applyReport(region.planner, {host, 1, false, {}, {}, {}}, start);
        region.planner.hosts[host.id].tableMerged = true;
    }
    planTable(region.planner, {}, start, start);
    region.published = region.planner.table;
    return region;
}

auto planUnchangedTable(benchmark::State &state) -> void
{
    auto region = leadingRegion(state.range(0), state.range(1), state.range(2));
    for ([[maybe_unused]] auto _ : state) {
        planTable(region.planner, {}, start, start);
        benchmark::DoNotOptimize(nextTableToPublish(region.planner, region.published));
    }
    state.counters["table_bytes"] = static_cast<double>(toWire(region.published).ByteSizeLong());
}

auto answerOneExchange(benchmark::State &state) -> void
{
    auto region = leadingRegion(state.range(0), state.range(1), state.range(2));
    exchange_request request;
    request.report.host = {"host-1", "domain-1", "10.0.0.1:8000", "10.0.0.1:8001"};
    request.report.start = 1;
    request.tableTerm = region.published.leaderTerm;
    request.tableVersion = region.published.version;
    request.returnedStamp = returned_stamp{"host-0", {1, 1}, start};
    exchange_reply reply;
    for ([[maybe_unused]] auto _ : state)
        reply = answerExchange(region, request, start);
    state.counters["request_bytes"] = static_cast<double>(toWire(request).ByteSizeLong());
    state.counters["reply_bytes"] = static_cast<double>(toWire(reply).ByteSizeLong());
}

auto offerAndStart(benchmark::State &state) -> void
{
    group_queue queue;
    std::vector<server_load> servers;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        server_load server;
        server.id = "server-" + std::to_string(index);
        server.slots = 3;
        server.limit = 3;
        server.phase = server_phase::Normal;
        server.latency = 5ms;
        server.samples = 100;
        servers.push_back(server);
    }
    setServers(queue, servers);
    queued_request request;
    request.className = "check";
    request.deadline = start + 1s;
    for ([[maybe_unused]] auto _ : state) {
        ++request.number;
        offer(queue, request, 50, start);
        for (const auto &started : startRequests(queue, start))
            finish(queue, started.server, attempt_result::Answered, 5ms);
    }
}

BENCHMARK(planUnchangedTable)
        ->Args({10, 31, 108})
        ->Args({40, 124, 432})
        ->Args({160, 496, 1728})
        ->Args({280, 2800, 8192})
        ->Unit(benchmark::kMicrosecond);
BENCHMARK(answerOneExchange)
        ->Args({10, 31, 108})
        ->Args({160, 496, 1728})
        ->Args({280, 2800, 8192})
        ->Unit(benchmark::kMicrosecond);
BENCHMARK(offerAndStart)->Arg(2)->Arg(4)->Arg(8)->Arg(16);

} // namespace

} // namespace parsleyloft

BENCHMARK_MAIN();
