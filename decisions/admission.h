// When a request is expected to start at a server, and whether its answer will be in time.
//
// Addresses lasting overload of one server: with admission up to the end of the target every answer
// is late or nearly so. Here the requests that wait are only as many as can be answered in time,
// with a margin for how much the times of the server vary.
#pragma once

#include "core/time.h"

#include <cstdint>
#include <vector>

namespace parsleyloft {

// What keeps a server from starting a request.
struct server_backlog
{
    std::uint32_t slots = 1;
    // How long each request at the server is still expected to run. Slots beyond these are free.
    std::vector<duration> running;
    // Nothing starts before this has passed.
    duration pause = 0us;
    // The expected work of the requests that start before, in microseconds, and of one of them.
    double workBefore = 0;
    duration typicalWork = 0us;
};

struct admission_request
{
    duration work = 0us;
    duration targetLeft = 0us;
    // Mean deviation of the server's times from their expectation, relative to that.
    double deviation = 0;
};

// The expected time until a slot is free for the request.
auto expectedStart(const server_backlog &backlog) -> duration;

// True when the answer will be within the target, with a margin for the deviation of the request's
// own time and of those before it.
auto isSafelyInTime(const server_backlog &backlog, duration start, const admission_request &request)
        -> bool;

} // namespace parsleyloft
