// Waiting for the signal that ends a program.
#pragma once

#include <csignal>

namespace parsleyloft {

// Blocks the signals that end the program. Called before any thread starts.
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

// Blocks until one of the signals comes.
inline auto waitForStopSignal(const sigset_t &signals) -> void
{
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace parsleyloft
