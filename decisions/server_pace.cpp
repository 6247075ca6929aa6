// A steady estimate of a server's own speed.
#include "decisions/server_pace.h"

#include <algorithm>
#include <vector>

namespace parsleyloft {

namespace {

// Fewer answers say little about a server.
constexpr std::size_t minSamples = 8;
// Noise slows a fifth of the answers. The quantile is unmoved by spells that cover up to two thirds
// of the window.
constexpr double paceQuantile = 0.3;
// Older estimates are of a time when this host ran the group's queue.
constexpr duration maxPaceAge = 10s;

auto quantile(std::vector<double> values, double share) -> double
{
    const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size()));
    const auto at = values.begin() + position;
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

auto paceOf(const server_pace &pace) -> double
{
    const auto samples = std::min(pace.count, paceSamples);
    return quantile(
            {pace.ratios.begin(), pace.ratios.begin() + static_cast<std::ptrdiff_t>(samples)},
            paceQuantile);
}

auto isKnown(const server_pace &pace, instant now) -> bool
{
    return pace.count >= minSamples && now - pace.updatedAt < maxPaceAge;
}

} // namespace

auto recordPace(server_pace &pace, double ratio, instant now) -> void
{
    pace.ratios[pace.count % paceSamples] = static_cast<float>(ratio);
    ++pace.count;
    pace.updatedAt = now;
}

auto relativeSlowness(const server_paces &paces, instant now) -> std::map<server_id, double>
{
    std::map<server_id, double> slowness;
    std::vector<double> all;
    for (const auto &[id, pace] : paces) {
        if (!isKnown(pace, now))
            continue;
        slowness[id] = paceOf(pace);
        all.push_back(slowness[id]);
    }
    if (all.empty())
        return slowness;
    const auto median = quantile(all, 0.5);
    for (auto &[id, value] : slowness)
        value = median > 0 ? value / median : 1;
    return slowness;
}

} // namespace parsleyloft
