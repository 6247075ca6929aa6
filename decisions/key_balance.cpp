// Load balancing of keys between the owners of a service.
#include "decisions/key_balance.h"

#include <algorithm>
#include <limits>

namespace parsleyloft {

namespace {

// Load relative to the target above which a server gives up keys. Counts over a few seconds vary
// by about a third of a server's work.
constexpr double overloadFactor = 1.5;
// Below this fraction of its target a server has just joined, or its keys have become idle.
constexpr double idleFactor = 0.35;
// A move must bring the higher load of the two servers below this fraction of the donor's load to
// be worth the pause it causes.
constexpr double worthwhileFactor = 0.85;
// Below this utilization a server does its work in time whatever the others do: a move would cost
// its keys a pause and gain nothing.
constexpr double busyUtilization = 0.5;
// A key with this much of a server's work leaves too little of it for others.
constexpr double largeKeyShare = 0.4;
constexpr double widthWeight = 0.1;
// Number of overloaded servers considered before the load counts as balanced. The most loaded ones
// may each hold a single hot key that no other server could handle either.
constexpr std::size_t maxDonors = 12;

auto relativeLoad(const server_share &share) -> double
{
    return share.actual / share.target;
}

auto widthShare(key_number from, key_number to) -> double
{
    return (static_cast<double>(to - from) + 1) / (static_cast<double>(lastKey) + 1);
}

// Two servers between which keys should move.
struct balance_pair
{
    server_id donor;
    server_id receiver;
    // The share that would have to move for both to have the same relative load.
    double surplus = 0;
};

// The overloaded servers, most loaded first, each paired with the least loaded one. When none is
// overloaded but the least loaded one is nearly idle, the most loaded one is paired with it.
auto choosePairs(const std::map<server_id, server_share> &shares, double utilization)
        -> std::vector<balance_pair>
{
    std::vector<std::pair<double, server_id>> byLoad;
    byLoad.reserve(shares.size());
    for (const auto &[id, share] : shares)
        byLoad.emplace_back(relativeLoad(share), id);
    std::sort(byLoad.rbegin(), byLoad.rend());
    std::vector<balance_pair> pairs;
    if (byLoad.size() < 2)
        return pairs;
    const auto &[leastLoad, receiver] = byLoad.back();
    for (const auto &[load, donor] : byLoad) {
        const auto unbalanced =
                load >= overloadFactor || (pairs.empty() && leastLoad <= idleFactor);
        const auto busy = load * utilization >= busyUtilization;
        if (!unbalanced || !busy || donor == receiver || pairs.size() >= maxDonors)
            break;
        const auto &from = shares.at(donor);
        const auto &to = shares.at(receiver);
        pairs.push_back(
                {donor, receiver,
                 (from.actual * to.target - to.actual * from.target) / (from.target + to.target)});
    }
    return pairs;
}

// The share of all work on the keys below the given one.
auto shareBelow(const key_load &load, key_number key) -> double
{
    const auto index = std::lower_bound(load.keys.begin(), load.keys.end(), key);
    return index == load.keys.begin() ? 0 : load.shares[index - load.keys.begin() - 1];
}

// The indexes, in the list of keys with work, of the keys inside a range.
struct index_range
{
    std::size_t first = 0;
    std::size_t end = 0;
};

auto keysInside(const key_load &load, const owned_range &range) -> index_range
{
    const auto first = std::lower_bound(load.keys.begin(), load.keys.end(), range.from);
    const auto end = std::upper_bound(first, load.keys.end(), range.to);
    return {static_cast<std::size_t>(first - load.keys.begin()),
            static_cast<std::size_t>(end - load.keys.begin())};
}

// The first key of the smallest range around a key that can be moved.
auto unitStart(const key_load &load, key_number key) -> key_number
{
    return key / load.granularity * load.granularity;
}

auto unitEnd(const key_load &load, key_number key) -> key_number
{
    return std::min<key_number>(lastKey, unitStart(load, key) + load.granularity - 1);
}

auto intersect(const owned_range &range, key_number from, key_number to) -> owned_range
{
    auto part = range;
    part.from = std::max(range.from, from);
    part.to = std::min(range.to, to);
    return part;
}

// Adds prefixes of a range: the longest one with at most the wanted share, and the next longer one.
auto addPrefixes(const owned_range &range, const key_load &load, double wanted,
                 std::vector<owned_range> &parts) -> void
{
    const auto inside = keysInside(load, range);
    auto low = inside.first;
    auto high = inside.end;
    while (low < high) {
        const auto middle = (low + high) / 2;
        const auto to = unitEnd(load, load.keys[middle]);
        if (shareOfKeys(load, range.from, std::min(range.to, to)) <= wanted)
            low = middle + 1;
        else
            high = middle;
    }
    if (low == inside.end) {
        parts.push_back(range);
        return;
    }
    const auto next = load.keys[low];
    if (unitStart(load, next) > range.from)
        parts.push_back(intersect(range, range.from, unitStart(load, next) - 1));
    parts.push_back(intersect(range, range.from, unitEnd(load, next)));
}

// The unit of keys in a range with the most work.
auto busiestUnit(const owned_range &range, const key_load &load) -> owned_range
{
    const auto inside = keysInside(load, range);
    auto busiest = range;
    double most = -1;
    for (auto index = inside.first; index < inside.end; ++index) {
        const auto from = unitStart(load, load.keys[index]);
        const auto part = intersect(range, from, unitEnd(load, from));
        const auto share = shareOfKeys(load, part.from, part.to);
        if (share > most) {
            most = share;
            busiest = part;
        }
    }
    return busiest;
}

// The part of a range after its busiest unit, or the whole range when nothing follows it.
auto restAfter(const owned_range &range, const owned_range &busiest) -> owned_range
{
    return busiest.to < range.to ? intersect(range, busiest.to + 1, range.to) : range;
}

// The total work when no key counts for more than the cap.
auto totalCapped(const std::map<key_number, double> &work, double cap) -> double
{
    double total = 0;
    for (const auto &[key, amount] : work)
        total += std::min(amount, cap);
    return total;
}

// The cap on the work of one key: a server's average work when every key is capped at that value.
auto keyWorkCap(const std::map<key_number, double> &work, std::size_t servers) -> double
{
    // The cap depends on itself. Each round removes more of the excess of the hot keys.
    constexpr int rounds = 6;
    auto cap = std::numeric_limits<double>::max();
    for (int round = 0; round < rounds; ++round)
        cap = totalCapped(work, cap) / static_cast<double>(std::max<std::size_t>(servers, 1));
    return cap;
}

auto addParts(const owned_range &range, const key_load &load, double wanted,
              std::vector<owned_range> &parts) -> void
{
    if (load.keys.empty()) {
        parts.push_back(range);
        return;
    }
    addPrefixes(range, load, wanted, parts);
    const auto busiest = busiestUnit(range, load);
    parts.push_back(busiest);
    parts.push_back(restAfter(range, busiest));
}

// The move from the donor to the receiver that most reduces the higher of their loads.
auto bestMove(const std::vector<owned_range> &ranges,
              const std::map<server_id, server_share> &shares, const key_load &load,
              const balance_pair &pair) -> std::optional<key_move>
{
    const auto &donor = shares.at(pair.donor);
    const auto &receiver = shares.at(pair.receiver);
    std::optional<key_move> best;
    auto lowestLoad = relativeLoad(donor) * worthwhileFactor;
    const auto consider = [&](const owned_range &part) {
        const auto share = shareOfKeys(load, part.from, part.to);
        const auto after = std::max((donor.actual - share) / donor.target,
                                    (receiver.actual + share) / receiver.target);
        if (after >= lowestLoad)
            return;
        lowestLoad = after;
        best = key_move{part.from, part.to, pair.receiver};
    };
    std::vector<owned_range> parts;
    for (const auto &range : ranges) {
        if (!range.movable || range.owner != pair.donor)
            continue;
        parts.clear();
        addParts(range, load, pair.surplus, parts);
        std::for_each(parts.begin(), parts.end(), consider);
    }
    return best;
}

} // namespace

auto setWork(key_load &load, const std::map<key_number, double> &work, std::size_t servers,
             double serverCapacity) -> void
{
    load.keys.clear();
    load.shares.clear();
    load.large.clear();
    load.utilization = 1;
    const auto cap = std::max(keyWorkCap(work, servers), serverCapacity);
    const auto total = totalCapped(work, cap);
    if (total <= 0)
        return;
    if (serverCapacity > 0)
        load.utilization = total / (serverCapacity * static_cast<double>(servers));
    double sum = 0;
    for (const auto &[key, amount] : work) {
        sum += std::min(amount, cap) / total;
        load.keys.push_back(key);
        load.shares.push_back(sum);
        if (serverCapacity > 0 && amount >= serverCapacity * largeKeyShare)
            load.large.push_back({key, amount / total});
    }
}

auto shareOfKeys(const key_load &load, key_number from, key_number to) -> double
{
    const auto width = widthShare(from, to);
    if (load.keys.empty())
        return width;
    const auto work = shareBelow(load, to + 1) - shareBelow(load, from);
    return widthWeight * width + (1 - widthWeight) * work;
}

auto chooseMove(const std::vector<owned_range> &ranges,
                const std::map<server_id, server_share> &shares, const key_load &load)
        -> std::optional<key_move>
{
    for (const auto &pair : choosePairs(shares, load.utilization)) {
        if (auto move = bestMove(ranges, shares, load, pair))
            return move;
    }
    return std::nullopt;
}

} // namespace parsleyloft
