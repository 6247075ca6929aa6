// Serves a caller's request from its arrival to its answer: finds the route and the key's owner,
// obtains a permit, sends to a server, and repeats where that is allowed.
#pragma once

#include "router/router.h"

namespace parsleyloft {

// Serves one request. Any worker may call respond; it is called exactly once.
auto serveRequest(router_process &router, http_request request, http_responder respond) -> void;

} // namespace parsleyloft
