// Load balancing of keys: which keys should move between the owners of a service so that each
// server's load matches its capacity.
//
// Busy keys are close to one another and change within seconds. Ranges are therefore split where
// the work is: a move takes as many keys as balance two servers, rarely more.
#pragma once

#include "core/site.h"

#include <optional>

namespace parsleyloft {

// For how long work on a large key is expected to last before lifetimes are known.
inline constexpr duration assumedHeat = 5s;

// A key that requests a large part of what an average server can do.
struct large_key
{
    key_number key = 0;
    // Its work as a share of all work; above shareOfKeys when that is capped.
    double demand = 0;
    duration expectedToLast = assumedHeat;
};

// The work on the keys of a service and the speed of its servers, as measured by the hosts.
// Invariant: keys are in ascending order; shares holds, for each key, the fraction of all work on
// the keys up to and including it.
struct key_load
{
    // The keys with work. Empty when the work is unknown.
    std::vector<key_number> keys;
    std::vector<double> shares;
    // Ranges are split only before multiples of this.
    key_number granularity = 1;
    // All work relative to what the slots of all servers can do. 1 when that is unknown: then every
    // imbalance counts.
    double utilization = 1;
    // In ascending order. Empty when the capacity of servers is unknown.
    std::vector<large_key> large;
    // Latency of each server relative to the others; a server not listed counts as 1.
    std::map<server_id, double> slowness;
};

// Sets the work by key, in any unit. The work of one key is capped: the excess can be neither split
// nor served, and would hide an imbalance among the other keys. The cap is the work that a server
// can do, in the same unit, or a server's average work when that is higher, or when the capacity
// is unknown (0).
auto setWork(key_load &load, const std::map<key_number, double> &work, std::size_t servers,
             double serverCapacity = 0) -> void;

// The share of the work on a range. The width of the range has a small weight, so that idle ranges
// are distributed as well.
auto shareOfKeys(const key_load &load, key_number from, key_number to) -> double;

// The load of a server that may own keys, as shares of all work.
struct server_share
{
    // The share that matches the server's capacity; above 0.
    double target = 0;
    double actual = 0;
};

struct owned_range
{
    key_number from = 0;
    key_number to = 0;
    server_id owner;
    // False for a range that must not move now, such as one that already changes its owner.
    bool movable = true;
};

struct key_move
{
    key_number from = 0;
    key_number to = 0;
    server_id receiver;
};

// The most effective move from one of the most loaded servers, relative to their targets, to the
// least loaded one. Returns nothing when the load is balanced well enough, or when no server is
// busy enough for a move to have more work served in time. The moved keys lie inside one owned
// range.
auto chooseMove(const std::vector<owned_range> &ranges,
                const std::map<server_id, server_share> &shares, const key_load &load)
        -> std::optional<key_move>;

} // namespace parsleyloft
