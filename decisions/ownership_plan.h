// Plans the owners of the keys of one service: the first table, replacements for servers that end
// or leave, and moves that balance the load. The grants and releases that carry a plan out are in
// decisions/key_ownership.
#pragma once

#include "decisions/key_ownership.h"

namespace parsleyloft {

// The table to store next, or nothing when the current table needs no change.
auto planOwnership(const ownership_manager &manager, const server_directory &directory,
                   const key_load &load, instant now) -> std::optional<ownership_table>;

} // namespace parsleyloft
