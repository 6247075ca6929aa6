// Weighted fair queueing by virtual time, in several tiers: for instance shares between priority
// levels, within a level between accounts, and within an account between keys. Addresses the load
// of one class that requests many times what a server can do: the classes beside it are served as
// if it requested no more than its share. What a class leaves is used by the others at once.
#pragma once

#include "core/time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyloft {

// One class of a tier: a number, such as a level or a key, or a name, such as an account.
struct fair_class
{
    std::uint64_t number = 0;
    std::string name;

    auto operator<=>(const fair_class &) const = default;
};

// The classes of one item, from the upper tier to the lowest.
using fair_path = std::vector<fair_class>;

struct fair_item
{
    // Items of the same class are taken in this order, then by number.
    instant due{};
    std::uint64_t number = 0;

    auto operator<=>(const fair_item &) const = default;
};

// A class, with the classes of the next tier in it.
// Invariants: only nodes of the lowest tier hold items; backlog is the work of all items at or
// below the node; a node without backlog is needed only while its finish is after the virtual
// time of the tier it belongs to, and removed some time later.
struct fair_node
{
    double weight = 1;
    // Where the class's service ends in the virtual time of its tier.
    double finish = 0;
    double backlog = 0;
    // The due time of the item with which the present backlog began.
    instant backlogSince{};
    // The virtual time of the tier below.
    double virtualTime = 0;
    // The latest finish of its classes. The virtual time moves there when none waits.
    double latestFinish = 0;
    // Idle classes are looked for when there are this many.
    std::size_t cleanAt = 64;
    std::map<fair_class, fair_node> children;
    // The work of each item.
    std::map<fair_item, double> items;
};

// Adds an item, with its expected work.
auto addItem(fair_node &root, const fair_path &path, const fair_item &item, double work) -> void;

// Removes an item that is not served. Returns false when it is not there.
auto removeItem(fair_node &root, const fair_path &path, const fair_item &item) -> bool;

// Removes and returns the number of the item to be served next, or 0 when no class of the upper
// tier that may be served has any.
auto takeNextItem(fair_node &root, const std::function<bool(const fair_class &)> &mayServe)
        -> std::uint64_t;

// The work that is served before a new item with this due time. When the classes of the upper tier
// in `pressing` have more demand than their share, they are assumed to use all of it.
auto workBefore(const fair_node &root, const fair_path &path, instant due, double work,
                const std::set<fair_class> &pressing) -> double;

// Sets the weight of a class of the upper tier.
auto setWeight(fair_node &root, const fair_class &upper, double weight) -> void;

} // namespace parsleyloft
