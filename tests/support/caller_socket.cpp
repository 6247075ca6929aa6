// A plain socket of a caller.
#include "support/caller_socket.h"

#include "transport/worker_pool.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace parsleyloft {

namespace {

// The events that have occurred, 0 once it is too late.
auto awaitEvents(const caller_socket &socket, short events, instant until) -> short
{
    const auto left = toMilliseconds(until - monotonicNow());
    pollfd polled{socket.handle, events, 0};
    const auto timeout = static_cast<int>(std::max<std::int64_t>(left, 0));
    return ::poll(&polled, 1, timeout) > 0 ? polled.revents : short(0);
}

} // namespace

caller_socket::caller_socket(int connected)
    : handle(connected)
{ }

caller_socket::~caller_socket()
{
    ::close(handle);
}

auto connectTo(const endpoint &address, instant until) -> std::unique_ptr<caller_socket>
{
    const auto handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (handle < 0)
        return nullptr;
    auto socket = std::make_unique<caller_socket>(handle);
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.address.c_str(), &target.sin_addr);
    const auto started = ::connect(handle, reinterpret_cast<sockaddr *>(&target), sizeof(target));
    if (started == 0)
        return socket;
    if (errno != EINPROGRESS || awaitEvents(*socket, POLLOUT, until) == 0)
        return nullptr;
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0 ? std::move(socket) : nullptr;
}

auto sendBytes(caller_socket &socket, std::string_view bytes, instant until, bool stopsAtAnswer)
        -> send_end
{
    const auto awaited = static_cast<short>(stopsAtAnswer ? POLLOUT | POLLIN : POLLOUT);
    while (!bytes.empty()) {
        const auto events = awaitEvents(socket, awaited, until);
        if (stopsAtAnswer && (events & POLLIN) != 0)
            return send_end::Answered;
        if (events == 0)
            return send_end::Failed;
        const auto count = ::send(socket.handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN)
            return send_end::Failed;
        bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    return send_end::Sent;
}

auto receiveMore(caller_socket &socket, instant until) -> receive_end
{
    if (awaitEvents(socket, POLLIN, until) == 0)
        return receive_end::Late;
    std::array<char, 16384> bytes{};
    const auto count = ::recv(socket.handle, bytes.data(), bytes.size(), 0);
    if (count == 0)
        return receive_end::Closed;
    if (count < 0)
        return receive_end::Reset;
    socket.received.append(bytes.data(), static_cast<std::size_t>(count));
    return receive_end::Data;
}

auto closeSending(caller_socket &socket) -> void
{
    ::shutdown(socket.handle, SHUT_WR);
}

auto resetAtClose(caller_socket &socket) -> void
{
    const linger atOnce{1, 0};
    ::setsockopt(socket.handle, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
}

} // namespace parsleyloft
