// Which request may go to which server of a group now: the queue that one host keeps for the
// servers of one service in one failure domain.
//
// The other hosts ask for a permit and send to the server themselves. A permit takes one of
// the server's slots until it is returned or its time is over.
#pragma once

#include "core/names.h"
#include "core/site.h"

#include <deque>
#include <optional>

namespace parsleyloft {

using permit_number = std::uint64_t;

// A server as the group's queue sees it.
struct permit_server
{
    server_id id;
    std::uint32_t slots = 1;
    bool usable = true;
    // Permits that are out.
    std::uint32_t running = 0;
    // Latency compared with what is typical of the same route in the group, smoothed.
    double slowness = 1;
    instant slownessAt{};
    // Share of recent requests that failed, smoothed.
    double failures = 0;
    // Cold servers bear few requests a second.
    instant coldUntil{};
    double coldPerSecond = 0;
    std::deque<instant> coldStarts;
    // No permits before this instant: the server refused or could not be reached.
    instant pausedUntil{};
    std::uint32_t avoidedInRow = 0;
    // Work of others that the server told of with its last answer.
    std::uint32_t foreignWork = 0;
    instant foreignUntil{};
    // How much slower its machine was when it last answered, with the load of its neighbours.
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
    // Servers that have failed the request already.
    std::vector<server_id> excluded;
    instant arrived{};
    instant targetEnds{};
    instant deadline{};
    // Waits also when the target can't be met any more.
    bool acceptLate = false;
    // Whoever asked takes silence beyond this for a loss.
    instant answerBy = instant::max();
    // Set when the request is admitted, from the latency that is typical then: after the
    // first it will be late, at the second it is refused.
    instant lateFrom{};
    instant heldUntil{};
};

enum class refusal : std::uint8_t {
    None = 0,
    // No server of the group may take the request.
    NoServer,
    // The request would be answered after its target.
    WouldBeLate,
    // The request waited for as long as it may.
    Expired,
    // The host that asked should hear from the keeper now; it asks again and keeps its place.
    StillWaiting,
};

inline constexpr name_table<refusal, 5> refusalNames{{
        {refusal::None, "none"},
        {refusal::NoServer, "no_server"},
        {refusal::WouldBeLate, "would_be_late"},
        {refusal::Expired, "expired"},
        {refusal::StillWaiting, "ask_again"},
}};

// How a permit's use ended.
enum class permit_result : std::uint8_t {
    Answered = 0,
    // The server ran the request and failed.
    Failed,
    // The server refused to run it.
    Shed,
    // No connection to the server.
    Unreachable,
    // The connection ended without a whole answer.
    Lost,
    TimedOut,
    // Another server has the address, or the server doesn't hold the key.
    Misdirected,
    // The caller left before the answer came, or the permit was not used.
    Unused,
};

inline constexpr name_table<permit_result, 8> permitResultNames{{
        {permit_result::Answered, "answered"},
        {permit_result::Failed, "failed"},
        {permit_result::Shed, "shed"},
        {permit_result::Unreachable, "unreachable"},
        {permit_result::Lost, "lost"},
        {permit_result::TimedOut, "timed_out"},
        {permit_result::Misdirected, "misdirected"},
        {permit_result::Unused, "unused"},
}};

// What a server told of its load beside an answer.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // How long work takes compared with usual.
    double noise = 1;
};

struct permit_return
{
    permit_number number = 0;
    permit_result result = permit_result::Unused;
    duration latency = 0us;
    std::optional<load_report> load;
};

struct issued_permit
{
    permit_number number = 0;
    server_id server;
    route_name route;
    // The permit counts as returned from then on.
    instant expires{};
};

struct refused_request
{
    permit_number number = 0;
    refusal reason = refusal::None;
};

// Invariant: each server's running equals the permits that name it.
struct permit_queue
{
    std::map<server_id, permit_server> servers;
    std::map<permit_number, permit_request> waiting;
    std::map<permit_number, issued_permit> outstanding;
    // Smoothed latency of each route in this group.
    std::map<route_name, duration> typical;
    // Smoothed latency of all routes together, as they come.
    duration meanRun = 100ms;
    // Cold servers get nothing before this: the keeper before this one may have just sent them
    // what they bear.
    instant coldFrom{};
    instant lastAsked{};
    // False at a host that keeps the queue only since its first keeper does not answer: that
    // one may still send cold servers what they bear.
    bool mayUseColdServers = true;
};

// Brings the queue's servers in line with those listed, by id. What was learned is kept.
auto setPermitServers(permit_queue &queue, const std::vector<permit_server> &listed) -> void;

// Takes in a request that waits from now on, or says why it can't.
auto admit(permit_queue &queue, permit_request request, instant now) -> refusal;

// Gives out the permits that are due, most urgent requests first.
auto issuePermits(permit_queue &queue, instant now) -> std::vector<issued_permit>;

// Removes the requests that have waited for as long as they may, and permits never returned.
auto removeExpired(permit_queue &queue, instant now) -> std::vector<refused_request>;

auto withdrawRequest(permit_queue &queue, permit_number number) -> bool;

// Frees the permit's slot and learns from its use. Returns false for one that is not out.
auto returnPermit(permit_queue &queue, const permit_return &returned, instant now) -> bool;

// How long a request for any server of the group would wait if it came now.
auto expectedPermitWait(const permit_queue &queue, const server_id &owner, instant now) -> duration;

// The next instant at which issuePermits or removeExpired may have something new.
auto nextWakeup(const permit_queue &queue, instant now) -> std::optional<instant>;

} // namespace parsleyloft
