// The queue of one group of backend servers at the host that may send to them.
//
// Requests start in the order of their deadlines. One that can't be answered in time is
// refused at once, or takes the place of a request whose class has more refusals left.
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

struct refusal_budget
{
    // Recent requests and refusals, halved as they age.
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

// Invariant: each request in waiting stands in exactly one lane, under its owner.
struct group_queue
{
    std::map<server_id, server_load> servers;
    std::map<ticket, queued_request> waiting;
    std::map<server_id, std::set<queue_order>> lanes;
    std::map<class_name, refusal_budget> refusalBudgets;
};

struct offer_result
{
    bool admitted = false;
    reason refusal = reason::None;
    // A waiting request that has to give way: it ends as not run.
    std::optional<ticket> shed;
};

struct started_request
{
    queued_request request;
    server_id server;
};

// Brings the servers of the queue in line with those listed.
auto setServers(group_queue &queue, const std::vector<server_load> &listed) -> void;

auto offer(group_queue &queue, const queued_request &request, std::uint32_t maxRefusedPermille,
           instant now) -> offer_result;

// Removes and returns the requests that start now.
auto removeStartable(group_queue &queue, instant now) -> std::vector<started_request>;

// Removes and returns the requests whose deadline has passed.
auto removeExpired(group_queue &queue, instant now) -> std::vector<ticket>;

// Starts a second attempt of a running request at a server other than the first, when
// one has room.
auto reserveHedgeServer(group_queue &queue, const server_id &first, instant now)
        -> std::optional<server_id>;

// Removes one request. Returns false when it no longer waits.
auto withdraw(group_queue &queue, ticket number) -> bool;

// Removes and returns the requests for one shard, for one owner, or all of them.
auto removeShardRequests(group_queue &queue, shard_index shard) -> std::vector<ticket>;
auto removeOwnerRequests(group_queue &queue, const server_id &owner) -> std::vector<ticket>;
auto removeAllRequests(group_queue &queue) -> std::vector<ticket>;

auto finish(group_queue &queue, const server_id &server, attempt_result result, duration latency)
        -> void;

// Median latency of the group's servers, zero when unknown.
auto medianLatency(const group_queue &queue) -> duration;

// The expected wait of a request that arrived now.
auto expectedWait(const group_queue &queue, const server_id &owner) -> duration;

} // namespace parsleyloft
