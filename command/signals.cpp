// Waiting for the signals that stop a program or make it reload its settings.
#include "command/signals.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace parsleyloft {

struct signal_watch::internals
{
    boost::asio::io_context context;
    boost::asio::signal_set signals{context, SIGTERM, SIGINT, SIGHUP};
    bool waiting = false;
    received_signal received = received_signal::None;
};

auto watchSignals() -> signal_watch
{
    std::signal(SIGPIPE, SIG_IGN);
    return {std::make_shared<signal_watch::internals>()};
}

auto waitForSignal(signal_watch &watch, duration limit) -> received_signal
{
    auto &impl = *watch.impl;
    if (!impl.waiting) {
        impl.waiting = true;
        impl.signals.async_wait([&impl](boost::system::error_code failed, int number) {
            impl.waiting = false;
            if (!failed)
                impl.received = number == SIGHUP ? received_signal::Reload : received_signal::Stop;
        });
    }
    impl.context.restart();
    impl.context.run_one_for(limit);
    return std::exchange(impl.received, received_signal::None);
}

} // namespace parsleyloft
