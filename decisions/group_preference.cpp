// Which group of a service a request without a key is sent to.
#include "decisions/group_preference.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// The own domain is used while its wait is below this fraction of the time left.
constexpr int shortWaitDivisor = 8;
// A host of a large fleet sends a few requests of a service a second, so waits are kept long enough
// to know those of the next request. Meanwhile the queue is assumed to be worked off.
constexpr duration maxWaitAge = 250ms;

auto waitOf(const group_option &group) -> duration
{
    return group.expectedWait.value_or(0us);
}

// The better of two groups drawn at random, with replacement: with two groups a quarter of the
// requests still goes to the worse one, so that hosts with the same reports do not all agree.
auto betterOfTwo(const std::vector<group_option> &groups, const std::vector<std::size_t> &indexes,
                 std::uint64_t seed) -> std::size_t
{
    constexpr unsigned secondDrawShift = 32;
    const auto first = indexes[(seed & 0xffffffff) % indexes.size()];
    const auto second = indexes[(seed >> secondDrawShift) % indexes.size()];
    return waitOf(groups[second]) < waitOf(groups[first]) ? second : first;
}

auto findOwn(const std::vector<group_option> &groups) -> std::optional<std::size_t>
{
    const auto own = std::find_if(groups.begin(), groups.end(),
                                  [](const group_option &group) { return group.isOwn; });
    if (own == groups.end())
        return std::nullopt;
    return static_cast<std::size_t>(own - groups.begin());
}

} // namespace

auto chooseGroupInTime(const std::vector<group_option> &groups, duration targetLeft,
                       std::uint64_t seed) -> std::optional<std::size_t>
{
    std::optional<std::size_t> own;
    std::vector<std::size_t> others;
    for (std::size_t index = 0; index < groups.size(); ++index) {
        const auto &group = groups[index];
        if (group.refused || (group.expectedWait && *group.expectedWait >= targetLeft))
            continue;
        if (group.isOwn)
            own = index;
        else
            others.push_back(index);
    }
    if (others.empty() || (own && waitOf(groups[*own]) < targetLeft / shortWaitDivisor))
        return own;
    const auto other = betterOfTwo(groups, others, seed);
    return own && waitOf(groups[*own]) <= waitOf(groups[other]) ? own : other;
}

auto chooseLateGroup(const std::vector<group_option> &groups, std::uint64_t seed)
        -> std::optional<std::size_t>
{
    if (groups.empty())
        return std::nullopt;
    const auto drawn = static_cast<std::size_t>(seed % groups.size());
    const auto own = findOwn(groups).value_or(0);
    return waitOf(groups[drawn]) < waitOf(groups[own]) ? drawn : own;
}

auto remainingWait(duration reported, duration age) -> std::optional<duration>
{
    if (age > maxWaitAge)
        return std::nullopt;
    return std::max(reported - age, duration(0));
}

} // namespace parsleyloft
