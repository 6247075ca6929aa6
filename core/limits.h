// Time limits that the safety of grants depends on.
#pragma once

#include "core/time.h"

namespace parsleyloft {

struct lease_limits
{
    // How long a member's promise to support no other leader is valid. A leader is licensed while a
    // majority of such promises is valid.
    duration licence = 600ms;
    // How long a host's lease is valid, from the confirmation of the leader's licence.
    duration grant = 2000ms;
    // The largest difference in rate between the monotonic clocks of two hosts, in parts per
    // million.
    std::int64_t driftPpm = 1000;
    // How often a host exchanges state with its leader.
    duration exchangePeriod = 150ms;
    // How long a member waits for its leader before it becomes a candidate.
    duration electionTimeout = 800ms;
    // Range over which the election timeouts of the members are spread.
    duration electionSpread = 300ms;
};

// A duration that is at least the given length on every clock within the drift bound.
inline auto lengthenedForDrift(duration length, const lease_limits &limits) -> duration
{
    return length + length * limits.driftPpm / 1'000'000;
}

// A duration that is at most the given length on every clock within the drift bound.
inline auto shortenedForDrift(duration length, const lease_limits &limits) -> duration
{
    return length - length * limits.driftPpm / 1'000'000;
}

} // namespace parsleyloft
