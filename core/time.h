// Time types of the decisions. Decisions never read a clock: the caller passes the current time.
#pragma once

#include <chrono>
#include <cstdint>

namespace parsleyloft {

using duration = std::chrono::microseconds;

// A time on the monotonic clock of this host. Times of different hosts are never compared.
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

inline auto toMicroseconds(instant time) -> std::int64_t
{
    return time.time_since_epoch().count();
}

inline auto toMilliseconds(duration length) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

} // namespace parsleyloft
