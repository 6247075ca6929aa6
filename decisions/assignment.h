// The table of a region: who may send to which servers, and who owns which shard.
#pragma once

#include "core/identifiers.h"
#include "core/names.h"

#include <map>
#include <optional>
#include <vector>

namespace parsleyloft {

// Ordered: of two entries with one epoch, the later phase is the newer entry.
enum class assignment_phase : std::uint8_t { Vacant = 0, Held = 1, Releasing = 2 };

inline constexpr name_table<assignment_phase, 3> assignmentPhaseNames{{
        {assignment_phase::Vacant, "vacant"},
        {assignment_phase::Held, "held"},
        {assignment_phase::Releasing, "releasing"},
}};

struct host_info
{
    host_id id;
    domain_id domain;
    std::string callerAddress;
    std::string peerAddress;

    auto operator==(const host_info &) const -> bool = default;
};

struct server_info
{
    server_id id;
    service_name service;
    domain_id domain;
    std::string address;
    std::uint32_t slots = 1;
    bool leaving = false;

    auto operator==(const server_info &) const -> bool = default;
};

struct group_assignment
{
    host_id holder;
    epoch given;
    assignment_phase phase = assignment_phase::Vacant;

    auto operator==(const group_assignment &) const -> bool = default;
};

struct shard_assignment
{
    server_id owner;
    epoch given;
    assignment_phase phase = assignment_phase::Vacant;

    auto operator==(const shard_assignment &) const -> bool = default;
};

// Invariant: an epoch of one entry never names two holders or owners.
struct assignment_table
{
    term leaderTerm;
    std::uint64_t version = 0;
    std::map<group_id, group_assignment> groups;
    std::map<service_name, std::vector<shard_assignment>> shards;
    std::map<server_id, server_info> servers;
    std::map<host_id, host_info> hosts;

    auto operator==(const assignment_table &) const -> bool = default;
};

inline auto groupOf(const server_info &server) -> group_id
{
    return {server.service, server.domain};
}

// True when left was given by a later leader or later by the same one.
auto isNewer(const assignment_table &left, const assignment_table &right) -> bool;

// Takes from other every entry with a higher epoch, or the same epoch in a later phase.
auto mergeNewer(assignment_table &table, const assignment_table &other) -> void;

// The assignment of a shard, or nothing when the service has no such shard.
auto findShard(const assignment_table &table, const shard_id &shard) -> const shard_assignment *;

// The group of the servers that one server belongs to, or nothing when it is not listed.
auto findGroupOfServer(const assignment_table &table, const server_id &server)
        -> std::optional<group_id>;

} // namespace parsleyloft
