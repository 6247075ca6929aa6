// The account of a request while this host serves it: its priority, its token, and what servers
// learn of it.
#pragma once

#include "router/flow_state.h"

namespace parsleyloft {

// The priority of the account if it has one, otherwise that of the route.
auto priorityOf(const request_flow &flow) -> std::uint32_t;

// The name of the request's account, or empty when it needs none.
auto accountOf(const request_flow &flow) -> account_name;

auto forwardedAccount(const request_flow &flow) -> forwarded_account;

// Gets a token for the request if its account has a quota and it has not spent one. The callback is
// called at once if no token is needed, and until then at the latest if no quota host answers.
auto acquireToken(const shared_flow &flow, instant until, token_callback done) -> void;

// Spends the token of the request right before it is sent. A token that expired meanwhile is
// replaced by one of this host. Returns false when there is none.
auto spendToken(request_flow &flow) -> bool;

// Gives back a token that was not spent.
auto releaseToken(request_flow &flow) -> void;

} // namespace parsleyloft
