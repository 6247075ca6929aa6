// A TCP connection between two hosts that carries length-prefixed frames in both directions.
// Included only within transport/.
#pragma once

#include "transport/asio_context.h"

#include "core/endpoint.h"
#include "generated/peer.pb.h"

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <mutex>

namespace parsleyloft {

// Concrete executor types, because the type-erased executor costs an allocation for each operation.
using peer_strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using peer_socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, peer_strand>;

struct peer_connection;
using shared_connection = std::shared_ptr<peer_connection>;

struct connection_handlers
{
    std::function<void(wire::PeerFrame)> onFrame;
    // Called once, with the reason for closing.
    std::function<void(const std::string &)> onClosed;
};

struct peer_connection
{
    explicit peer_connection(peer_socket &&connectedSocket);

    // The members up to closed are accessed only on the strand of the socket.
    peer_socket socket;
    connection_handlers handlers;
    std::array<char, 4096> readBuffer{};
    // Received bytes that do not form a complete frame yet.
    std::string partialFrames;
    std::string writeBuffer;
    bool writing = false;
    bool closed = false;

    // Time of the last received data, in microseconds of the monotonic clock.
    std::atomic<std::int64_t> lastReceivedUs = 0;
    std::mutex lock;
    // Both guarded by lock. Encoded frames waiting to be sent. One write sends all of them.
    std::string outbox;
    bool flushScheduled = false;
};

// Starts reading. The handlers are called on workers, one at a time.
auto beginPeerConnection(const shared_connection &connection, connection_handlers handlers) -> void;

// Connects to a host. Calls back with a connection that is not reading yet, or with null on
// failure.
auto openPeerConnection(worker_pool &pool, const endpoint &to,
                        std::function<void(shared_connection)> done) -> void;

// Queues a frame without blocking. Closes the connection if the queue is full because the peer does
// not read.
auto sendFrame(const shared_connection &connection, const wire::PeerFrame &frame) -> void;

auto closePeerConnection(const shared_connection &connection, const std::string &reason) -> void;

} // namespace parsleyloft
