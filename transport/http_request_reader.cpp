// Reads requests of callers.
#include "transport/http_request_reader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace parsleyloft {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr duration discardTime = 2s;
// Small, because the rest of many refused requests may be discarded at the same time.
constexpr std::size_t discardPartBytes = std::size_t(4) * 1024;
constexpr std::size_t receivePartBytes = 4096;

// Receives bytes without interpreting them.
auto receiveBytes(const shared_connection &connection) -> asio::awaitable<void>
{
    auto &buffer = connection->buffer;
    boost::system::error_code error;
    connection->reader = reader_state::Receiving;
    beginIdleTime(connection);
    if (buffer.size() == 0 && buffer.capacity() > keptBufferBytes)
        buffer.shrink_to_fit();
    const auto count = co_await connection->socket.async_read_some(
            buffer.prepare(receivePartBytes), asio::redirect_error(asio::use_awaitable, error));
    connection->reader = reader_state::Reading;
    buffer.commit(count);
    if (count > 0)
        connection->progressAt = toMicroseconds(monotonicNow());
    endReadLimit(*connection);
    // The reader was woken, or the connection is finished.
    if (error && error != asio::error::operation_aborted)
        handleCallerEnd(*connection, error);
}

// Waits until the reader is woken.
auto pauseReader(open_connection &connection) -> asio::awaitable<void>
{
    boost::system::error_code ignored;
    connection.reader = reader_state::Paused;
    if (!connection.pause)
        connection.pause.emplace(connection.socket.get_executor());
    connection.pause->expires_at(asio::steady_timer::time_point::max());
    co_await connection.pause->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    connection.reader = reader_state::Reading;
}

auto isFirst(const open_connection &connection) -> bool
{
    return connection.exchanges.empty() && !connection.writing && !connection.order.readingEnded;
}

auto mayReceiveBody(const open_connection &connection) -> bool
{
    return connection.bodyEvicted || mayReceiveMore(connection.order, connection.receivedBytes);
}

// Sends the interim response that the caller awaits before the body, after all earlier responses.
auto sendContinue(const shared_connection &connection) -> asio::awaitable<boost::system::error_code>
{
    static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::system::error_code error;
    endReadLimit(*connection);
    if (!co_await awaitCondition(connection, isFirst))
        co_return make_error_code(asio::error::operation_aborted);
    limitWriting(connection, writeTimeout);
    co_await asio::async_write(connection->socket, asio::buffer(continueResponse),
                               asio::redirect_error(asio::use_awaitable, error));
    endWriteLimit(*connection);
    co_return error;
}

// Reserves bytes for the body. Returns false if the budget refuses them.
auto reserveBytes(body_receipt &receipt, std::size_t bytes) -> bool
{
    const auto &memory = receipt.body->memory;
    receipt.refused = memory && (memory->evicted || !growBody(*memory, bytes));
    return !receipt.refused;
}

// Makes sure that the last segment has room for the next bytes.
auto makeRoomFor(const http_parser &parser, const http_limits &limits, body_receipt &receipt)
        -> bool
{
    auto &body = *receipt.body;
    // An eviction cancels only a read that is pending.
    receipt.refused = body.memory && body.memory->evicted;
    if (receipt.refused)
        return false;
    if (!body.segments.empty() && body.segments.back().used < body.segments.back().capacity)
        return true;
    const auto limit = limits.maxBodyBytes - std::min(limits.maxBodyBytes, body.size);
    const auto expected =
            parser.content_length_remaining().value_or(std::max<std::uint64_t>(limit, 1));
    const auto bytes = nextSegmentBytes(body.size, static_cast<std::size_t>(expected));
    if (!reserveBytes(receipt, bytes))
        return false;
    addSegment(body, bytes);
    return true;
}

// Receives bytes into the last segment.
auto receiveIntoSegment(const shared_connection &connection, http_parser &parser,
                        body_receipt &receipt) -> asio::awaitable<boost::system::error_code>
{
    auto &segment = receipt.body->segments.back();
    auto &target = parser.get().body();
    const auto room = segment.capacity - segment.used;
    target.data = segment.bytes.get() + segment.used;
    target.size = room;
    target.more = true;
    boost::system::error_code error;
    co_await http::async_read_some(connection->socket, connection->buffer, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
    segment.used += room - target.size;
    receipt.body->size += room - target.size;
    connection->progressAt = toMicroseconds(monotonicNow());
    if (error == http::error::need_buffer)
        error = {};
    co_return error;
}

// Ends the reading of the body with this number in the memory budget, if it still goes on. Most of
// its memory is released at once.
auto stopReceiving(open_connection &connection, holder_number number) -> void
{
    const auto *const receipt = connection.receipt;
    if (receipt == nullptr || !receipt->body || !receipt->body->memory
        || receipt->body->memory->number != number)
        return;
    // A read that is pending has the last segment as its target.
    auto &segments = receipt->body->segments;
    if (segments.size() > 1)
        segments.erase(segments.begin(), segments.end() - 1);
    endEvictedBody(connection);
}

// Memory for the body. An eviction is handled on the connection's strand.
auto reserveMemory(const shared_connection &connection) -> shared_memory
{
    return reserveBody(connection->memory,
                       [reference = std::weak_ptr(connection)](holder_number number) {
                           if (const auto evicted = reference.lock())
                               asio::post(evicted->socket.get_executor(),
                                          [evicted, number] { stopReceiving(*evicted, number); });
                       });
}

// Receives the body in segments, each of which the memory budget admits first.
auto receiveSegments(const http_limits &limits, const shared_connection &connection,
                     http_parser &parser, body_receipt &receipt)
        -> asio::awaitable<boost::system::error_code>
{
    const auto &buffer = connection->buffer;
    receipt.body = std::make_shared<received_body>();
    if (receipt.account)
        receipt.body->memory = reserveMemory(connection);
    auto bufferBytes = buffer.capacity();
    if (!reserveBytes(receipt, bufferBytes))
        co_return make_error_code(asio::error::operation_aborted);
    parser.eager(true);
    while (!parser.is_done()) {
        connection->receivedBytes = receipt.body->size;
        if (!mayReceiveBody(*connection)) {
            endReadLimit(*connection);
            if (!co_await awaitCondition(connection, mayReceiveBody))
                co_return make_error_code(asio::error::operation_aborted);
            limitReading(connection, limits.idleTimeout);
        }
        if (!makeRoomFor(parser, limits, receipt))
            co_return make_error_code(asio::error::operation_aborted);
        const auto error = co_await receiveIntoSegment(connection, parser, receipt);
        // The size line of a chunk and the trailer may be as long as the headers.
        const auto grown = buffer.capacity() - std::min(bufferBytes, buffer.capacity());
        if (grown > 0 && !reserveBytes(receipt, grown))
            co_return make_error_code(asio::error::operation_aborted);
        bufferBytes += grown;
        if (error)
            co_return error;
    }
    co_return boost::system::error_code();
}

} // namespace

auto toRequest(const http_message &message, const body_receipt &receipt) -> http_request
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        addHeader(request.headers, std::string(field.name_string()), std::string(field.value()));
    if (!receipt.body)
        return request;
    if (receipt.account)
        request.received = receipt.body;
    else
        request.body = joinSegments(*receipt.body);
    return request;
}

auto isTooLarge(boost::system::error_code error) -> bool
{
    return error == http::error::body_limit || error == http::error::header_limit;
}

auto errorResponse(boost::system::error_code error) -> http_response
{
    http_response response;
    response.status = 400;
    if (error == http::error::body_limit)
        response.status = 413;
    if (error == http::error::header_limit)
        response.status = 431;
    response.headers["Content-Type"] = "text/plain";
    response.headers["Parsleyloft-Outcome"] = "not_run";
    response.headers["Parsleyloft-Reason"] = isTooLarge(error) ? "too_large" : "bad_request";
    response.body = error.message() + "\n";
    return response;
}

auto isConnectionLost(boost::system::error_code error) -> bool
{
    return error == http::error::end_of_stream || error == asio::error::connection_reset
            || error == http::error::partial_message || error == asio::error::operation_aborted;
}

auto isAmbiguous(const http_message &message) -> bool
{
    const auto encodings = message.count(http::field::transfer_encoding);
    if (encodings > 1 || message.count(http::field::content_length) > 1)
        return true;
    if (encodings == 1 && !beast::iequals(message[http::field::transfer_encoding], "chunked"))
        return true;
    return message.version() == 11 && message.count(http::field::host) != 1;
}

auto isIncomplete(boost::system::error_code error, const http_limits &limits,
                  const http_message &message) -> bool
{
    // The framing is not known before the end of the headers.
    const auto ambiguous = error != http::error::header_limit && isAmbiguous(message);
    return limits.preliminary && isTooLarge(error) && !ambiguous;
}

auto awaitCondition(const shared_connection &connection, bool (*condition)(const open_connection &))
        -> asio::awaitable<bool>
{
    while (!connection->finished) {
        if (condition(*connection))
            co_return true;
        if (connection->callerEnded || connection->buffer.size() >= maxWaitingBytes)
            co_await pauseReader(*connection);
        else
            co_await receiveBytes(connection);
    }
    co_return false;
}

auto readRequest(const http_limits &limits, const shared_connection &connection,
                 http_parser &parser, body_receipt &receipt)
        -> asio::awaitable<boost::system::error_code>
{
    parser.body_limit(limits.maxBodyBytes);
    parser.header_limit(
            static_cast<std::uint32_t>(std::min(limits.maxHeaderBytes, maxBufferedBytes)));
    boost::system::error_code error;
    limitReading(connection, limits.headerTimeout);
    co_await http::async_read_header(connection->socket, connection->buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error || parser.is_done())
        co_return error;
    if (isAmbiguous(parser.get()))
        co_return make_error_code(http::error::bad_transfer_encoding);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
        error = co_await sendContinue(connection);
    if (error)
        co_return error;
    limitReading(connection, limits.idleTimeout);
    error = co_await receiveSegments(limits, connection, parser, receipt);
    const auto &memory = receipt.body->memory;
    if (memory && (memory->evicted || (!error && !completeBody(*memory))))
        receipt.refused = true;
    co_return receipt.refused ? make_error_code(asio::error::operation_aborted) : error;
}

auto discardRest(const shared_connection &connection, std::size_t maxBytes) -> asio::awaitable<void>
{
    boost::system::error_code error;
    std::array<char, discardPartBytes> bytes{};
    std::size_t received = 0;
    limitReading(connection, discardTime);
    while (!error && received < maxBytes)
        received += co_await connection->socket.async_read_some(
                asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
}

} // namespace parsleyloft
