// The leader's decisions: which host holds each group and which server owns each shard.
//
// A holder or owner changes only after the old one has released what it held, or after its lease
// must have ended. Within these rules, the planner moves as little as possible.
#pragma once

#include "core/configuration.h"
#include "core/limits.h"
#include "decisions/holdings.h"

namespace parsleyloft {

struct service_info
{
    service_name name;
    bool keyed = false;
    shard_index shards = 0;
    bool checksGrants = true;

    auto operator==(const service_info &) const -> bool = default;
};

struct host_view
{
    start_number start = 0;
    instant lastSeen{};
    // Invariant: every lease granted to the host in this term ends by then.
    instant leasesEndBy{};
    bool draining = false;
    // False until the host's table was merged in this term. Until then the host gets no lease.
    bool tableMerged = false;
    // The host gets no lease before this instant: a lease granted to the process that ran before
    // its restart may still run.
    instant noLeaseBefore{};
};

struct planner_state
{
    lease_limits limits;
    std::vector<service_info> services;
    // The working table. Copies are published to the hosts once the key-value service has them.
    assignment_table table;
    std::uint64_t nextSequence = 1;
    std::map<host_id, host_view> hosts;
    // Invariant: every lease that this process granted, in any term, ends by then.
    instant allLeasesEndBy{};
    std::set<server_id> unreachable;
    // Groups whose holders released them since the last plan.
    std::set<group_id> releasedGroups;
};

// What a host reports to its leader in an exchange.
struct host_report
{
    host_info host;
    start_number start = 0;
    bool draining = false;
    std::vector<group_epoch> releasedGroups;
    std::vector<shard_epoch> releasedShards;
    std::map<server_id, bool> serverReachable;
};

// Starts a term. The table keeps its hosts and servers; all assignments are removed.
auto beginTerm(planner_state &state, term leaderTerm) -> void;

auto applyReport(planner_state &state, const host_report &report, instant now) -> void;

// Merges the table that a host held at the beginning of the term.
auto mergeHeldTable(planner_state &state, const host_id &host, const assignment_table &table)
        -> void;

// True when the host may be granted a lease now.
auto mayGrantLease(const planner_state &state, const host_id &host, instant now) -> bool;

// Records that the host was granted a lease that runs from confirmedAt.
auto recordLease(planner_state &state, const host_id &host, instant confirmedAt) -> void;

// Updates the hosts and replaces the servers by those that the platform lists.
auto updateHostsAndServers(planner_state &state, std::vector<host_info> hosts,
                           std::vector<server_info> servers) -> void;

auto isAlive(const planner_state &state, const host_id &host, instant now) -> bool;

// Moves the working table a step towards the configuration. Until changesFrozenUntil, leases of
// earlier leaders may still run.
auto planTable(planner_state &state, const configuration &config, instant changesFrozenUntil,
               instant now) -> void;

// A copy of the working table with a new version, when it differs from the one published last.
auto nextTableToPublish(planner_state &state, const assignment_table &published)
        -> std::optional<assignment_table>;

} // namespace parsleyloft
