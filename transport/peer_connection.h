// One TCP connection between two hosts that carries frames both ways. Included only inside
// transport.
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

// Concrete types: the type-erased executor costs an allocation for each operation.
using peer_strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using peer_socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, peer_strand>;

struct peer_connection;
using shared_connection = std::shared_ptr<peer_connection>;

struct connection_handlers
{
    std::function<void(wire::PeerFrame)> onFrame;
    // Called once, with the reason.
    std::function<void(const std::string &)> onClosed;
};

struct peer_connection
{
    explicit peer_connection(peer_socket &&taken);

    // Used only on the strand, as all that follows up to the lock.
    peer_socket socket;
    connection_handlers handlers;
    std::array<char, 4096> part{};
    // Bytes of frames that are not whole yet.
    std::string received;
    std::string sending;
    bool writing = false;
    bool closed = false;

    // When anything came last, in microseconds of the monotonic clock.
    std::atomic<std::int64_t> heardAt = 0;
    std::mutex lock;
    // Both guarded by lock. Frames that wait to be sent; those of one turn leave together.
    std::string outbox;
    bool flushPlanned = false;
};

// Begins to read. The handlers are called on workers, one at a time.
auto beginPeerConnection(const shared_connection &connection, connection_handlers handlers) -> void;

// Calls back with a connection that stands but does not read yet, or with nothing.
auto openPeerConnection(worker_pool &pool, const endpoint &to,
                        std::function<void(shared_connection)> done) -> void;

// Never blocks. A connection whose other side does not read is closed.
auto sendFrame(const shared_connection &connection, const wire::PeerFrame &frame) -> void;

auto closePeerConnection(const shared_connection &connection, const std::string &why) -> void;

} // namespace parsleyloft
