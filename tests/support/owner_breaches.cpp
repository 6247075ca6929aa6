// Checks the rule of one owner on what two servers held.
#include "support/owner_breaches.h"

namespace parsleyloft {

namespace {

auto overlap(const key_hold &left, const key_hold &right) -> bool
{
    return left.from <= right.to && right.from <= left.to;
}

} // namespace

auto ownerBreaches(const std::vector<key_hold> &left, const std::vector<key_hold> &right)
        -> std::set<std::string>
{
    std::set<std::string> breaches;
    for (const auto &one : left) {
        for (const auto &other : right) {
            if (!overlap(one, other))
                continue;
            const auto &first = one.since < other.since ? one : other;
            const auto &second = one.since < other.since ? other : one;
            const auto keys = std::to_string(std::max(one.from, other.from)) + "-"
                    + std::to_string(std::min(one.to, other.to));
            const auto fences = " under fence " + std::to_string(first.fence) + ", then "
                    + std::to_string(second.fence);
            if (second.since < first.until)
                breaches.insert("two servers held the keys " + keys + fences);
            if (second.fence <= first.fence)
                breaches.insert("a lower fence for the keys " + keys + fences);
        }
    }
    return breaches;
}

} // namespace parsleyloft
