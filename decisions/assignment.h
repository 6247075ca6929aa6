// The assignment table of a region: which host may send to each group of servers, and which server
// owns each shard.
#pragma once

#include "core/identifiers.h"
#include "core/names.h"

#include <map>
#include <optional>
#include <vector>

namespace parsleyloft {

// The order matters: of two entries with the same epoch, the one in the later phase is newer.
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
    epoch grantEpoch;
    assignment_phase phase = assignment_phase::Vacant;

    auto operator==(const group_assignment &) const -> bool = default;
};

struct shard_assignment
{
    server_id owner;
    epoch grantEpoch;
    assignment_phase phase = assignment_phase::Vacant;

    auto operator==(const shard_assignment &) const -> bool = default;
};

// Invariant: an entry has one holder or owner per epoch.
struct assignment_table
{
    // The term of the leader that issued the table.
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

// True when left was issued by a later leader, or later by the same leader.
auto isNewer(const assignment_table &left, const assignment_table &right) -> bool;

// Copies from other every entry with a higher epoch, or with the same epoch in a later phase.
auto mergeNewer(assignment_table &table, const assignment_table &other) -> void;

// The assignment of a shard, or nothing when the service has no such shard.
auto findShard(const assignment_table &table, const shard_id &shard) -> const shard_assignment *;

// The group that a server belongs to, or nothing when the server is not in the table.
auto findGroupOfServer(const assignment_table &table, const server_id &server)
        -> std::optional<group_id>;

} // namespace parsleyloft
