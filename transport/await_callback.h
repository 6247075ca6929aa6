// Waiting for a callback in a coroutine. Included only by files that contain coroutines.
#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace parsleyloft {

// Calls start with a callback and waits on the connection's strand until any worker calls it back.
template<typename value, typename starter>
auto awaitCallback(starter start) -> boost::asio::awaitable<value>
{
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto initiate = [&](auto completion) {
        auto shared = std::make_shared<decltype(completion)>(std::move(completion));
        start([shared, executor](value received) {
            boost::asio::post(executor, [shared, received = std::move(received)]() mutable {
                (*shared)(std::move(received));
            });
        });
    };
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<> &,
                                                   void(value)>(initiate,
                                                                boost::asio::use_awaitable);
}

} // namespace parsleyloft
