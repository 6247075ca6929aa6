// The keys that a server of the soak holds under grants, by the platform's protocol.
#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace parsleyloft {

struct granted_range
{
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    // The highest fence seen for these keys.
    std::uint64_t fence = 0;
    // In the past once the grant has expired or the keys have been released.
    instant until{};
};

struct key_grants
{
    // Invariant: no two ranges overlap.
    std::vector<granted_range> ranges;
};

// Returns false, and changes nothing, if a higher fence was seen on one of the keys.
auto grantKeys(key_grants &grants, const granted_range &granted) -> bool;

// Ends the grants of these keys. Their fences, and that of the release, stay known.
auto releaseKeys(key_grants &grants, const granted_range &released) -> void;

// When the grant of a key ends, or nothing if the key is not held at the given time.
auto findHoldEnd(const key_grants &grants, std::uint32_t key, instant now)
        -> std::optional<instant>;

} // namespace parsleyloft
