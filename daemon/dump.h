// The state of this process as one message, on request.
#pragma once

#include "daemon/daemon.h"
#include "generated/dump.pb.h"

namespace parsleyloft {

auto dumpState(daemon_process &daemon) -> wire::Dump;

} // namespace parsleyloft
