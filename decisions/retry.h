// When a request may be tried again or sent to a second server, and how often.
#pragma once

#include "core/outcome.h"
#include "core/time.h"

namespace parsleyloft {

// Tokens earned by requests and spent by repeats, so that repeats stay a small share.
struct retry_budget
{
    double tokens = 10;
};

auto earnRetry(retry_budget &budget) -> void;
auto spendRetry(retry_budget &budget) -> bool;

enum class next_step {
    // Tell the caller.
    Finish,
    // Ask the table again for the present holder: nothing was sent.
    RouteAgain,
    // Send the request once more.
    Repeat,
};

inline constexpr name_table<next_step, 3> nextStepNames{{
        {next_step::Finish, "finish"},
        {next_step::RouteAgain, "route_again"},
        {next_step::Repeat, "repeat"},
}};

// Decides what follows an attempt. A request that may not be repeated is sent again only
// after an attempt that is known not to have run.
auto afterAttempt(const request_outcome &ended, bool mayRepeat, retry_budget &budget,
                  duration remaining) -> next_step;

// How long to wait for the first attempt of an idempotent request before a second one is
// sent elsewhere. Zero when there is nothing to judge by.
auto hedgeDelay(duration medianLatency) -> duration;

} // namespace parsleyloft
