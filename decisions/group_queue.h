// The request queue of one group of backend servers, at the host that may send to them.
//
// Requests start in the order of their deadlines. A request that can't be answered in time is
// refused at once, or replaces a waiting request whose class may have more requests refused.
#pragma once

#include "core/configuration.h"
#include "core/outcome.h"
#include "decisions/server_limit.h"

#include <optional>
#include <set>
#include <vector>

namespace parsleyloft {

using ticket = std::uint64_t;

struct queued_request
{
    ticket number = 0;
    class_name className;
    // The only server that may run the request, or empty when any of the group may.
    server_id owner;
    shard_index shard = 0;
    instant arrived{};
    instant deadline{};
};

// How many requests of one class may be refused.
struct refusal_budget
{
    // Recent requests and refusals. Both are halved at intervals, so that recent ones count more.
    double offered = 0;
    double refused = 0;
    std::uint32_t maxRefusedPermille = 0;
};

struct queue_order
{
    instant deadline;
    ticket number;

    auto operator<=>(const queue_order &) const = default;
};

// Invariant: each request in waiting is in exactly one lane, that of its owner.
struct group_queue
{
    std::map<server_id, server_load> servers;
    std::map<ticket, queued_request> waiting;
    // Waiting requests by owner. Requests that any server may run are under an empty owner.
    std::map<server_id, std::set<queue_order>> lanes;
    std::map<class_name, refusal_budget> refusalBudgets;
};

struct offer_result
{
    bool admitted = false;
    reason refusal = reason::None;
    // The waiting request that was removed in favour of this one. It ends as not run.
    std::optional<ticket> shed;
};

struct started_request
{
    queued_request request;
    server_id server;
};

// Replaces the queue's servers by those listed, keeping the load state of known servers.
auto setServers(group_queue &queue, const std::vector<server_load> &listed) -> void;

// Enqueues a request or refuses it.
auto offer(group_queue &queue, const queued_request &request, std::uint32_t maxRefusedPermille,
           instant now) -> offer_result;

// Starts every request that a server has room for. Removes the requests from the queue and returns
// each with its server.
auto startRequests(group_queue &queue, instant now) -> std::vector<started_request>;

// Removes and returns the requests whose deadline has passed.
auto removeExpired(group_queue &queue, instant now) -> std::vector<ticket>;

// Reserves room for a second attempt of a running request at a server other than the first, if one
// has room.
auto reserveHedgeServer(group_queue &queue, const server_id &first, instant now)
        -> std::optional<server_id>;

// Removes a waiting request. Returns false when it no longer waits.
auto withdraw(group_queue &queue, ticket number) -> bool;

// Remove and return the waiting requests for one shard, for one owner, or all of them.
auto removeShardRequests(group_queue &queue, shard_index shard) -> std::vector<ticket>;
auto removeOwnerRequests(group_queue &queue, const server_id &owner) -> std::vector<ticket>;
auto removeAllRequests(group_queue &queue) -> std::vector<ticket>;

// Records the end of an attempt at a server.
auto finish(group_queue &queue, const server_id &server, attempt_result result, duration latency)
        -> void;

// Median latency of the group's servers, zero when unknown.
auto medianLatency(const group_queue &queue) -> duration;

// The expected time until a request that arrives now is answered.
auto expectedWait(const group_queue &queue, const server_id &owner) -> duration;

} // namespace parsleyloft
