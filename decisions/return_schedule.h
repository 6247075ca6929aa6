// When refused callers return to one server: the returns are spread over a part of its capacity, so
// that they find room instead of being refused again.
//
// Addresses callers that all follow a similar Retry-After after a burst, and meet the next requests
// of a server that is still short.
#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace parsleyloft {

// Invariant: planned holds no work of less than 0, and no intervals that ended before the last call
// of planReturn.
struct return_schedule
{
    // The planned work in microseconds, by interval of time and level.
    std::map<std::int64_t, std::map<std::uint32_t, double>> planned;
};

struct return_request
{
    std::uint32_t level = 0;
    // Expected work.
    duration work = 0us;
    // The first and the last instant at which the caller may return.
    instant earliest{};
    instant latest{};
};

// Plans the return of a request at a server of this many slots. Levels that are less urgent take no
// place from it. Returns an empty optional if there is no place.
auto planReturn(return_schedule &schedule, const return_request &request, std::uint32_t slots,
                instant now) -> std::optional<instant>;

// The work of more urgent levels that is planned to return after now and before `until`.
auto plannedWork(const return_schedule &schedule, std::uint32_t level, instant now, instant until)
        -> double;

} // namespace parsleyloft
