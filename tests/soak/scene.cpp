// Draws of the soak from its seed.
#include "soak/scene.h"

#include "core/hash.h"

#include <numeric>
#include <random>

namespace parsleyloft {

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
