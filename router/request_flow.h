// One request of a caller from its arrival to its answer: route, owner, permit, send, repeat.
#pragma once

#include "router/router.h"

namespace parsleyloft {

// Serves one request. The answer is given exactly once, by any worker.
auto serveRequest(router_process &router, http_request request, http_responder respond) -> void;

} // namespace parsleyloft
