// How many second sends a host may make to a service, as its share of the budget that all
// hosts hold together.
#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>

namespace parsleyloft {

struct repeat_limits
{
    // Repeats allowed for each first send in the window, and beyond that.
    double ratio = 0.2;
    double slack = 0;
    duration window = 10s;
};

inline constexpr std::size_t repeatBuckets = 10;

// Invariant: the buckets cover the last window; bucket i holds sends of tick i modulo their
// number.
struct repeat_budget
{
    std::array<std::uint32_t, repeatBuckets> firsts{};
    std::array<std::uint32_t, repeatBuckets> repeats{};
    std::int64_t tick = 0;
};

auto recordFirstSend(repeat_budget &budget, const repeat_limits &limits, instant now) -> void;

// Takes one repeat from the budget. Returns false when none is left. The slack is divided
// by the number of hosts that share it.
auto takeRepeat(repeat_budget &budget, const repeat_limits &limits, std::size_t hosts, instant now)
        -> bool;

} // namespace parsleyloft
