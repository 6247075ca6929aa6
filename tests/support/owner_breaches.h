// Checks the rule of one owner on what two servers held.
#pragma once

#include "lab/keyed_server_stand_in.h"

#include <set>

namespace parsleyloft {

// What breaks the rule of one owner among the holds of two servers: keys that both held at the same
// time, and keys that one took with a fence that is not above the other's earlier one.
auto ownerBreaches(const std::vector<key_hold> &left, const std::vector<key_hold> &right)
        -> std::set<std::string>;

} // namespace parsleyloft
