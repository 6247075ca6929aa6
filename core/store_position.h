// Positions in the history of the platform's store.
#pragma once

#include <compare>
#include <cstdint>

namespace parsleyloft {

using store_revision = std::uint64_t;

// How often the store has come back from an older copy of itself. 0 for a store that does not
// number its eras.
using store_era = std::uint64_t;

// Revisions rise within an era only: a store that comes back from a copy gives out again the
// revisions after it. Positions are ordered by era first.
struct store_position
{
    store_era era = 0;
    store_revision revision = 0;

    auto operator<=>(const store_position &) const = default;
};

} // namespace parsleyloft
