// A connection of a caller with the requests that are in flight on it, and its timeouts.
#pragma once

#include "core/time.h"
#include "decisions/connection_limit.h"
#include "decisions/pipeline.h"
#include "transport/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <atomic>

namespace parsleyloft {

// Received bytes that are not parsed yet: all headers, the size line of a chunk, or the trailer.
// The parser throws for a header or trailer field that is larger.
constexpr std::size_t maxBufferedBytes = maxReadHeaderBytes;
// Bytes received behind a request while the next one may not be read. The end of the connection is
// noticed only up to there.
constexpr std::size_t maxWaitingBytes = std::size_t(16) * 1024;
// For one response, one part of a streamed one, or an interim one.
constexpr duration writeTimeout = 10s;

// A connection keeps a buffer of up to this size between requests.
constexpr std::size_t keptBufferBytes = 4096;

struct body_receipt;

using shared_counter = std::shared_ptr<std::atomic<std::size_t>>;

// Counts a request as open for the lifetime of the object.
struct open_request
{
    explicit open_request(shared_counter counter)
        : count(std::move(counter))
    {
        ++*count;
    }
    ~open_request() { --*count; }
    open_request(const open_request &) = delete;
    auto operator=(const open_request &) -> open_request & = delete;

    // Shared, because a request may outlive its server when the workers end.
    shared_counter count;
};

// A request that was read, until its response has been sent.
struct caller_exchange
{
    // Empty once it was passed to the handler.
    http_request request;
    shared_caller_connection caller;
    // The request allows the connection to stay open.
    bool keepAlive = false;
    unsigned version = 0;
    std::optional<open_request> open;
    // Counts the headers against the memory budget while earlier requests are in flight, and a
    // response that nothing else counts while it waits. The body has its own count.
    shared_memory requestMemory;
    shared_memory responseMemory;
    std::optional<http_response> response;
};

using shared_exchange = std::shared_ptr<caller_exchange>;

// What the coroutine that reads requests is waiting for.
enum class reader_state : std::uint8_t {
    // For bytes of the request that it is reading, or it is running.
    Reading,
    // For bytes that it only stores until the next request may be read.
    Receiving,
    // For a change: no byte more may be stored, or none will come.
    Paused,
};

inline constexpr name_table<reader_state, 3> readerStateNames{{
        {reader_state::Reading, "reading"},
        {reader_state::Receiving, "receiving"},
        {reader_state::Paused, "paused"},
}};

// Accessed only on its own strand, except for the atomic members. One coroutine reads requests and
// closes the connection in the end, another one writes responses while there are any. Invariant:
// `order` has an entry for each exchange, in the same order.
struct open_connection
{
    explicit open_connection(boost::asio::ip::tcp::socket &&accepted);

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{maxBufferedBytes};
    pipeline order;
    std::vector<shared_exchange> exchanges;
    std::atomic<connection_use> use = connection_use::Idle;
    // When bytes were last received, in microseconds of the monotonic clock.
    std::atomic<std::int64_t> progressAt;
    // The memory budget of the server, or null.
    shared_memory_account memory;
    reader_state reader = reader_state::Reading;
    // Exists once the reader has been paused.
    std::optional<boost::asio::steady_timer> pause;
    // From the first byte of a request until it has been read.
    bool readingRequest = false;
    // Received bytes of the body of that request.
    std::size_t receivedBytes = 0;
    // The body that is being received, or null.
    body_receipt *receipt = nullptr;
    // That body was evicted. The reader ends as soon as no write is pending.
    bool bodyEvicted = false;
    // True while the coroutine that writes responses runs.
    bool writing = false;
    // The caller has closed its sending side.
    bool callerEnded = false;
    // No response is sent any more. The reader closes the connection.
    bool finished = false;
    // Bytes were received behind the last request that is answered.
    bool restUnread = false;
    // A request was refused of which more bytes may come.
    bool restRefused = false;
    instant idleSince{};
    duration idleTimeout = 0us;

    // One timer for both timeouts. It is set to an earlier time when needed, but not to a later
    // one: it is checked when it expires. So most requests cause no operation on it.
    boost::asio::steady_timer timer;
    instant readUntil = instant::max();
    instant writeUntil = instant::max();
    // When the timer expires, instant::max() if it is not set.
    instant timerExpires = instant::max();
};

using shared_connection = std::shared_ptr<open_connection>;

// Limits the time for what the reader waits for. When it is over, nothing more is read, and the
// connection is closed after the responses that are due.
auto limitReading(const shared_connection &connection, duration timeout) -> void;
auto endReadLimit(open_connection &connection) -> void;

// Limits the time for a write. When it is over, the connection is closed.
auto limitWriting(const shared_connection &connection, duration timeout) -> void;
// Ends the limit after a write, and the reading of a body that was evicted meanwhile.
auto endWriteLimit(open_connection &connection) -> void;

// Updates the use of the connection, by which others choose which ones to close.
auto updateUse(open_connection &connection) -> void;

// True while no request is in flight and no byte of the next one has been received.
auto isIdle(const open_connection &connection) -> bool;
// Starts the idle timeout if the connection is idle.
auto beginIdleTime(const shared_connection &connection) -> void;

// Lets the reader check again whether it may go on with received bytes. Called only while no write
// is pending: it cancels all operations of the socket.
auto wakeReader(open_connection &connection) -> void;

// Ends the reading of the body, which was evicted. A write that is pending is completed first.
auto endEvictedBody(open_connection &connection) -> void;

// Adds a request behind those in flight. Returns its position.
auto addExchange(open_connection &connection, shared_exchange exchange, bool mayOverlap,
                 std::size_t bytes) -> std::size_t;

// Removes the requests from this position on, and notifies those that were started that the caller
// gets no response.
auto dropExchanges(open_connection &connection, std::size_t position) -> void;

// Ends the watch for the end of the caller, because the response is known.
auto endWatch(caller_connection &caller) -> void;

// The caller has closed its sending side, or the connection has failed. Responses that are known
// are still sent after an orderly close.
auto handleCallerEnd(open_connection &connection, boost::system::error_code error) -> void;

// Lets the reader close the connection. Called when all responses have been sent.
auto finishConnection(open_connection &connection) -> void;

// Closes the connection at once. Requests in flight are dropped.
auto abortConnection(open_connection &connection) -> void;

} // namespace parsleyloft
