// The leader's periodic work: plan the assignment table, store and publish it, and maintain the
// member record.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Runs one step of the leader's work. Does nothing on a host that does not lead.
auto runLeaderStep(daemon_process &daemon) -> void;

} // namespace parsleyloft
