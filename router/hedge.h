// The second attempt of a request beside a running one: planned with the first send, sent when it
// is due and permitted, and weighed against the first when either ends.
#pragma once

#include "router/attempt.h"

namespace parsleyloft {

// Called right before a send, with the attempt's permit. Plans a second attempt of a first send if
// hedging is on and the request may be hedged. handle is called with the end of the second attempt.
auto planHedge(const shared_flow &flow, instant now, attempt_handler handle) -> void;

// Records the end of an attempt in the request, and cancels the other attempt if this one was
// answered. The caller goes on with the request only if the step is Proceed.
auto recordAttemptEnd(request_flow &flow, const server_attempt &attempt, attempt_end &end)
        -> hedge_step;

} // namespace parsleyloft
