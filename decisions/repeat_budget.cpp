// The repeat budget of a host for one service.
#include "decisions/repeat_budget.h"

#include <algorithm>
#include <numeric>

namespace parsleyloft {

namespace {

// Fraction of the budget that is used. Hosts may temporarily disagree on how many of them share the
// slack, and the buckets only approximate a sliding window.
constexpr double usableFraction = 0.7;

// Clears the buckets that are older than the window; after a gap longer than the window, all of
// them. Returns the index of the current bucket.
auto advance(repeat_budget &budget, const repeat_limits &limits, instant now) -> std::size_t
{
    const auto width = limits.window.count() / static_cast<std::int64_t>(repeatBuckets);
    const auto tick = toMicroseconds(now) / width;
    const auto steps = std::min<std::int64_t>(tick - budget.tick, repeatBuckets);
    for (std::int64_t step = 1; step <= steps; ++step) {
        const auto index = static_cast<std::size_t>((budget.tick + step)
                                                    % static_cast<std::int64_t>(repeatBuckets));
        budget.firsts[index] = 0;
        budget.repeats[index] = 0;
    }
    if (steps > 0)
        budget.tick = tick;
    return static_cast<std::size_t>(tick % static_cast<std::int64_t>(repeatBuckets));
}

} // namespace

auto recordFirstSend(repeat_budget &budget, const repeat_limits &limits, instant now) -> void
{
    ++budget.firsts[advance(budget, limits, now)];
}

auto takeRepeat(repeat_budget &budget, const repeat_limits &limits, std::size_t hosts, instant now)
        -> bool
{
    const auto index = advance(budget, limits, now);
    const auto firsts = std::accumulate(budget.firsts.begin(), budget.firsts.end(), 0.0);
    const auto repeats = std::accumulate(budget.repeats.begin(), budget.repeats.end(), 0.0);
    const auto share = limits.slack / static_cast<double>(std::max<std::size_t>(hosts, 1));
    if (repeats + 1 > usableFraction * (limits.ratio * firsts + share))
        return false;
    ++budget.repeats[index];
    return true;
}

} // namespace parsleyloft
