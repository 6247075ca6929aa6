// The leader's decisions: which host holds each group and which server owns each shard.
//
// A holder or owner changes only after the old one handed back, or after its lease must
// have ended. Everything else is a choice with few moves.
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
    // Invariant: every lease given to the host in this term ends by then.
    instant leasesEndBy{};
    bool draining = false;
    // False until the host's table was merged in this term; it gets no lease before.
    bool tableMerged = false;
    // No lease before this instant: one given to the process that this one replaced may run.
    instant noLeaseBefore{};
};

struct planner_state
{
    lease_limits limits;
    std::vector<service_info> services;
    // The working table. Hosts get copies of it once the key-value service has it.
    assignment_table table;
    std::uint64_t nextSequence = 1;
    std::map<host_id, host_view> hosts;
    // Invariant: every lease that this process gave, in any term, ends by then.
    instant allLeasesEndBy{};
    std::set<server_id> unreachable;
    std::set<group_id> releasedGroups;
};

// What one host tells its leader in an exchange.
struct host_report
{
    host_info host;
    start_number start = 0;
    bool draining = false;
    std::vector<group_epoch> releasedGroups;
    std::vector<shard_epoch> releasedShards;
    std::map<server_id, bool> serverReachable;
};

// Starts a term with an empty table, but for the hosts and servers that are known.
auto beginTerm(planner_state &state, term leaderTerm) -> void;

auto applyReport(planner_state &state, const host_report &report, instant now) -> void;

// Merges the table that a host held at the beginning of the term.
auto mergeHeldTable(planner_state &state, const host_id &host, const assignment_table &table)
        -> void;

// True when the host may be given a lease now.
auto mayGrantLease(const planner_state &state, const host_id &host, instant now) -> bool;

// Notes that a lease was given to the host, confirmed at the given time.
auto recordLease(planner_state &state, const host_id &host, instant confirmedAt) -> void;

// Replaces the lists of hosts and servers by what the platform lists.
auto updateHostsAndServers(planner_state &state, std::vector<host_info> hosts,
                           std::vector<server_info> servers) -> void;

auto isAlive(const planner_state &state, const host_id &host, instant now) -> bool;

// Brings the working table towards what is wanted. changesFrozenUntil is the end of the time in
// which leases of earlier leaders may still run.
auto planTable(planner_state &state, const configuration &wanted, instant changesFrozenUntil,
               instant now) -> void;

// A copy of the working table to give out, with a new version, when it differs from the
// one given out last.
auto nextTableToPublish(planner_state &state, const assignment_table &given)
        -> std::optional<assignment_table>;

} // namespace parsleyloft
