// Moves for keys that request a large part of a server: the other keys of that server go to servers
// with free slots, and a key that needs more than its server can do goes to a faster one.
//
// General balancing (decisions/key_balance) compares two servers and takes no move that lowers the
// higher load by less than a seventh. Beside a large key the other keys are spread over several
// ranges, of which none is that large.
#pragma once

#include "decisions/key_balance.h"

namespace parsleyloft {

// The next move, or nothing when none has more work served in time than its pause delays. The moved
// keys lie inside one owned range.
auto chooseMoveForLargeKeys(const std::vector<owned_range> &ranges,
                            const std::map<server_id, server_share> &shares, const key_load &load)
        -> std::optional<key_move>;

} // namespace parsleyloft
