// Stable hashes, computed with XXH3 of xxHash.
#include "core/hash.h"

#include <xxhash.h>

namespace parsleyloft {

auto stableHash(std::string_view text, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

auto shardOf(std::string_view key, shard_index shardCount) -> shard_index
{
    return static_cast<shard_index>(stableHash(key) % shardCount);
}

} // namespace parsleyloft
