// The Boost.Asio context behind a worker pool. Included only within transport/.
#pragma once

#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "transport/worker_pool.h"

#include <thread>
#include <vector>

namespace parsleyloft {

struct worker_pool::internals
{
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{
            context.get_executor()};
    std::vector<std::thread> threads;
};

} // namespace parsleyloft
