// The HTTP interface towards callers and operators. docs/PROTOCOL.md describes it.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

auto handleHttp(daemon_process &daemon, http_request request, http_responder respond) -> void;

} // namespace parsleyloft
