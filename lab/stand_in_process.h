// Runs a stand-in as a process until it receives a stop signal.
#pragma once

#include "command/exit_code.h"
#include "command/stop_signal.h"
#include "core/endpoint.h"
#include "transport/worker_pool.h"

#include <iostream>

namespace parsleyloft {

// Starts a stand-in that listens on "ip:port" with the given number of workers, and waits for a
// stop signal. The start function takes the pool and the endpoint.
template<typename starter>
auto runStandIn(const std::string &address, unsigned threads, starter &&start) -> exit_code
{
    const auto parsed = parseEndpoint(address);
    if (!parsed) {
        std::cerr << parsed.error().detail << "\n";
        return exit_code::Usage;
    }
    const auto signals = blockStopSignals();
    const auto workers = startWorkers(threads);
    const auto standIn = start(*workers, *parsed);
    if (!standIn) {
        std::cerr << standIn.error().detail << "\n";
        return exit_code::Unreachable;
    }
    waitForStopSignal(signals);
    stopWorkers(*workers);
    return exit_code::Success;
}

} // namespace parsleyloft
