// Draws of the soak from its seed.
#include "soak/scene.h"

#include "core/hash.h"

#include <numeric>
#include <random>

namespace parsleyloft {

auto readTroubles(const std::string &text) -> std::optional<std::set<scene_trouble>>
{
    std::set<scene_trouble> read;
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto name = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(name.size() + 1, rest.size()));
        const auto trouble = valueIn(sceneTroubleNames, name);
        if (!trouble && name != "all")
            return std::nullopt;
        if (trouble)
            read.insert(*trouble);
        for (const auto &entry : sceneTroubleNames) {
            if (!trouble)
                read.insert(entry.value);
        }
    }
    return read;
}

auto toText(const std::set<scene_trouble> &troubles) -> std::string
{
    std::string text;
    for (const auto trouble : troubles)
        text += (text.empty() ? "" : ",") + std::string(nameIn(sceneTroubleNames, trouble));
    return text;
}

auto makeRandom(std::uint64_t seed, std::string_view name) -> pcg32
{
    return pcg32(stableHash(name, seed));
}

auto drawIndex(pcg32 &random, const std::vector<int> &weights) -> std::size_t
{
    const auto total = std::accumulate(weights.begin(), weights.end(), 0);
    auto left = drawBetween(random, 0, total - 1);
    std::size_t index = 0;
    while (left >= weights[index])
        left -= weights[index++];
    return index;
}

auto drawBetween(pcg32 &random, int first, int last) -> int
{
    return std::uniform_int_distribution<int>(first, last)(random);
}

} // namespace parsleyloft
