// A queueing model that drives a dispatch policy with arrivals and service times, for tests of load
// patterns. It uses no network and no clock: one seed gives the same arrivals for every policy.
#pragma once

#include "decisions/permit_queue.h"

#include <functional>

namespace parsleyloft {

struct modelled_server
{
    server_id id;
    std::uint32_t slots = 3;
    // Requests that the server queues beyond its slots. Further ones are lost.
    std::uint32_t queue = 12;
    // Factor on the service time, by time.
    std::function<double(instant)> slowness = [](instant) { return 1.0; };
    // The server is cold until then, and can handle only coldPerSecond requests a second.
    instant coldUntil{};
    double coldPerSecond = 0;
};

struct modelled_load
{
    // Requests a second, by time.
    std::function<double(instant)> rate = [](instant) { return 50.0; };
    duration meanWork = 90ms;
    duration target = 300ms;
    duration deadline = 1200ms;
    duration length = 20s;
    // Value of an answer after the target; an answer within the target counts 1.
    double lateValue = 0.3;
    std::uint64_t seed = 1;
};

struct model_result
{
    int offered = 0;
    int inTarget = 0;
    int late = 0;
    int refused = 0;
    int lost = 0;
    // The longest time that a request waited before it was refused.
    duration longestRefusal = 0us;
    // The largest number of requests at one server, running or queued.
    std::uint32_t maxAtServer = 0;
    // The largest number of sends to one cold server within a second.
    int maxColdSends = 0;

    // The mean value of the answers over all offered requests.
    auto value(double lateValue) const -> double
    {
        return (inTarget + lateValue * late) / std::max(1, offered);
    }
};

// Runs the permit queue of the product.
auto runPermits(const std::vector<modelled_server> &servers, const modelled_load &load)
        -> model_result;

// Baseline policies without a queue: the server with the fewest requests of the sending host, and
// the better of two servers drawn at random.
enum class baseline { LeastInFlight, BetterOfTwo };

inline constexpr name_table<baseline, 2> baselineNames{{
        {baseline::LeastInFlight, "least_in_flight"},
        {baseline::BetterOfTwo, "better_of_two"},
}};

// Runs a baseline in which each host decides independently, as plain load balancers do.
auto runBaseline(baseline policy, std::size_t hosts, const std::vector<modelled_server> &servers,
                 const modelled_load &load) -> model_result;

} // namespace parsleyloft
