// Tests of the permit queue under the users' load patterns, compared with plain load balancers on
// the same arrivals. The bounds follow from the users' targets: an answer within the target counts
// 1, a later one 0.3, and a cold server may receive 1.5 times its rate plus 5 requests in a second.
#include "support/queue_harness.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

constexpr std::size_t hosts = 10;
const instant begin{1h};

// Ten servers of three slots, with the users' differences in speed.
struct ten_servers
{
    ten_servers()
    {
        const double slownessFactors[] = {0.7, 0.7, 1.6};
        for (int index = 0; index < 10; ++index) {
            modelled_server server;
            server.id = "s" + std::to_string(index);
            const auto factor = slownessFactors[index % 3];
            server.slowness = [factor](instant) { return factor; };
            servers.push_back(server);
        }
    }

    auto runPermitQueue() const -> double
    {
        return runPermits(servers, load).value(load.lateValue);
    }

    auto runBestBaseline() const -> double
    {
        const auto least = runBaseline(baseline::LeastInFlight, hosts, servers, load);
        const auto better = runBaseline(baseline::BetterOfTwo, hosts, servers, load);
        return std::max(least.value(load.lateValue), better.value(load.lateValue));
    }

    auto slowDown(int every, double factor, duration from, duration length) -> void
    {
        for (std::size_t index = 0; index < servers.size();
             index += static_cast<std::size_t>(every)) {
            const auto usual = servers[index].slowness;
            servers[index].slowness = [=](instant at) {
                const auto slow = at >= begin + from && at < begin + from + length;
                return usual(at) * (slow ? factor : 1);
            };
        }
    }

    std::vector<modelled_server> servers;
    modelled_load load;
};

} // namespace

TEST_CASE_METHOD(ten_servers, "moderate_load_is_nearly_all_served_in_time", "[load]")
{
    load.rate = [](instant) { return 135.0; };
    CHECK(runPermitQueue() > 0.93);
    CHECK(runPermitQueue() > runBestBaseline());
}

TEST_CASE_METHOD(ten_servers, "burst_beyond_the_slots_is_refused_early_and_the_rest_is_in_time",
                 "[load]")
{
    load.rate = [](instant at) { return at >= begin + 5s && at < begin + 8s ? 520.0 : 135.0; };
    const auto run = runPermits(servers, load);
    CHECK(run.value(load.lateValue) > runBestBaseline());
    CHECK(run.longestRefusal <= load.target + load.target / 4);
    CHECK(run.maxAtServer <= 3);
}

TEST_CASE_METHOD(ten_servers, "stragglers_receive_less_while_they_are_slow", "[load]")
{
    load.rate = [](instant) { return 135.0; };
    slowDown(4, 5, 5s, 8s);
    CHECK(runPermitQueue() > 0.85);
    CHECK(runPermitQueue() > runBestBaseline());
}

TEST_CASE_METHOD(ten_servers, "noise_from_neighbours_costs_little", "[load]")
{
    load.rate = [](instant) { return 135.0; };
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const auto usual = servers[index].slowness;
        servers[index].slowness = [usual, index](instant at) {
            const auto window = toMicroseconds(at) / 400'000 + static_cast<std::int64_t>(index) * 7;
            return usual(at) * (window % 5 == 0 ? 3 : 1);
        };
    }
    CHECK(runPermitQueue() > runBestBaseline());
}

TEST_CASE_METHOD(ten_servers, "failure_domain_out_of_service_leaves_the_others_at_their_capacity",
                 "[load]")
{
    load.rate = [](instant) { return 135.0; };
    servers.resize(6);
    const auto run = runPermits(servers, load);
    CHECK(run.value(load.lateValue) > runBestBaseline());
    CHECK(run.maxAtServer <= 3);
}

TEST_CASE_METHOD(ten_servers, "domain_that_returns_cold_receives_no_more_than_its_cold_rate",
                 "[load]")
{
    load.rate = [](instant) { return 200.0; };
    for (std::size_t index = 0; index < 4; ++index) {
        servers[index].coldUntil = begin + 8s;
        servers[index].coldPerSecond = 7.2;
        const auto usual = servers[index].slowness;
        servers[index].slowness = [usual](instant at) {
            return usual(at) * (at < begin + 8s ? 2 : 1);
        };
    }
    const auto run = runPermits(servers, load);
    CHECK(run.maxColdSends <= 7.2 * 1.5 + 5);
    CHECK(run.value(load.lateValue) > 0.6);
}

TEST_CASE_METHOD(ten_servers, "lasting_overload_serves_as_many_in_time_as_the_slots_allow",
                 "[load]")
{
    // At these speeds the thirty slots run about 340 requests of 90 ms a second.
    load.rate = [](instant) { return 500.0; };
    const auto run = runPermits(servers, load);
    CHECK(run.inTarget > 0.75 * 340 / 500 * run.offered);
    CHECK(run.value(load.lateValue) > runBestBaseline());
}

} // namespace parsleyloft
