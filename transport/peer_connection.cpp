// A TCP connection between two hosts that carries length-prefixed frames in both directions.
#include "transport/peer_connection.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace parsleyloft {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t lengthPrefixBytes = 4;
// The largest messages are owner tables, which take a few hundred kilobytes for the largest
// services.
constexpr std::size_t maxFrameBytes = 16U << 20U;
// A peer with this much unread data is assumed to have stopped reading.
constexpr std::size_t maxOutboxBytes = 32U << 20U;
// A reachable host accepts within milliseconds, a busy one somewhat later.
constexpr duration connectTimeout = 300ms;
// TCP_USER_TIMEOUT: if sent data is not acknowledged for this long, the peer's host or the network
// path to it is considered down.
constexpr unsigned tcpUserTimeoutMs = 1000;

auto closeNow(const shared_connection &self, const std::string &reason) -> void
{
    if (std::exchange(self->closed, true))
        return;
    boost::system::error_code ignored;
    self->socket.close(ignored);
    // The handlers may hold a reference to this connection: dropping them breaks the cycle.
    const auto handlers = std::exchange(self->handlers, {});
    if (handlers.onClosed)
        handlers.onClosed(reason);
}

// Passes complete frames to the handler. Returns false if the data is not a valid frame.
auto dispatchFrames(const shared_connection &self) -> bool
{
    std::size_t used = 0;
    const auto &bytes = self->partialFrames;
    while (!self->closed && bytes.size() - used >= lengthPrefixBytes) {
        const auto length = boost::endian::load_big_u32(
                reinterpret_cast<const unsigned char *>(bytes.data() + used));
        if (length > maxFrameBytes)
            return false;
        if (bytes.size() - used - lengthPrefixBytes < length)
            break;
        wire::PeerFrame frame;
        if (!frame.ParseFromArray(bytes.data() + used + lengthPrefixBytes,
                                  static_cast<int>(length)))
            return false;
        used += lengthPrefixBytes + length;
        self->handlers.onFrame(std::move(frame));
    }
    self->partialFrames.erase(0, used);
    return true;
}

auto readNext(const shared_connection &self) -> void
{
    self->socket.async_read_some(asio::buffer(self->readBuffer),
                                 [self](boost::system::error_code error, std::size_t count) {
                                     if (self->closed)
                                         return;
                                     if (error) {
                                         closeNow(self, error.message());
                                         return;
                                     }
                                     self->lastReceivedUs = toMicroseconds(monotonicNow());
                                     self->partialFrames.append(self->readBuffer.data(), count);
                                     if (!dispatchFrames(self))
                                         closeNow(self, "received an invalid frame");
                                     else if (!self->closed)
                                         readNext(self);
                                 });
}

auto flush(const shared_connection &self) -> void
{
    if (self->closed || self->writing)
        return;
    {
        const std::lock_guard guard(self->lock);
        self->flushScheduled = false;
        self->writeBuffer.clear();
        self->writeBuffer.swap(self->outbox);
    }
    if (self->writeBuffer.empty())
        return;
    self->writing = true;
    asio::async_write(self->socket, asio::buffer(self->writeBuffer),
                      [self](boost::system::error_code error, std::size_t) {
                          self->writing = false;
                          if (error)
                              closeNow(self, error.message());
                          else
                              flush(self);
                      });
}

auto configure(peer_socket &socket) -> void
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs,
                 sizeof(tcpUserTimeoutMs));
}

} // namespace

peer_connection::peer_connection(peer_socket &&connectedSocket)
    : socket(std::move(connectedSocket))
{ }

auto beginPeerConnection(const shared_connection &connection, connection_handlers handlers) -> void
{
    configure(connection->socket);
    connection->lastReceivedUs = toMicroseconds(monotonicNow());
    connection->handlers = std::move(handlers);
    asio::post(connection->socket.get_executor(), [connection] { readNext(connection); });
}

auto openPeerConnection(worker_pool &pool, const endpoint &to,
                        std::function<void(shared_connection)> done) -> void
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(to.address, error);
    if (error) {
        done(nullptr);
        return;
    }
    const auto strand = asio::make_strand(pool.impl->context);
    auto connection = std::make_shared<peer_connection>(peer_socket(strand));
    auto timer = std::make_shared<asio::steady_timer>(pool.impl->context, connectTimeout);
    timer->async_wait(
            asio::bind_executor(strand, [connection](boost::system::error_code cancelled) {
                boost::system::error_code ignored;
                if (!cancelled)
                    connection->socket.close(ignored);
            }));
    connection->socket.async_connect(
            tcp::endpoint(address, to.port),
            [connection, timer, done = std::move(done)](boost::system::error_code connectError) {
                // If the timer has just expired, its callback is already queued and will close the
                // socket.
                const auto inTime = timer->cancel() > 0;
                done(!connectError && inTime ? connection : nullptr);
            });
}

auto sendFrame(const shared_connection &connection, const wire::PeerFrame &frame) -> void
{
    const auto length = frame.ByteSizeLong();
    std::array<unsigned char, lengthPrefixBytes> prefix{};
    boost::endian::store_big_u32(prefix.data(), static_cast<std::uint32_t>(length));
    auto outboxFull = false;
    {
        const std::lock_guard guard(connection->lock);
        outboxFull = connection->outbox.size() + length > maxOutboxBytes;
        if (!outboxFull) {
            connection->outbox.append(reinterpret_cast<const char *>(prefix.data()),
                                      lengthPrefixBytes);
            frame.AppendToString(&connection->outbox);
            if (std::exchange(connection->flushScheduled, true))
                return;
        }
    }
    if (outboxFull)
        closePeerConnection(connection, "send queue full: the peer does not read");
    else
        asio::post(connection->socket.get_executor(), [connection] { flush(connection); });
}

auto closePeerConnection(const shared_connection &connection, const std::string &reason) -> void
{
    asio::post(connection->socket.get_executor(),
               [connection, reason] { closeNow(connection, reason); });
}

} // namespace parsleyloft
