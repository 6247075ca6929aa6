// One TCP connection between two hosts that carries frames both ways.
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

constexpr std::size_t lengthBytes = 4;
// Owner tables of the largest services take some hundred kilobytes.
constexpr std::size_t mostFrameBytes = 16U << 20U;
// A peer that leaves so much unread does not read any more.
constexpr std::size_t mostOutboxBytes = 32U << 20U;
// A host in reach accepts within milliseconds, a busy one somewhat later.
constexpr duration connectLimit = 300ms;
// Sent bytes without an acknowledgement: the peer's host or the way to it is gone.
constexpr unsigned unacknowledgedMs = 1000;

auto closeNow(const shared_connection &self, const std::string &why) -> void
{
    if (std::exchange(self->closed, true))
        return;
    boost::system::error_code ignored;
    self->socket.close(ignored);
    // The handlers may hold this connection.
    const auto handlers = std::exchange(self->handlers, {});
    if (handlers.onClosed)
        handlers.onClosed(why);
}

// Hands on the frames that have come whole. Returns false when the bytes are no frames.
auto takeFrames(const shared_connection &self) -> bool
{
    std::size_t used = 0;
    const auto &bytes = self->received;
    while (!self->closed && bytes.size() - used >= lengthBytes) {
        const auto length = boost::endian::load_big_u32(
                reinterpret_cast<const unsigned char *>(bytes.data() + used));
        if (length > mostFrameBytes)
            return false;
        if (bytes.size() - used - lengthBytes < length)
            break;
        wire::PeerFrame frame;
        if (!frame.ParseFromArray(bytes.data() + used + lengthBytes, static_cast<int>(length)))
            return false;
        used += lengthBytes + length;
        self->handlers.onFrame(std::move(frame));
    }
    self->received.erase(0, used);
    return true;
}

auto readNext(const shared_connection &self) -> void
{
    self->socket.async_read_some(asio::buffer(self->part),
                                 [self](boost::system::error_code failed, std::size_t count) {
                                     if (self->closed)
                                         return;
                                     if (failed) {
                                         closeNow(self, failed.message());
                                         return;
                                     }
                                     self->heardAt = toMicroseconds(monotonicNow());
                                     self->received.append(self->part.data(), count);
                                     if (!takeFrames(self))
                                         closeNow(self, "bytes that are no frame");
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
        self->flushPlanned = false;
        self->sending.clear();
        self->sending.swap(self->outbox);
    }
    if (self->sending.empty())
        return;
    self->writing = true;
    asio::async_write(self->socket, asio::buffer(self->sending),
                      [self](boost::system::error_code failed, std::size_t) {
                          self->writing = false;
                          if (failed)
                              closeNow(self, failed.message());
                          else
                              flush(self);
                      });
}

auto configure(peer_socket &socket) -> void
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMs,
                 sizeof(unacknowledgedMs));
}

} // namespace

peer_connection::peer_connection(peer_socket &&taken)
    : socket(std::move(taken))
{ }

auto beginPeerConnection(const shared_connection &connection, connection_handlers handlers) -> void
{
    configure(connection->socket);
    connection->heardAt = toMicroseconds(monotonicNow());
    connection->handlers = std::move(handlers);
    asio::post(connection->socket.get_executor(), [connection] { readNext(connection); });
}

auto openPeerConnection(worker_pool &pool, const endpoint &to,
                        std::function<void(shared_connection)> done) -> void
{
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(to.address, failed);
    if (failed) {
        done(nullptr);
        return;
    }
    const auto strand = asio::make_strand(pool.impl->context);
    auto connection = std::make_shared<peer_connection>(peer_socket(strand));
    auto limit = std::make_shared<asio::steady_timer>(pool.impl->context, connectLimit);
    limit->async_wait(asio::bind_executor(strand, [connection](boost::system::error_code over) {
        boost::system::error_code ignored;
        if (!over)
            connection->socket.close(ignored);
    }));
    connection->socket.async_connect(
            tcp::endpoint(address, to.port),
            [connection, limit, done = std::move(done)](boost::system::error_code refused) {
                // A limit that has just run out finds its callback too late to be cancelled.
                const auto inTime = limit->cancel() > 0;
                done(!refused && inTime ? connection : nullptr);
            });
}

auto sendFrame(const shared_connection &connection, const wire::PeerFrame &frame) -> void
{
    const auto length = frame.ByteSizeLong();
    std::array<unsigned char, lengthBytes> prefix{};
    boost::endian::store_big_u32(prefix.data(), static_cast<std::uint32_t>(length));
    auto full = false;
    {
        const std::lock_guard guard(connection->lock);
        full = connection->outbox.size() + length > mostOutboxBytes;
        if (!full) {
            connection->outbox.append(reinterpret_cast<const char *>(prefix.data()), lengthBytes);
            frame.AppendToString(&connection->outbox);
            if (std::exchange(connection->flushPlanned, true))
                return;
        }
    }
    if (full)
        closePeerConnection(connection, "the peer does not read");
    else
        asio::post(connection->socket.get_executor(), [connection] { flush(connection); });
}

auto closePeerConnection(const shared_connection &connection, const std::string &why) -> void
{
    asio::post(connection->socket.get_executor(), [connection, why] { closeNow(connection, why); });
}

} // namespace parsleyloft
