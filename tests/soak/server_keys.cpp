// The keys that a server of the soak holds under grants.
#include "soak/server_keys.h"

#include <algorithm>

namespace parsleyloft {

namespace {

auto overlaps(const granted_range &left, const granted_range &right) -> bool
{
    return left.from <= right.to && right.from <= left.to;
}

// Removes these keys from the ranges, and returns the parts that were removed.
auto cutOut(key_grants &grants, const granted_range &cut) -> std::vector<granted_range>
{
    std::vector<granted_range> remaining;
    std::vector<granted_range> removed;
    for (const auto &range : grants.ranges) {
        if (!overlaps(range, cut)) {
            remaining.push_back(range);
            continue;
        }
        if (range.from < cut.from)
            remaining.push_back({range.from, cut.from - 1, range.fence, range.until});
        if (range.to > cut.to)
            remaining.push_back({cut.to + 1, range.to, range.fence, range.until});
        removed.push_back({std::max(range.from, cut.from), std::min(range.to, cut.to), range.fence,
                           range.until});
    }
    grants.ranges = std::move(remaining);
    return removed;
}

} // namespace

auto grantKeys(key_grants &grants, const granted_range &granted) -> bool
{
    const auto refused =
            std::any_of(grants.ranges.begin(), grants.ranges.end(), [&](const auto &range) {
                return overlaps(range, granted) && range.fence > granted.fence;
            });
    if (refused)
        return false;
    cutOut(grants, granted);
    grants.ranges.push_back(granted);
    return true;
}

auto releaseKeys(key_grants &grants, const granted_range &released) -> void
{
    // Each part keeps its own highest fence, also where the release has a lower one.
    auto removed = cutOut(grants, released);
    std::sort(removed.begin(), removed.end(),
              [](const auto &left, const auto &right) { return left.from < right.from; });
    auto next = released.from;
    for (const auto &range : removed) {
        if (next < range.from)
            grants.ranges.push_back({next, range.from - 1, released.fence, {}});
        grants.ranges.push_back({range.from, range.to, std::max(range.fence, released.fence), {}});
        next = range.to + 1;
    }
    if (next <= released.to)
        grants.ranges.push_back({next, released.to, released.fence, {}});
}

auto findHoldEnd(const key_grants &grants, std::uint32_t key, instant now) -> std::optional<instant>
{
    for (const auto &range : grants.ranges) {
        if (range.from <= key && key <= range.to && now < range.until)
            return range.until;
    }
    return std::nullopt;
}

} // namespace parsleyloft
