// Keys that move between owners, by the load that asks for it.
#include "decisions/key_balance.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace parsleyloft {

namespace {

// Work that is known by buckets of keys, which are not cut.
constexpr key_number bucketKeys = 64;
constexpr key_number buckets = (lastKey + 1) / bucketKeys;

struct service_with_keys
{
    // Four ranges a server, dealt in turn.
    explicit service_with_keys(int count = 8)
    {
        const auto width = (lastKey + 1) / static_cast<key_number>(count * 4);
        for (int index = 0; index < count * 4; ++index) {
            const auto from = static_cast<key_number>(index) * width;
            ranges.push_back({from, from + width - 1, "s" + std::to_string(index % count), true});
        }
        for (int index = 0; index < count; ++index)
            due["s" + std::to_string(index)] = 1.0 / count;
        load.granularity = bucketKeys;
    }

    // Moves ranges until no move is worth it. Returns the number of moves.
    auto settle() -> int
    {
        for (int moves = 0; moves < 500; ++moves) {
            const auto move = chooseMove(ranges, shares(), load);
            if (!move)
                return moves;
            apply(*move);
        }
        return 500;
    }

    auto shares() const -> std::map<server_id, server_share>
    {
        std::map<server_id, server_share> known;
        for (const auto &[server, share] : due)
            known[server].target = share;
        for (const auto &range : ranges)
            known[range.owner].actual += shareOfKeys(load, range.from, range.to);
        return known;
    }

    auto apply(const key_move &move) -> void
    {
        std::vector<owned_range> next;
        for (const auto &range : ranges) {
            if (move.from < range.from || move.from > range.to) {
                next.push_back(range);
                continue;
            }
            if (range.from < move.from)
                next.push_back({range.from, move.from - 1, range.owner, true});
            next.push_back({move.from, move.to, move.receiver, true});
            if (move.to < range.to)
                next.push_back({move.to + 1, range.to, range.owner, true});
        }
        ranges = std::move(next);
    }

    auto worst() const -> double
    {
        double most = 0;
        for (const auto &[server, entry] : shares())
            most = std::max(most, entry.actual / entry.target);
        return most;
    }

    std::vector<owned_range> ranges;
    std::map<server_id, double> due;
    key_load load;
};

// Busy keys beside one another, falling off as a power law.
auto setSkew(key_load &load, std::size_t servers = 8) -> void
{
    std::map<key_number, double> work;
    for (key_number index = 0; index < buckets; ++index) {
        const auto rank = static_cast<double>((index + buckets - 257) % buckets) + 1;
        work[index * bucketKeys] = std::pow(rank, -0.7);
    }
    setWork(load, work, servers);
}

// The same work in every bucket, and more in some.
auto setEven(key_load &load, double total, const std::map<key_number, double> &more = {},
             std::size_t servers = 8) -> void
{
    std::map<key_number, double> work;
    for (key_number index = 0; index < buckets; ++index)
        work[index * bucketKeys] = total / buckets;
    for (const auto &[index, share] : more)
        work[index * bucketKeys] += share;
    setWork(load, work, servers);
}

auto ownerOf(const service_with_keys &service, key_number key) -> server_id
{
    for (const auto &range : service.ranges) {
        if (key >= range.from && key <= range.to)
            return range.owner;
    }
    return {};
}

} // namespace

TEST_CASE_METHOD(service_with_keys, "busy_keys_side_by_side_are_levelled_in_few_moves", "[balance]")
{
    setSkew(load);
    const auto before = worst();
    const auto moves = settle();
    CHECK(before > 2);
    CHECK(worst() <= 1.5);
    CHECK(moves <= 24);
}

TEST_CASE_METHOD(service_with_keys, "even_load_moves_nothing", "[balance]")
{
    setEven(load, 1);
    CHECK(settle() == 0);
}

TEST_CASE_METHOD(service_with_keys, "hot_key_ends_alone_on_a_fast_server", "[balance]")
{
    due["s0"] = 0.05;
    due["s1"] = 0.20;
    // The hot key begins at the slow server.
    setEven(load, 0.6, {{3, 0.4}});
    settle();
    const auto owner = ownerOf(*this, 3 * bucketKeys);
    CHECK(owner == "s1");
    CHECK(shares().at(owner).actual < 0.45);
}

TEST_CASE_METHOD(service_with_keys, "server_that_joins_gets_its_share", "[balance]")
{
    setEven(load, 1);
    due["new"] = 1.0 / 8;
    settle();
    CHECK(shares().at("new").actual > 0.06);
}

TEST_CASE_METHOD(service_with_keys, "slowed_server_keeps_what_it_can_bear", "[balance]")
{
    setEven(load, 1);
    due["s3"] = 1.0 / 8 / 5;
    settle();
    CHECK(shares().at("s3").actual < 0.06);
}

// Many servers, and a few keys side by side that bring nearly half of the work.
struct large_service_with_hot_keys : service_with_keys
{
    large_service_with_hot_keys()
        : service_with_keys(128)
    {
        load.granularity = 1;
        std::map<key_number, double> work;
        for (key_number key = 0; key <= lastKey; key += 16)
            work[key] = 0.57 / 4096;
        for (key_number key = 20000; key < 20060; ++key)
            work[key] += 0.43 / 60;
        setWork(load, work, 128);
    }
};

TEST_CASE_METHOD(large_service_with_hot_keys, "hot_keys_side_by_side_are_spread_key_by_key",
                 "[balance]")
{
    CHECK(worst() > 40);
    const auto moves = settle();
    // One key alone brings nine tenths of what a server should bear.
    CHECK(worst() <= 1.5);
    CHECK(moves <= 240);
}

TEST_CASE_METHOD(service_with_keys, "uneven_servers_are_levelled_beside_a_key_that_none_can_bear",
                 "[balance]")
{
    // One key asks for what five servers could do; a ninth of the other buckets bring half of the
    // rest.
    std::map<key_number, double> more{{700, 2}};
    for (key_number bucket = 0; bucket < buckets / 9; ++bucket)
        more[bucket] = 0.6 / (buckets / 9.0);
    setEven(load, 0.6, more);
    settle();
    const auto hot = ownerOf(*this, 700 * bucketKeys);
    for (const auto &[server, entry] : shares()) {
        CHECK(entry.actual / entry.target <= 1.5);
        if (server == hot)
            CHECK(entry.actual <= 0.19);
    }
}

TEST_CASE_METHOD(service_with_keys, "ranges_that_change_hands_are_left_alone", "[balance]")
{
    setSkew(load);
    for (auto &range : ranges)
        range.movable = false;
    CHECK(settle() == 0);
}

} // namespace parsleyloft
