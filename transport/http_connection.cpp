// A connection of a caller with the requests that are in flight on it, and its timeouts.
#include "transport/http_connection.h"

#include "transport/worker_pool.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace parsleyloft {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Marks the caller as disconnected and runs its callback, outside the lock.
auto notifyCallerDisconnected(caller_connection &caller) -> void
{
    std::function<void()> callback;
    {
        const std::lock_guard guard(caller.lock);
        caller.disconnected = true;
        callback = std::move(caller.onDisconnect);
    }
    if (callback)
        callback();
}

auto setTimer(const shared_connection &connection) -> void;

auto checkTimeouts(const shared_connection &connection) -> void
{
    const auto now = monotonicNow();
    auto &order = connection->order;
    if (now >= connection->writeUntil) {
        abortConnection(*connection);
    } else if (now >= connection->readUntil) {
        connection->readUntil = instant::max();
        order.readingEnded = true;
        if (connection->exchanges.empty())
            abortConnection(*connection);
    }
    setTimer(connection);
}

auto setTimer(const shared_connection &connection) -> void
{
    const auto next = std::min(connection->readUntil, connection->writeUntil);
    if (next >= connection->timerExpires)
        return;
    connection->timerExpires = next;
    connection->timer.expires_after(std::max<duration>(next - monotonicNow(), duration::zero()));
    connection->timer.async_wait([connection](boost::system::error_code error) {
        if (error)
            return;
        connection->timerExpires = instant::max();
        checkTimeouts(connection);
    });
}

auto cancelOperations(open_connection &connection) -> void
{
    boost::system::error_code ignored;
    connection.socket.cancel(ignored);
    if (connection.pause)
        connection.pause->cancel();
}

} // namespace

open_connection::open_connection(tcp::socket &&accepted)
    : socket(std::move(accepted))
    , progressAt(toMicroseconds(monotonicNow()))
    , timer(socket.get_executor())
{ }

auto limitReading(const shared_connection &connection, duration timeout) -> void
{
    connection->readUntil = monotonicNow() + timeout;
    setTimer(connection);
}

auto endReadLimit(open_connection &connection) -> void
{
    connection.readUntil = instant::max();
}

auto limitWriting(const shared_connection &connection, duration timeout) -> void
{
    connection->writeUntil = monotonicNow() + timeout;
    setTimer(connection);
}

auto endWriteLimit(open_connection &connection) -> void
{
    connection.writeUntil = instant::max();
    if (connection.bodyEvicted)
        cancelOperations(connection);
}

auto updateUse(open_connection &connection) -> void
{
    if (!connection.exchanges.empty() || connection.writing || connection.finished)
        connection.use = connection_use::Serving;
    else if (connection.readingRequest || connection.buffer.size() > 0)
        connection.use = connection_use::Reading;
    else
        connection.use = connection_use::Idle;
}

auto isIdle(const open_connection &connection) -> bool
{
    return connection.exchanges.empty() && !connection.writing && connection.buffer.size() == 0
            && !connection.readingRequest && connection.reader != reader_state::Reading
            && !connection.finished;
}

auto beginIdleTime(const shared_connection &connection) -> void
{
    if (!isIdle(*connection))
        return;
    connection->idleSince = monotonicNow();
    limitReading(connection, connection->idleTimeout);
}

auto wakeReader(open_connection &connection) -> void
{
    const auto hasBytes = connection.buffer.size() > 0 || connection.readingRequest;
    if (connection.reader != reader_state::Reading && hasBytes)
        cancelOperations(connection);
}

auto endEvictedBody(open_connection &connection) -> void
{
    connection.bodyEvicted = true;
    const auto writePending = connection.writeUntil != instant::max();
    if (!writePending)
        cancelOperations(connection);
}

auto addExchange(open_connection &connection, shared_exchange exchange, bool mayOverlap,
                 std::size_t bytes) -> std::size_t
{
    addRequest(connection.order, mayOverlap, bytes);
    connection.exchanges.push_back(std::move(exchange));
    updateUse(connection);
    return connection.exchanges.size() - 1;
}

auto dropExchanges(open_connection &connection, std::size_t position) -> void
{
    if (connection.exchanges.size() <= position)
        return;
    const auto first = connection.exchanges.begin() + static_cast<std::ptrdiff_t>(position);
    const std::vector<shared_exchange> dropped(first, connection.exchanges.end());
    const auto stages = connection.order.requests;
    connection.exchanges.erase(first, connection.exchanges.end());
    removeFrom(connection.order, position);
    connection.restUnread = true;
    for (std::size_t index = 0; index < dropped.size(); ++index) {
        const auto stage = stages.at(position + index).stage;
        if (stage == pipeline_stage::Running)
            notifyCallerDisconnected(*dropped[index]->caller);
        else
            dropped[index]->open.reset();
    }
}

auto endWatch(caller_connection &caller) -> void
{
    const std::lock_guard guard(caller.lock);
    caller.onDisconnect = nullptr;
}

auto handleCallerEnd(open_connection &connection, boost::system::error_code error) -> void
{
    const auto orderly = error == asio::error::eof || error == http::error::end_of_stream
            || error == http::error::partial_message;
    if (!orderly) {
        abortConnection(connection);
        return;
    }
    connection.callerEnded = true;
    connection.order.readingEnded = true;
    dropExchanges(connection, countAnswered(connection.order));
    if (connection.exchanges.empty())
        connection.finished = true;
}

auto finishConnection(open_connection &connection) -> void
{
    connection.finished = true;
    connection.order.readingEnded = true;
    connection.restUnread =
            connection.restUnread || connection.buffer.size() > 0 || connection.readingRequest;
    cancelOperations(connection);
}

auto abortConnection(open_connection &connection) -> void
{
    connection.finished = true;
    connection.order.readingEnded = true;
    connection.callerEnded = true;
    // A time that is over would let the timer expire again and again until the write has ended.
    connection.readUntil = instant::max();
    connection.writeUntil = instant::max();
    dropExchanges(connection, 0);
    boost::system::error_code ignored;
    connection.socket.close(ignored);
    if (connection.pause)
        connection.pause->cancel();
}

} // namespace parsleyloft
