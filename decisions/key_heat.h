// How long large keys stay large, learnt from those that have become small again. A move is worth
// its pause only if the key's work outlasts it: the users' sets of hot keys change after 4 to 5 s.
#pragma once

#include "decisions/key_balance.h"

namespace parsleyloft {

struct hot_key
{
    instant since{};
    instant lastSeen{};
};

struct key_heat
{
    // The keys that are large now, or were lately.
    std::map<key_number, hot_key> keys;
    // Smoothed time for which keys stayed large, from `samples` keys.
    duration lifetime = 0us;
    std::uint32_t samples = 0;
};

// Records the large keys of a load, and sets the time for which each is expected to stay large.
auto updateHeat(key_heat &heat, key_load &load, instant now) -> void;

} // namespace parsleyloft
