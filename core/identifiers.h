// Identifiers of hosts, backend servers and shards, and the terms and epochs that order decisions.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace parsleyloft {

using host_id = std::string;
using server_id = std::string;
using domain_id = std::string;
using service_name = std::string;
using class_name = std::string;
using request_id = std::string;

// A random number drawn by each process at its start, which distinguishes the runs of a host.
using start_number = std::uint64_t;
using shard_index = std::uint32_t;

// Orders leaderships. The generation rises by compare-and-swap in the platform's key-value service;
// the ballot rises within a generation by consent of the members.
struct term
{
    std::uint32_t generation = 0;
    std::uint32_t ballot = 0;

    auto operator<=>(const term &) const = default;
};

// Orders grants of one shard or group. Epochs of a later leader are always higher.
struct epoch
{
    // The term of the leader that issued the epoch.
    term leaderTerm;
    std::uint64_t sequence = 0;

    auto operator<=>(const epoch &) const = default;
};

// The backend servers of one service in one failure domain.
struct group_id
{
    service_name service;
    domain_id domain;

    auto operator<=>(const group_id &) const = default;
};

struct shard_id
{
    service_name service;
    shard_index index = 0;

    auto operator<=>(const shard_id &) const = default;
};

inline auto toString(const term &value) -> std::string
{
    return std::to_string(value.generation) + "." + std::to_string(value.ballot);
}

inline auto toString(const epoch &value) -> std::string
{
    return toString(value.leaderTerm) + ":" + std::to_string(value.sequence);
}

} // namespace parsleyloft
