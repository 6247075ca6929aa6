// One server in a permit queue: whether it may take a request now, how long it is expected to work
// on one, and the statistics of its answers.
#pragma once

#include "core/names.h"
#include "core/site.h"
#include "decisions/server_pace.h"

#include <deque>
#include <optional>

namespace parsleyloft {

using permit_number = std::uint64_t;

// The result of using a permit.
enum class permit_result : std::uint8_t {
    Answered = 0,
    // The server ran the request and failed.
    Failed,
    // The server refused to run it.
    Shed,
    // No connection to the server.
    Unreachable,
    // The connection closed before the complete answer arrived.
    Lost,
    TimedOut,
    // Another server now has the address, or the server doesn't hold the key.
    Misdirected,
    // The caller disconnected before the answer arrived, or the permit was not used.
    Unused,
    // Cancelled because another attempt of the request was answered first. The latency is a lower
    // bound of the server's.
    Superseded,
};

inline constexpr name_table<permit_result, 9> permitResultNames{{
        {permit_result::Answered, "answered"},
        {permit_result::Failed, "failed"},
        {permit_result::Shed, "shed"},
        {permit_result::Unreachable, "unreachable"},
        {permit_result::Lost, "lost"},
        {permit_result::TimedOut, "timed_out"},
        {permit_result::Misdirected, "misdirected"},
        {permit_result::Unused, "unused"},
        {permit_result::Superseded, "superseded"},
}};

// The load that a server reports in the headers of an answer.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // Time that work takes now, relative to the usual time.
    double noise = 1;
};

struct permit_return
{
    permit_number number = 0;
    permit_result result = permit_result::Unused;
    duration latency = 0us;
    std::optional<load_report> load;
    // The start time of the server's incarnation if its answer stated that it leaves.
    std::optional<std::int64_t> leavingStartMs;
};

// A permit in use, as far as it matters to the server's other requests.
struct running_permit
{
    permit_number number = 0;
    std::uint32_t priority = 0;
    instant sentAt{};
    duration expectedLatency = 0us;
};

// The state of one server in the group's queue.
struct permit_server
{
    server_id id;
    std::uint32_t slots = 1;
    bool usable = true;
    // Outstanding permits. Invariant: running is the number of entries in runningPermits.
    std::uint32_t running = 0;
    std::vector<running_permit> runningPermits;
    // Smoothed ratio of the server's latency to the group's latency on the same route.
    double slowness = 1;
    instant slownessUpdatedAt{};
    // The same ratio over more answers, for estimates of when the server's slots are free.
    double pace = 1;
    // Share of recent requests that failed, smoothed.
    double failures = 0;
    // A cold server can handle only coldPerSecond requests a second.
    instant coldUntil{};
    double coldPerSecond = 0;
    // Send times of the permits issued while the server was cold.
    std::deque<instant> coldStarts;
    // No permits are issued before this instant: the server shed a request or was unreachable.
    instant pausedUntil{};
    std::uint32_t consecutivePauses = 0;
    // Requests beyond this queue's permits, from the server's last load report.
    std::uint32_t externalWork = 0;
    instant externalWorkUntil{};
    // Slowdown caused by other load on the server's machine, from its last load report.
    double noise = 1;
    instant noiseUntil{};
};

// How long requests take at the servers of a group.
struct latency_statistics
{
    // The servers' own speeds, by which keys are distributed.
    server_paces paces;
    std::map<route_name, duration> smoothedLatency;
    // Smoothed latency over all requests, whatever their route.
    duration meanLatency = 100ms;
    // Mean difference between a latency and the one expected of its server, relative to the latter.
    double deviation = 0.5;
};

auto scaleDuration(duration length, double factor) -> duration;

auto currentSlowness(const permit_server &server, instant now) -> double;

auto latencyOfRoute(const latency_statistics &latencies, const route_name &route) -> duration;

// The expected latency of the route at this server.
auto expectedLatency(const latency_statistics &latencies, const permit_server &server,
                     const route_name &route, instant now) -> duration;

// The same for estimates of waits at this server: single answers count less.
auto expectedWork(const latency_statistics &latencies, const permit_server &server,
                  const route_name &route, instant now) -> duration;

auto isCold(const permit_server &server, instant now) -> bool;

// The permits a second that one queue issues for a server while it is cold.
auto coldRate(const permit_server &server) -> double;

// True when the server has a free slot, leaving aside the rules for cold servers.
auto hasRoom(const permit_server &server, instant now) -> bool;

// True when a cold server has received as much as it may lately.
auto isColdRateSpent(const permit_server &server, instant now) -> bool;

// A cold server that has received its rate waits for the oldest start to leave the window, and for
// the requests before.
auto coldDelay(const permit_server &server, double requestsBefore, instant now) -> duration;

// Occupies a slot.
auto startPermit(permit_server &server, const running_permit &permit, instant now) -> void;

// Frees the slot.
auto endPermit(permit_server &server, permit_number number) -> void;

// Updates the statistics from the result of a permit.
auto recordResult(latency_statistics &latencies, permit_server &server, const route_name &route,
                  const permit_return &returned, instant now) -> void;

inline constexpr duration coldWindow = 1s;

} // namespace parsleyloft
