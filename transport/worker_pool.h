// A fixed pool of worker threads that run posted work and timers.
#pragma once

#include "core/host_time.h"

#include <functional>
#include <memory>

namespace parsleyloft {

using task = std::function<void()>;

// Threads that block while there is no work.
struct worker_pool
{
    struct internals;
    std::unique_ptr<internals> impl;

    worker_pool();
    ~worker_pool();
};

// Starts the given number of threads, or one if it is 0.
auto startWorkers(unsigned threads) -> std::unique_ptr<worker_pool>;

auto post(worker_pool &pool, task work) -> void;
auto postAfter(worker_pool &pool, duration delay, task work) -> void;

// Runs the task repeatedly, one period after the previous run has ended, until it returns false or
// the pool stops. The first run is one period after the call.
auto postEvery(worker_pool &pool, duration period, std::function<bool()> work) -> void;

// Discards work that has not started and joins the threads. Must not be called from a worker.
auto stopWorkers(worker_pool &pool) -> void;

// The current time of the machine's monotonic clock.
auto monotonicNow() -> instant;

// The current time of both clocks, for what ends elsewhere while this machine is suspended.
auto hostTimeNow() -> host_time;

} // namespace parsleyloft
