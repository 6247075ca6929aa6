// The frame of a stand-in that runs as a process of its own until it is told to stop.
#pragma once

#include "command/exit_code.h"
#include "command/stop_signal.h"
#include "core/endpoint.h"
#include "transport/worker_pool.h"

#include <iostream>

namespace parsleyloft {

// Starts a stand-in at the address "ip:port" with so many workers, and waits for the
// signal to stop. The start function takes the pool and the endpoint.
template<typename starter>
auto runStandIn(const std::string &at, unsigned threads, starter &&start) -> exit_code
{
    const auto where = parseEndpoint(at);
    if (!where) {
        std::cerr << where.error().detail << "\n";
        return exit_code::Usage;
    }
    const auto signals = blockStopSignals();
    const auto workers = startWorkers(threads);
    const auto standIn = start(*workers, *where);
    if (!standIn) {
        std::cerr << standIn.error().detail << "\n";
        return exit_code::Unreachable;
    }
    waitForStopSignal(signals);
    stopWorkers(*workers);
    return exit_code::Success;
}

} // namespace parsleyloft
