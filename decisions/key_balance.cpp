// Which keys should move between the owners of a service.
#include "decisions/key_balance.h"

#include <algorithm>
#include <limits>

namespace parsleyloft {

namespace {

// Counts over a few seconds scatter by about a third of a server's work. A server with less
// than this part of its due has just joined, or its keys have gone quiet.
constexpr double unevenFactor = 1.5;
constexpr double idleFactor = 0.35;
// A move has to take this much off the fuller server's load to be worth the pause it brings.
constexpr double worthwhileFactor = 0.85;
constexpr double widthPart = 0.1;
// Servers with too much that are looked at before there is nothing to move: the fullest may hold
// a single key that nobody else could bear either.
constexpr std::size_t mostGivers = 4;

auto loadOf(const bearer &one) -> double
{
    return one.has / one.due;
}

auto widthShare(key_number from, key_number to) -> double
{
    return (static_cast<double>(to - from) + 1) / (static_cast<double>(lastKey) + 1);
}

struct pair_to_level
{
    server_id giver;
    server_id taker;
    // What the giver should hand over for both to bear alike.
    double wanted = 0;
};

// The servers that bear too much, each with the one that bears least; the fullest first.
auto choosePairs(const std::map<server_id, bearer> &bearers) -> std::vector<pair_to_level>
{
    std::vector<std::pair<double, server_id>> byLoad;
    byLoad.reserve(bearers.size());
    for (const auto &[id, one] : bearers)
        byLoad.emplace_back(loadOf(one), id);
    std::sort(byLoad.rbegin(), byLoad.rend());
    std::vector<pair_to_level> pairs;
    if (byLoad.size() < 2)
        return pairs;
    const auto &[leastLoad, taker] = byLoad.back();
    for (const auto &[load, giver] : byLoad) {
        const auto uneven = load >= unevenFactor || (pairs.empty() && leastLoad <= idleFactor);
        if (!uneven || giver == taker || pairs.size() >= mostGivers)
            break;
        const auto &from = bearers.at(giver);
        const auto &to = bearers.at(taker);
        pairs.push_back(
                {giver, taker, (from.has * to.due - to.has * from.due) / (from.due + to.due)});
    }
    return pairs;
}

// The share of all work that comes from the keys below the given one.
auto shareBelow(const key_load &load, key_number key) -> double
{
    const auto place = std::lower_bound(load.keys.begin(), load.keys.end(), key);
    return place == load.keys.begin() ? 0 : load.shares[place - load.keys.begin() - 1];
}

// Places in the list of keys with work, of those inside a range.
struct places
{
    std::size_t first = 0;
    std::size_t end = 0;
};

auto placesIn(const key_load &load, const owned_range &range) -> places
{
    const auto first = std::lower_bound(load.keys.begin(), load.keys.end(), range.from);
    const auto end = std::upper_bound(first, load.keys.end(), range.to);
    return {static_cast<std::size_t>(first - load.keys.begin()),
            static_cast<std::size_t>(end - load.keys.begin())};
}

auto groupStart(const key_load &load, key_number key) -> key_number
{
    return key / load.grain * load.grain;
}

auto groupEnd(const key_load &load, key_number key) -> key_number
{
    return std::min<key_number>(lastKey, groupStart(load, key) + load.grain - 1);
}

auto partOf(const owned_range &range, key_number from, key_number to) -> owned_range
{
    auto part = range;
    part.from = std::max(range.from, from);
    part.to = std::min(range.to, to);
    return part;
}

// Beginnings of a range: the longest that brings at most the wanted share, and the next longer.
auto addBeginnings(const owned_range &range, const key_load &load, double wanted,
                   std::vector<owned_range> &parts) -> void
{
    const auto inside = placesIn(load, range);
    auto low = inside.first;
    auto high = inside.end;
    while (low < high) {
        const auto middle = (low + high) / 2;
        const auto to = groupEnd(load, load.keys[middle]);
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
    if (groupStart(load, next) > range.from)
        parts.push_back(partOf(range, range.from, groupStart(load, next) - 1));
    parts.push_back(partOf(range, range.from, groupEnd(load, next)));
}

// The keys of a range that bring most, alone.
auto busiestOf(const owned_range &range, const key_load &load) -> owned_range
{
    const auto inside = placesIn(load, range);
    auto busiest = range;
    double most = -1;
    for (auto place = inside.first; place < inside.end; ++place) {
        const auto from = groupStart(load, load.keys[place]);
        const auto part = partOf(range, from, groupEnd(load, from));
        const auto share = shareOfKeys(load, part.from, part.to);
        if (share > most) {
            most = share;
            busiest = part;
        }
    }
    return busiest;
}

// The rest of a range behind its busiest keys.
auto restBehind(const owned_range &range, const owned_range &busiest) -> owned_range
{
    return busiest.to < range.to ? partOf(range, busiest.to + 1, range.to) : range;
}

auto totalUpTo(const std::map<key_number, double> &work, double most) -> double
{
    double total = 0;
    for (const auto &[key, amount] : work)
        total += std::min(amount, most);
    return total;
}

// A server's part of the work, when no key counts for more than that.
auto mostOfOneKey(const std::map<key_number, double> &work, std::size_t servers) -> double
{
    // Each round takes off what a few hot keys still have too much.
    constexpr int rounds = 6;
    auto most = std::numeric_limits<double>::max();
    for (int round = 0; round < rounds; ++round)
        most = totalUpTo(work, most) / static_cast<double>(std::max<std::size_t>(servers, 1));
    return most;
}

auto addParts(const owned_range &range, const key_load &load, double wanted,
              std::vector<owned_range> &parts) -> void
{
    if (load.keys.empty()) {
        parts.push_back(range);
        return;
    }
    addBeginnings(range, load, wanted, parts);
    const auto busiest = busiestOf(range, load);
    parts.push_back(busiest);
    parts.push_back(restBehind(range, busiest));
}

// The part of the giver's ranges that levels the two best.
auto bestMove(const std::vector<owned_range> &ranges, const std::map<server_id, bearer> &bearers,
              const key_load &load, const pair_to_level &pair) -> std::optional<key_move>
{
    const auto &giver = bearers.at(pair.giver);
    const auto &taker = bearers.at(pair.taker);
    std::optional<key_move> best;
    auto least = loadOf(giver) * worthwhileFactor;
    const auto consider = [&](const owned_range &part) {
        const auto share = shareOfKeys(load, part.from, part.to);
        const auto after =
                std::max((giver.has - share) / giver.due, (taker.has + share) / taker.due);
        if (after >= least)
            return;
        least = after;
        best = key_move{part.from, part.to, pair.taker};
    };
    std::vector<owned_range> parts;
    for (const auto &range : ranges) {
        if (!range.movable || range.owner != pair.giver)
            continue;
        parts.clear();
        addParts(range, load, pair.wanted, parts);
        std::for_each(parts.begin(), parts.end(), consider);
    }
    return best;
}

} // namespace

auto setWork(key_load &load, const std::map<key_number, double> &work, std::size_t servers) -> void
{
    load.keys.clear();
    load.shares.clear();
    const auto most = mostOfOneKey(work, servers);
    const auto total = totalUpTo(work, most);
    if (total <= 0)
        return;
    double sum = 0;
    for (const auto &[key, amount] : work) {
        sum += std::min(amount, most) / total;
        load.keys.push_back(key);
        load.shares.push_back(sum);
    }
}

auto shareOfKeys(const key_load &load, key_number from, key_number to) -> double
{
    const auto width = widthShare(from, to);
    if (load.keys.empty())
        return width;
    const auto work = shareBelow(load, to + 1) - shareBelow(load, from);
    return widthPart * width + (1 - widthPart) * work;
}

auto chooseMove(const std::vector<owned_range> &ranges, const std::map<server_id, bearer> &bearers,
                const key_load &load) -> std::optional<key_move>
{
    for (const auto &pair : choosePairs(bearers)) {
        if (auto move = bestMove(ranges, bearers, load, pair))
            return move;
    }
    return std::nullopt;
}

} // namespace parsleyloft
