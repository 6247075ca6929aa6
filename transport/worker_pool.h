// A fixed pool of worker threads that run posted work and timers.
#pragma once

#include "core/time.h"

#include <functional>
#include <memory>

namespace parsleyloft {

using task = std::function<void()>;

// Workers sleep while there is nothing to do.
struct worker_pool
{
    struct internals;
    std::unique_ptr<internals> impl;

    worker_pool();
    ~worker_pool();
};

// Starts the given number of threads, at least 1.
auto startWorkers(unsigned threads) -> std::unique_ptr<worker_pool>;

auto post(worker_pool &pool, task work) -> void;
auto postAfter(worker_pool &pool, duration delay, task work) -> void;

// Runs the task again and again, each time one period after it ended. It ends when the
// task returns false or the pool stops.
auto postEvery(worker_pool &pool, duration period, std::function<bool()> work) -> void;

// Drops work that has not begun and waits for the threads. Not called from a worker.
auto stopWorkers(worker_pool &pool) -> void;

// The present reading of this machine's monotonic clock.
auto monotonicNow() -> instant;

} // namespace parsleyloft
