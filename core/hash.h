// Stable hashes for placing keys and breaking ties, identical on every host and build.
#pragma once

#include "core/identifiers.h"

#include <string_view>

namespace parsleyloft {

auto stableHash(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

// The shard of a key. The shard count must be at least 1.
auto shardOf(std::string_view key, shard_index shardCount) -> shard_index;

} // namespace parsleyloft
