// A fixed pool of worker threads that run posted work and timers.
#include "transport/asio_context.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <ctime>

namespace parsleyloft {

worker_pool::worker_pool()
    : impl(std::make_unique<internals>())
{ }

worker_pool::~worker_pool()
{
    stopWorkers(*this);
}

auto startWorkers(unsigned threads) -> std::unique_ptr<worker_pool>
{
    auto pool = std::make_unique<worker_pool>();
    for (unsigned index = 0; index < std::max(threads, 1U); ++index)
        pool->impl->threads.emplace_back([impl = pool->impl.get()] { impl->context.run(); });
    return pool;
}

auto post(worker_pool &pool, task work) -> void
{
    boost::asio::post(pool.impl->context, std::move(work));
}

auto postAfter(worker_pool &pool, duration delay, task work) -> void
{
    auto timer = std::make_shared<boost::asio::steady_timer>(pool.impl->context, delay);
    timer->async_wait([timer, work = std::move(work)](boost::system::error_code error) {
        if (!error)
            work();
    });
}

auto postEvery(worker_pool &pool, duration period, std::function<bool()> work) -> void
{
    postAfter(pool, period, [&pool, period, work = std::move(work)] {
        if (work())
            postEvery(pool, period, work);
    });
}

auto stopWorkers(worker_pool &pool) -> void
{
    pool.impl->context.stop();
    for (auto &thread : pool.impl->threads) {
        if (thread.joinable())
            thread.join();
    }
}

auto monotonicNow() -> instant
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

auto hostTimeNow() -> host_time
{
    const auto monotonic = monotonicNow();
    timespec sinceBoot{};
    if (::clock_gettime(CLOCK_BOOTTIME, &sinceBoot) != 0)
        return {monotonic, monotonic.time_since_epoch()};
    return {monotonic,
            std::chrono::duration_cast<duration>(std::chrono::seconds(sinceBoot.tv_sec)
                                                 + std::chrono::nanoseconds(sinceBoot.tv_nsec))};
}

} // namespace parsleyloft
