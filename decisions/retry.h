// Whether and when a request may be repeated or sent to a second server.
#pragma once

#include "core/outcome.h"
#include "core/time.h"

namespace parsleyloft {

// Requests earn tokens and repeats spend them, so that repeats stay a small share of all requests.
struct retry_budget
{
    double tokens = 10;
};

auto earnRetry(retry_budget &budget) -> void;
auto spendRetry(retry_budget &budget) -> bool;

enum class next_step {
    // Report the outcome to the caller.
    Finish,
    // Look up the holder again: nothing was sent to a server.
    RouteAgain,
    // Send the request once more.
    Repeat,
};

inline constexpr name_table<next_step, 3> nextStepNames{{
        {next_step::Finish, "finish"},
        {next_step::RouteAgain, "route_again"},
        {next_step::Repeat, "repeat"},
}};

// What follows an attempt. A request that may not be repeated is sent again only when it is known
// that the attempt did not run.
auto decideNextStep(const request_outcome &attempt, bool mayRepeat, retry_budget &budget,
                    duration remaining) -> next_step;

// The time after which a second attempt of an idempotent request is sent to another server. Zero
// when the median latency is unknown.
auto hedgeDelay(duration medianLatency) -> duration;

} // namespace parsleyloft
