// What the leader does: plans the table, stores it, gives it out, keeps the members.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// One step of the leader's work. Does nothing on other hosts.
auto runLeaderStep(daemon_process &daemon) -> void;

} // namespace parsleyloft
