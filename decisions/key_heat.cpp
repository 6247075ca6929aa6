// How long large keys stay large.
#include "decisions/key_heat.h"

namespace parsleyloft {

namespace {

// A key whose work is near the bound of large keys leaves them for moments.
constexpr duration maxAbsence = 2s;
// Fewer keys say little about the next one.
constexpr std::uint32_t minSamples = 8;
constexpr int lifetimeSmoothing = 8;
// A key that has outlived the others by this factor is of another kind. It is expected to stay for
// as long again as it has been there.
constexpr int outlivedFactor = 2;
constexpr duration maxExpected = 60s;

auto recordLifetime(key_heat &heat, duration length) -> void
{
    ++heat.samples;
    if (heat.samples == 1)
        heat.lifetime = length;
    else
        heat.lifetime += (length - heat.lifetime) / lifetimeSmoothing;
}

auto expectedToLast(const key_heat &heat, duration age) -> duration
{
    if (heat.samples < minSamples)
        return std::max(assumedHeat, std::min(age, maxExpected));
    if (age >= outlivedFactor * heat.lifetime)
        return std::min(age, maxExpected);
    return std::max(heat.lifetime - age, duration(0));
}

} // namespace

auto updateHeat(key_heat &heat, key_load &load, instant now) -> void
{
    for (auto &key : load.large) {
        auto &known = heat.keys.try_emplace(key.key, hot_key{now, now}).first->second;
        known.lastSeen = now;
        key.expectedToLast = expectedToLast(heat, now - known.since);
    }
    for (auto entry = heat.keys.begin(); entry != heat.keys.end();) {
        if (now - entry->second.lastSeen <= maxAbsence) {
            ++entry;
            continue;
        }
        recordLifetime(heat, entry->second.lastSeen - entry->second.since);
        entry = heat.keys.erase(entry);
    }
}

} // namespace parsleyloft
