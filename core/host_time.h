// Points in time by two clocks of this host, for what goes on elsewhere while this machine is
// suspended.
#pragma once

#include "core/time.h"

#include <algorithm>

namespace parsleyloft {

// A point in time on two clocks of this host. The monotonic clock stands still while the machine is
// suspended, the boot clock does not.
struct host_time
{
    instant monotonic{};
    // Time since the machine was started.
    duration sinceBoot = 0us;
};

inline auto timeAfter(const host_time &start, duration length) -> host_time
{
    return {start.monotonic + length, start.sinceBoot + length};
}

// The time since the start, by the clock that has seen more of it.
inline auto timeSince(const host_time &start, const host_time &now) -> duration
{
    return std::max(now.monotonic - start.monotonic, now.sinceBoot - start.sinceBoot);
}

// The time left until the end, by the clock that has less left. Not above zero once it is over.
inline auto timeLeft(const host_time &end, const host_time &now) -> duration
{
    return std::min(end.monotonic - now.monotonic, end.sinceBoot - now.sinceBoot);
}

} // namespace parsleyloft
