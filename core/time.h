// Time as the decisions see it: instants and lengths that the caller hands in.
// Nothing here reads a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace parsleyloft {

using duration = std::chrono::microseconds;

// A reading of a monotonic clock. Readings of different hosts are never compared.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""us;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

inline auto fromMicroseconds(std::int64_t value) -> instant
{
    return instant(duration(value));
}

inline auto toMicroseconds(instant at) -> std::int64_t
{
    return at.time_since_epoch().count();
}

inline auto toMilliseconds(duration length) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

} // namespace parsleyloft
