// The state of a routing host, for the /v1/dump endpoint.
#pragma once

#include "generated/dump.pb.h"
#include "router/router.h"

namespace parsleyloft {

auto makeDump(router_process &router) -> wire::Dump;

} // namespace parsleyloft
