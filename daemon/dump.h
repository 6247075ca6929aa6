// The state of this process as one message, for operators.
#pragma once

#include "daemon/daemon.h"
#include "generated/dump.pb.h"

namespace parsleyloft {

auto dumpState(daemon_process &daemon) -> wire::Dump;

} // namespace parsleyloft
