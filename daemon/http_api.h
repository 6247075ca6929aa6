// The HTTP interface for callers and operators, described in docs/PROTOCOL.md.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

auto handleHttp(daemon_process &daemon, http_request request, http_responder respond) -> void;

} // namespace parsleyloft
