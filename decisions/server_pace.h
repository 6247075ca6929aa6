// A steady estimate of a server's own speed, by which keys are distributed.
//
// Noise from neighbours makes a fifth of the answers three times slower, a failure may take as long
// as a timeout, and a key that changes hands is charged for. So the estimate is a low quantile of
// the latest answers: slow moments and single failures do not move it, while a slowdown that lasts
// for most of the answers does.
#pragma once

#include "core/identifiers.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <map>

namespace parsleyloft {

// About 4 s of answers of a busy server of 6 slots and 380 ms. The quantile of this many varies by
// about a tenth.
inline constexpr std::size_t paceSamples = 64;

struct server_pace
{
    // Latencies of the latest answers, relative to the group's latency on the same route. A ring:
    // the next answer replaces the one at count % paceSamples.
    std::array<float, paceSamples> ratios{};
    std::size_t count = 0;
    instant updatedAt{};
};

using server_paces = std::map<server_id, server_pace>;

auto recordPace(server_pace &pace, double ratio, instant now) -> void;

// Latency of each server relative to the median server of the group. A server with few answers, or
// with none lately, is left out: another host may run the group's queue now and know it better.
auto relativeSlowness(const server_paces &paces, instant now) -> std::map<server_id, double>;

} // namespace parsleyloft
