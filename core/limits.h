// Lengths of time on which the safety of grants rests.
#pragma once

#include "core/time.h"

namespace parsleyloft {

struct lease_limits
{
    // How long a member's promise not to support another leader lasts.
    duration licence = 600ms;
    // How long a host's lease lasts, counted from the confirmation of the leader's licence.
    duration grant = 2000ms;
    // Largest difference in rate between two hosts' monotonic clocks, in parts per million.
    std::int64_t driftPpm = 1000;
    // How often a host exchanges state with its leader.
    duration exchangePeriod = 150ms;
    // How long a member waits for its leader before it stands as candidate.
    duration electionTimeout = 800ms;
    // Spread of the election timeout over the members.
    duration electionSpread = 300ms;
};

// A length that is at least as long on any clock within the drift bound.
inline auto lengthenedForDrift(duration length, const lease_limits &limits) -> duration
{
    return length + length * limits.driftPpm / 1'000'000;
}

// A length that is at most as long on any clock within the drift bound.
inline auto shortenedForDrift(duration length, const lease_limits &limits) -> duration
{
    return length - length * limits.driftPpm / 1'000'000;
}

} // namespace parsleyloft
