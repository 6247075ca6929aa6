// Moves for keys that request a large part of a server.
#include "decisions/large_keys.h"

#include <algorithm>
#include <set>

namespace parsleyloft {

namespace {

// Above this utilization requests of a server begin to miss their targets.
constexpr double overloadedUtilization = 0.8;
// A receiver is filled up to this utilization, so that it gives nothing up in turn.
constexpr double filledUtilization = 0.65;
// A move of less than this part of a server is not worth a pause.
constexpr double leastMovedPart = 0.02;
// A move delays the work on its keys for about this long: they are released, granted, and warm up.
constexpr double moveCostSeconds = 1.5;
// Relieving an owner gains, in each second, about the work that is moved. Moves are planned some
// time after the work has changed, so the gain has to exceed the cost clearly.
constexpr double leastGainFactor = 1.25;

// The share of all work that a server can do in time.
auto capacityOf(const server_share &share, const key_load &load) -> double
{
    return share.target / std::max(load.utilization, 1e-6);
}

auto utilizationOf(const server_share &share, const key_load &load) -> double
{
    return share.actual / capacityOf(share, load);
}

auto roomOf(const server_share &share, const key_load &load) -> double
{
    return capacityOf(share, load) * filledUtilization - share.actual;
}

// A large key, and the range that it lies in.
struct placed_key
{
    key_number from = 0;
    key_number to = 0;
    // Its share of all work: as capped in the load, and as requested.
    double share = 0;
    double demand = 0;
    double expectedSeconds = 0;
    const owned_range *range = nullptr;
};

// The utilization of a large key's owner if it had to do all that the key requests.
auto demandOn(const server_share &owner, const placed_key &key, const key_load &load) -> double
{
    return utilizationOf(owner, load) + (key.demand - key.share) / capacityOf(owner, load);
}

auto placeLargeKeys(const std::vector<owned_range> &ranges, const key_load &load)
        -> std::vector<placed_key>
{
    std::vector<placed_key> placed;
    for (const auto &[key, demand, expectedToLast] : load.large) {
        const auto after = std::upper_bound(
                ranges.begin(), ranges.end(), key,
                [](key_number value, const owned_range &range) { return value < range.from; });
        if (after == ranges.begin())
            continue;
        const auto &range = *std::prev(after);
        const auto from = key / load.granularity * load.granularity;
        const auto to = std::min<key_number>(lastKey, from + load.granularity - 1);
        placed.push_back({std::max(from, range.from), std::min(to, range.to),
                          shareOfKeys(load, key, key), demand,
                          std::chrono::duration<double>(expectedToLast).count(), &range});
    }
    return placed;
}

// The servers that own a large key.
auto ownersOf(const std::vector<placed_key> &placed) -> std::set<server_id>
{
    std::set<server_id> owners;
    for (const auto &key : placed)
        owners.insert(key.range->owner);
    return owners;
}

// The server with the most room among those without a large key.
auto roomiest(const std::map<server_id, server_share> &shares, const key_load &load,
              const std::set<server_id> &largeKeyOwners) -> const server_id *
{
    const server_id *best = nullptr;
    double mostRoom = 0;
    for (const auto &[id, share] : shares) {
        const auto room = roomOf(share, load);
        if (largeKeyOwners.contains(id) || room <= mostRoom)
            continue;
        best = &id;
        mostRoom = room;
    }
    return best;
}

// The beginning of a range with at most the given share. Empty when a first unit of keys has more.
auto prefixWithin(const owned_range &range, const key_load &load, double most)
        -> std::optional<owned_range>
{
    auto low = range.from / load.granularity;
    auto high = range.to / load.granularity + 1;
    while (low < high) {
        const auto middle = (low + high) / 2;
        const auto to = std::min(range.to, (middle + 1) * load.granularity - 1);
        if (shareOfKeys(load, range.from, to) <= most)
            low = middle + 1;
        else
            high = middle;
    }
    if (low * load.granularity <= range.from)
        return std::nullopt;
    auto prefix = range;
    prefix.to = std::min(range.to, low * load.granularity - 1);
    return prefix;
}

// The parts of a server's ranges beside a large key. Another large key is a part of its own.
auto partsBeside(const std::vector<owned_range> &ranges, const placed_key &key,
                 const std::vector<placed_key> &placed) -> std::vector<owned_range>
{
    std::vector<owned_range> parts;
    const auto &owner = key.range->owner;
    for (const auto &other : placed) {
        if (other.range->owner == owner && other.range->movable && other.from != key.from)
            parts.push_back({other.from, other.to, owner, true});
    }
    for (const auto &range : ranges) {
        if (range.owner != owner || !range.movable)
            continue;
        if (key.range != &range) {
            parts.push_back(range);
            continue;
        }
        if (range.from < key.from)
            parts.push_back({range.from, key.from - 1, owner, true});
        if (key.to < range.to)
            parts.push_back({key.to + 1, range.to, owner, true});
    }
    return parts;
}

// Moves as many of the other keys of a large key's owner as the receiver has room for. What is
// served in time then is the moved work, for as long as the large key is requested.
auto relieveOwner(const std::vector<owned_range> &ranges, const placed_key &key,
                  const std::vector<placed_key> &placed,
                  const std::map<server_id, server_share> &shares, const key_load &load,
                  const server_id &receiver) -> std::optional<key_move>
{
    const auto &donor = shares.at(key.range->owner);
    const auto room = roomOf(shares.at(receiver), load);
    auto most = capacityOf(donor, load) * leastMovedPart;
    std::optional<key_move> best;
    for (const auto &part : partsBeside(ranges, key, placed)) {
        const auto fitting = prefixWithin(part, load, room);
        if (!fitting)
            continue;
        const auto share = shareOfKeys(load, fitting->from, fitting->to);
        if (share <= most)
            continue;
        most = share;
        best = key_move{fitting->from, fitting->to, receiver};
    }
    return best;
}

// Moves a key that needs more than its owner can do to the server where most of it is served, if
// that is worth more than the pause of the key and the moves of the receiver's other keys.
auto moveToFasterServer(const placed_key &key, const std::map<server_id, server_share> &shares,
                        const key_load &load, const std::set<server_id> &largeKeyOwners)
        -> std::optional<key_move>
{
    const auto now = capacityOf(shares.at(key.range->owner), load);
    if (!key.range->movable || key.demand <= now)
        return std::nullopt;
    double mostGain = 0;
    std::optional<key_move> best;
    for (const auto &[id, share] : shares) {
        // The other keys of a busy receiver could not be moved soon enough.
        if (largeKeyOwners.contains(id) || utilizationOf(share, load) > filledUtilization)
            continue;
        const auto gained = std::min(key.demand, capacityOf(share, load)) - now;
        const auto gain = gained * key.expectedSeconds - (now + share.actual) * moveCostSeconds;
        if (gain <= mostGain)
            continue;
        mostGain = gain;
        best = key_move{key.from, key.to, id};
    }
    return best;
}

} // namespace

auto chooseMoveForLargeKeys(const std::vector<owned_range> &ranges,
                            const std::map<server_id, server_share> &shares, const key_load &load)
        -> std::optional<key_move>
{
    const auto placed = placeLargeKeys(ranges, load);
    const auto owners = ownersOf(placed);
    const auto *receiver = placed.empty() ? nullptr : roomiest(shares, load, owners);
    if (receiver == nullptr)
        return std::nullopt;
    for (const auto &key : placed) {
        const auto owner = shares.find(key.range->owner);
        if (owner == shares.end() || demandOn(owner->second, key, load) < overloadedUtilization)
            continue;
        if (auto move = moveToFasterServer(key, shares, load, owners))
            return move;
        if (key.expectedSeconds < moveCostSeconds * leastGainFactor)
            continue;
        if (auto move = relieveOwner(ranges, key, placed, shares, load, *receiver))
            return move;
    }
    return std::nullopt;
}

} // namespace parsleyloft
