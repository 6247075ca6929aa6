// Which keys should move between the owners of a service, so that each bears what it can.
//
// Busy keys lie close to one another and change within seconds, so ranges are cut where the
// work is: a move takes as many keys as level two servers, rarely more.
#pragma once

#include "core/site.h"

#include <optional>

namespace parsleyloft {

// How much work the keys and servers of a service bring, as the hosts saw it.
// Invariant: keys rise, and shares has the part of all work up to and with each of them.
struct key_load
{
    // The keys with work; empty when nothing is known.
    std::vector<key_number> keys;
    std::vector<double> shares;
    // Ranges are cut before multiples of this.
    key_number grain = 1;
    // How slow each server is compared with the others; 1 when unknown.
    std::map<server_id, double> slowness;
};

// Takes over the work by key, in any unit. A key counts for no more than a server's part of the
// work: what goes beyond that can be neither split nor served, and would hide how uneven the
// others are.
auto setWork(key_load &load, const std::map<key_number, double> &work, std::size_t servers) -> void;

// The share of the work that a range brings. Width counts a little too, so that idle ranges
// are spread as well.
auto shareOfKeys(const key_load &load, key_number from, key_number to) -> double;

// A server that may own keys.
struct bearer
{
    // The share of the work that it can bear, compared with the others; above 0.
    double due = 0;
    double has = 0;
};

struct owned_range
{
    key_number from = 0;
    key_number to = 0;
    server_id owner;
    // False while the range is changing hands already.
    bool movable = true;
};

struct key_move
{
    key_number from = 0;
    key_number to = 0;
    server_id taker;
};

// The move that helps most, from the server that bears most for what it can to the one that
// bears least; nothing when they are even enough. The range lies inside one owned range.
auto chooseMove(const std::vector<owned_range> &ranges, const std::map<server_id, bearer> &bearers,
                const key_load &load) -> std::optional<key_move>;

} // namespace parsleyloft
