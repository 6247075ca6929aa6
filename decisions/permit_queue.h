// The permit queue of a group: decides which request may be sent to which server now. One host,
// the queue host, runs it for the servers of one service in one failure domain.
//
// The other hosts request a permit and then send to the server themselves. A permit occupies
// one of the server's slots until it is returned or expires.
#pragma once

#include "core/names.h"
#include "core/site.h"

#include <deque>
#include <optional>

namespace parsleyloft {

using permit_number = std::uint64_t;

// The state of one server in the group's queue.
struct permit_server
{
    server_id id;
    std::uint32_t slots = 1;
    bool usable = true;
    // Outstanding permits.
    std::uint32_t running = 0;
    // Smoothed ratio of the server's latency to the group's latency on the same route.
    double slowness = 1;
    instant slownessUpdatedAt{};
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

struct permit_request
{
    permit_number number = 0;
    route_name route;
    std::uint32_t priority = 0;
    // The only server that may run the request, or empty when any of the group may.
    server_id owner;
    // Servers on which the request has already failed.
    std::vector<server_id> excluded;
    instant arrived{};
    // An answer after this instant misses the route's target.
    instant targetEnds{};
    instant deadline{};
    // True when the request may wait even if it can't meet its target.
    bool acceptLate = false;
    // True for a second attempt of a running request: it is refused at once instead of waiting, and
    // takes no slot that a waiting request could use.
    bool immediate = false;
    // The requesting host treats the call as lost if it has no reply by this instant.
    instant answerBy = instant::max();
    // Set on admission, from the expected latency at that time. A request sent after lateAfter
    // misses its target; at refuseAt it is refused.
    instant lateAfter{};
    instant refuseAt{};
};

enum class refusal : std::uint8_t {
    None = 0,
    // No server of the group may take the request.
    NoServer,
    // The expected wait is so long that the request would miss its target.
    WouldBeLate,
    // The request waited until refuseAt.
    Expired,
    // Sent at answerBy. The requesting host requests the permit again; the request's urgency
    // depends on its arrival and target, so it keeps its place in the queue.
    StillWaiting,
    // An immediate request found other requests waiting, or no free slot.
    Busy,
};

inline constexpr name_table<refusal, 6> refusalNames{{
        {refusal::None, "none"},
        {refusal::NoServer, "no_server"},
        {refusal::WouldBeLate, "would_be_late"},
        {refusal::Expired, "expired"},
        {refusal::StillWaiting, "ask_again"},
        {refusal::Busy, "busy"},
}};

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

struct issued_permit
{
    permit_number number = 0;
    server_id server;
    route_name route;
    // A permit not returned by this instant is freed.
    instant expires{};
};

struct refused_request
{
    permit_number number = 0;
    refusal reason = refusal::None;
};

// Invariant: each server's running equals its number of outstanding permits.
struct permit_queue
{
    std::map<server_id, permit_server> servers;
    std::map<permit_number, permit_request> waiting;
    std::map<permit_number, issued_permit> outstanding;
    std::map<route_name, duration> smoothedLatency;
    // Smoothed latency over all requests, whatever their route.
    duration meanLatency = 100ms;
    // No permits for cold servers before this instant: the previous queue host may have used
    // up their rate already.
    instant coldPausedUntil{};
    instant lastRequestAt{};
    // False on a host that runs the queue only because the group's first queue host does not
    // answer: that host may still be using up the rate of the cold servers.
    bool mayUseColdServers = true;
};

// Replaces the queue's servers by the listed ones. Statistics of servers that stay are kept.
auto setPermitServers(permit_queue &queue, const std::vector<permit_server> &listed) -> void;

// Adds the request to the queue, or returns why it is refused.
auto admit(permit_queue &queue, permit_request request, instant now) -> refusal;

// Issues permits while servers have free slots, most urgent requests first.
auto issuePermits(permit_queue &queue, instant now) -> std::vector<issued_permit>;

// Removes and returns the requests whose waiting time is over, and frees expired permits.
auto removeExpired(permit_queue &queue, instant now) -> std::vector<refused_request>;

auto withdrawRequest(permit_queue &queue, permit_number number) -> bool;

// Frees the permit's slot and updates the server's statistics. Returns false for a permit that
// is not outstanding.
auto returnPermit(permit_queue &queue, const permit_return &returned, instant now) -> bool;

// The expected wait of a request that arrives now, for the owner or, when that is empty, for
// any server of the group.
auto expectedPermitWait(const permit_queue &queue, const server_id &owner, instant now) -> duration;

// The next instant at which issuePermits or removeExpired may have something to do.
auto nextWakeup(const permit_queue &queue, instant now) -> std::optional<instant>;

} // namespace parsleyloft
