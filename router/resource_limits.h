// The limits of a host's memory and connections, from its settings.
#pragma once

#include "decisions/memory_budget.h"
#include "generated/host_settings.pb.h"

namespace parsleyloft {

struct resource_limits
{
    memory_limits memory;
    // 0: no limit.
    std::size_t connections = 0;
    // Size of the kernel's receive buffer of a connection with a caller and of one with a server.
    // 0: the system's.
    std::size_t callerBufferBytes = 0;
    std::size_t serverBufferBytes = 0;
    std::size_t serverBodyBytes = 0;
};

auto resourceLimitsOf(const wire::HostSettings &settings) -> resource_limits;

} // namespace parsleyloft
