// Waiting for the signal that stops a program.
#pragma once

#include <csignal>

namespace parsleyloft {

// Blocks the stop signals, so that only waitForStopSignal receives them. Called before any thread
// starts, because threads inherit the mask.
inline auto blockStopSignals() -> sigset_t
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

// Blocks until one of the signals arrives.
inline auto waitForStopSignal(const sigset_t &signals) -> void
{
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace parsleyloft
