// The repeat budget of a host for one service: limits how many requests it sends a second time, as
// its share of a budget for all hosts together.
#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>

namespace parsleyloft {

struct repeat_limits
{
    // Repeats allowed for each first send in the window.
    double ratio = 0.2;
    // Further repeats allowed in the window, for all hosts together.
    double slack = 0;
    duration window = 10s;
};

inline constexpr std::size_t repeatBuckets = 10;

// Counts of the sends in the last window, divided into buckets of equal length.
// Invariant: bucket i holds the sends of the last tick that is i modulo the number of buckets.
struct repeat_budget
{
    std::array<std::uint32_t, repeatBuckets> firsts{};
    std::array<std::uint32_t, repeatBuckets> repeats{};
    // The current time in units of a bucket's length.
    std::int64_t tick = 0;
};

auto recordFirstSend(repeat_budget &budget, const repeat_limits &limits, instant now) -> void;

// Takes one repeat from the budget. Returns false when none is left. The slack is divided equally
// among the hosts.
auto takeRepeat(repeat_budget &budget, const repeat_limits &limits, std::size_t hosts, instant now)
        -> bool;

} // namespace parsleyloft
