// An HTTP/1.1 server. Built on Boost.Beast, runs on a worker pool.
#include "transport/asio_context.h"

#include "transport/http_server.h"

#include "decisions/connection_limit.h"
#include "transport/http_request_reader.h"
#include "transport/http_response_writer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <limits>
#include <mutex>
#include <set>

namespace parsleyloft {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Idle timeout of connections while the server drains.
constexpr duration drainingIdleTimeout = 1s;
constexpr duration idleCheckPeriod = 200ms;
// Wait before the next accept when the process has no descriptor left.
constexpr duration acceptPause = 50ms;
// At the limit this part of the connections is closed at once, because each choice looks at all of
// them. The same part may exceed the limit until they are closed.
constexpr std::size_t closedPartDivisor = 16;
// Requests behind a response that closes the connection. More is not sent by a caller that reads.
constexpr std::size_t maxDiscardedBytes = std::size_t(256) * 1024;

} // namespace

struct http_server::internals
{
    internals(asio::io_context &context, const http_server_options &serverOptions,
              http_handler onRequest)
        : acceptor(asio::make_strand(context))
        , options(serverOptions)
        , handler(std::move(onRequest))
    {
        limits.maxBodyBytes = serverOptions.maxBodyBytes;
        limits = serverOptions.limits.value_or(limits);
        pipelining = serverOptions.pipelining;
    }

    tcp::acceptor acceptor;
    http_server_options options;
    http_handler handler;
    std::atomic<bool> draining = false;
    shared_counter requests = std::make_shared<std::atomic<std::size_t>>(0);
    std::mutex lock;
    // All guarded by lock.
    std::set<shared_connection> connections;
    http_limits limits;
    pipeline_limits pipelining;
};

namespace {

using shared_server = std::shared_ptr<http_server::internals>;

// Takes the limits in force for the next request of the connection. Returns those of a request.
auto takeLimits(const shared_server &server, open_connection &connection) -> http_limits
{
    const std::lock_guard guard(server->lock);
    connection.order.limits = server->pipelining;
    if (!server->options.mayOverlap)
        connection.order.limits.maxRequests = 1;
    connection.idleTimeout = server->limits.idleTimeout;
    return server->limits;
}

// Sends the responses that are due, until the first request has none.
auto writeResponses(shared_server server, shared_connection connection) -> asio::awaitable<void>;

auto beginWriting(const shared_server &server, const shared_connection &connection) -> void
{
    if (connection->writing || !connection->exchanges.front()->response)
        return;
    connection->writing = true;
    asio::co_spawn(connection->socket.get_executor(), writeResponses(server, connection),
                   asio::detached);
}

// Takes the handler's response to a request. The request may have been dropped meanwhile.
auto acceptResponse(const shared_server &server, const shared_connection &connection,
                    caller_exchange &exchange, http_response response) -> void
{
    endWatch(*exchange.caller);
    const auto &exchanges = connection->exchanges;
    const auto found = std::find_if(exchanges.begin(), exchanges.end(),
                                    [&](const auto &one) { return one.get() == &exchange; });
    if (found == exchanges.end()) {
        exchange.open.reset();
        return;
    }
    const auto position = static_cast<std::size_t>(found - exchanges.begin());
    const auto bytes = response.body.size();
    recordResponse(connection->order, position, bytes);
    // A response from a server is counted by its reservation.
    if (connection->memory && position > 0 && bytes > 0 && !response.reservation)
        exchange.responseMemory = holdResponse(connection->memory, bytes);
    exchange.response = std::move(response);
    beginWriting(server, connection);
}

// Passes the request at this position to the handler if it may start.
auto startExchange(const shared_server &server, const shared_connection &connection,
                   std::size_t position) -> void
{
    if (!mayStart(connection->order, position, server->draining))
        return;
    recordStart(connection->order, position);
    const auto exchange = connection->exchanges[position];
    exchange->request.overlaps = position > 0;
    auto respond = [server, connection, exchange](http_response response) {
        asio::post(connection->socket.get_executor(),
                   [server, connection, exchange, response = std::move(response)]() mutable {
                       acceptResponse(server, connection, *exchange, std::move(response));
                   });
    };
    server->handler(std::move(exchange->request), std::move(respond));
}

// Sends the response to the first request. Returns false if the connection must be closed.
auto writeFirst(const shared_server &server, const shared_connection &connection)
        -> asio::awaitable<bool>
{
    const auto exchange = connection->exchanges.front();
    auto response = std::move(*exchange->response);
    const auto keepAlive = exchange->keepAlive && !response.closeConnection
            && !response.truncateAfterBytes && !isLastResponse(connection->order, server->draining);
    // The caller counts everything behind this response as not read.
    if (!keepAlive) {
        connection->order.readingEnded = true;
        dropExchanges(*connection, 1);
    }
    if (response.truncateAfterBytes) {
        co_await writeTruncatedResponse(connection, response);
        co_return false;
    }
    if (response.rest)
        co_return co_await writeStreamedResponse(connection, std::move(response), keepAlive,
                                                 exchange->version);
    co_return co_await writeResponse(connection, std::move(response), keepAlive) && keepAlive;
}

auto writeResponses(shared_server server, shared_connection connection) -> asio::awaitable<void>
{
    auto keepsOpen = true;
    while (keepsOpen && !connection->exchanges.empty() && connection->exchanges.front()->response) {
        const auto exchange = connection->exchanges.front();
        keepsOpen = co_await writeFirst(server, connection);
        exchange->open.reset();
        if (connection->finished)
            break;
        if (!keepsOpen)
            dropExchanges(*connection, 1);
        connection->exchanges.erase(connection->exchanges.begin());
        removeFirst(connection->order);
        if (!connection->exchanges.empty())
            startExchange(server, connection, 0);
        wakeReader(*connection);
    }
    connection->writing = false;
    updateUse(*connection);
    if (connection->exchanges.empty() && (!keepsOpen || connection->order.readingEnded))
        finishConnection(*connection);
    beginIdleTime(connection);
}

// Adds the response to a request that could not be read. It is sent after those before it.
auto refuseRequest(const shared_server &server, const shared_connection &connection,
                   boost::system::error_code error) -> void
{
    connection->order.readingEnded = true;
    const auto exchange = std::make_shared<caller_exchange>();
    exchange->caller = std::make_shared<caller_connection>();
    exchange->response = errorResponse(error);
    const auto position = addExchange(*connection, exchange, false, 0);
    recordResponse(connection->order, position, 0);
    beginWriting(server, connection);
}

auto headerBytes(const http_request &request) -> std::size_t
{
    auto bytes = request.target.size();
    for (const auto &[name, value] : request.headers)
        bytes += name.size() + value.size();
    return bytes;
}

// Adds a request that was read, and starts it if it may start.
auto takeRequest(const shared_server &server, const shared_connection &connection,
                 const http_message &message, const body_receipt &receipt, bool incomplete) -> void
{
    const auto exchange = std::make_shared<caller_exchange>();
    exchange->open.emplace(server->requests);
    exchange->caller = std::make_shared<caller_connection>();
    exchange->keepAlive = message.keep_alive() && !incomplete;
    exchange->version = message.version();
    exchange->request = toRequest(message, receipt);
    auto &request = exchange->request;
    request.incomplete = incomplete;
    request.evicted = receipt.refused;
    request.caller = exchange->caller;
    // Nothing behind a request that closes the connection is read.
    connection->order.readingEnded = connection->order.readingEnded || !exchange->keepAlive;
    const auto mayOverlap =
            !connection->exchanges.empty() && !incomplete && server->options.mayOverlap(request);
    const auto bytes = headerBytes(request);
    if (connection->memory && !connection->exchanges.empty())
        exchange->requestMemory = holdResponse(connection->memory, bytes);
    const auto position = addExchange(*connection, exchange, mayOverlap, bytes + bodySize(request));
    startExchange(server, connection, position);
}

// Reads a request. Its body is released if the memory budget has no room for it.
auto receiveRequest(const shared_connection &connection, const http_limits &limits,
                    http_parser &parser, body_receipt &receipt)
        -> asio::awaitable<boost::system::error_code>
{
    receipt.account = connection->memory;
    connection->readingRequest = true;
    connection->receipt = &receipt;
    updateUse(*connection);
    const auto error = co_await readRequest(limits, connection, parser, receipt);
    connection->receipt = nullptr;
    connection->readingRequest = false;
    connection->receivedBytes = 0;
    connection->bodyEvicted = false;
    endReadLimit(*connection);
    if (error)
        receipt.body = nullptr;
    co_return error;
}

// Reads one request and serves it.
auto readNext(const shared_server &server, const shared_connection &connection)
        -> asio::awaitable<void>
{
    const auto limits = takeLimits(server, *connection);
    http_parser parser;
    body_receipt receipt;
    auto error = co_await receiveRequest(connection, limits, parser, receipt);
    // The time for the request is over, or an earlier response has closed the connection.
    if (connection->order.readingEnded) {
        connection->restUnread = true;
        co_return;
    }
    if (!error && isAmbiguous(parser.get()))
        error = make_error_code(http::error::bad_transfer_encoding);
    const auto incomplete = receipt.refused || isIncomplete(error, limits, parser.get());
    connection->restRefused = receipt.refused || isTooLarge(error);
    if (!error || incomplete)
        takeRequest(server, connection, parser.get(), receipt, incomplete);
    else if (isConnectionLost(error))
        handleCallerEnd(*connection, error);
    else
        refuseRequest(server, connection, error);
}

// True if the memory budget has room for a request behind others. The request can wait until they
// are answered, so only bodies that stand still are evicted for it.
auto hasRoomAhead(const open_connection &connection) -> bool
{
    return connection.exchanges.empty() || !connection.memory
            || mayHoldResponse(connection.memory, connection.buffer.size());
}

auto mayRead(const open_connection &connection) -> bool
{
    return connection.buffer.size() > 0 && mayReadNext(connection.order)
            && hasRoomAhead(connection);
}

auto serveConnection(shared_server server, shared_connection connection) -> asio::awaitable<void>
{
    if (server->options.connectionCost > duration::zero()) {
        asio::steady_timer delay(connection->socket.get_executor(), server->options.connectionCost);
        co_await delay.async_wait(asio::use_awaitable);
    }
    takeLimits(server, *connection);
    while (co_await awaitCondition(connection, mayRead))
        co_await readNext(server, connection);
    boost::system::error_code ignored;
    connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
    const auto closedByServer = !connection->callerEnded;
    if (closedByServer && connection->restRefused)
        co_await discardRest(connection, std::numeric_limits<std::size_t>::max());
    else if (closedByServer && connection->restUnread)
        co_await discardRest(connection, maxDiscardedBytes);
    connection->socket.close(ignored);
    connection->timer.cancel();
    const std::lock_guard guard(server->lock);
    server->connections.erase(connection);
}

auto addConnection(const shared_server &server, tcp::socket &&socket) -> shared_connection
{
    auto connection = std::make_shared<open_connection>(std::move(socket));
    connection->memory = server->options.memory;
    const std::lock_guard guard(server->lock);
    server->connections.insert(connection);
    return connection;
}

// While draining, closes connections that have been idle for drainingIdleTimeout.
auto closeIdleConnections(const shared_server &server) -> void
{
    const std::lock_guard guard(server->lock);
    for (const auto &connection : server->connections) {
        asio::post(connection->socket.get_executor(), [connection] {
            const auto deadline = connection->idleSince + drainingIdleTimeout;
            if (isIdle(*connection) && monotonicNow() >= deadline)
                finishConnection(*connection);
        });
    }
}

// Closes connections that are idle or make the least progress. They are closed on their strands, if
// no more bytes have arrived by then.
auto closeSlowConnections(const shared_server &server, std::size_t count) -> void
{
    std::vector<shared_connection> open;
    {
        const std::lock_guard guard(server->lock);
        open.assign(server->connections.begin(), server->connections.end());
    }
    std::vector<connection_report> reports;
    reports.reserve(open.size());
    for (const auto &connection : open)
        reports.push_back({connection->use, fromMicroseconds(connection->progressAt)});
    const auto chosen = connectionsToClose(reports, count);
    for (const auto position : chosen) {
        const auto progressAt = toMicroseconds(reports[position].lastProgress);
        asio::post(open[position]->socket.get_executor(),
                   [connection = open[position], progressAt] {
                       if (connection->use != connection_use::Serving
                           && connection->progressAt == progressAt)
                           abortConnection(*connection);
                   });
    }
    if (server->options.onConnectionsClosed)
        server->options.onConnectionsClosed(chosen.size(), open.size());
}

// Makes room for a new connection. Returns false if there is none.
auto makeRoomForConnection(const shared_server &server) -> bool
{
    const auto limit = server->options.maxConnections;
    std::size_t count = 0;
    {
        const std::lock_guard guard(server->lock);
        count = server->connections.size();
    }
    if (limit == 0 || count < limit)
        return true;
    const auto part = limit / closedPartDivisor + 1;
    closeSlowConnections(server, part);
    return count < limit + part;
}

// Waits until descriptors may be free again. Closing connections is what frees them.
auto awaitDescriptors(const shared_server &server) -> asio::awaitable<void>
{
    std::size_t count = 0;
    {
        const std::lock_guard guard(server->lock);
        count = server->connections.size();
    }
    closeSlowConnections(server, count / closedPartDivisor + 1);
    asio::steady_timer timer(server->acceptor.get_executor(), acceptPause);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

auto acceptConnections(shared_server server, asio::io_context &context) -> asio::awaitable<void>
{
    while (server->acceptor.is_open()) {
        boost::system::error_code error;
        auto strand = asio::make_strand(context);
        auto socket = co_await server->acceptor.async_accept(
                strand, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            co_await awaitDescriptors(server);
            continue;
        }
        if (!makeRoomForConnection(server))
            continue;
        socket.set_option(tcp::no_delay(true), error);
        asio::co_spawn(strand, serveConnection(server, addConnection(server, std::move(socket))),
                       asio::detached);
    }
}

} // namespace

auto startHttpServer(worker_pool &pool, const endpoint &address, const http_server_options &options,
                     http_handler handler) -> result<http_server>
{
    auto &context = pool.impl->context;
    auto impl = std::make_shared<http_server::internals>(context, options, std::move(handler));
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.address, error);
    if (error)
        return failure(error_code::InvalidInput, "'" + address.address + "' is not an IP address");
    const tcp::endpoint localEndpoint(ip, address.port);
    impl->acceptor.open(localEndpoint.protocol(), error);
    impl->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    // Connections inherit it. Set before listening, because the window depends on it.
    if (options.receiveBufferBytes > 0)
        impl->acceptor.set_option(asio::socket_base::receive_buffer_size(
                                          static_cast<int>(options.receiveBufferBytes)),
                                  error);
    impl->acceptor.bind(localEndpoint, error);
    if (!error)
        impl->acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error)
        return failure(error_code::Unreachable,
                       address.address + ":" + std::to_string(address.port) + ": "
                               + error.message());
    asio::co_spawn(impl->acceptor.get_executor(), acceptConnections(impl, context), asio::detached);
    return http_server{std::move(impl)};
}

auto setHttpLimits(http_server &server, const http_limits &limits) -> void
{
    const std::lock_guard guard(server.impl->lock);
    server.impl->limits = limits;
}

auto setPipelineLimits(http_server &server, const pipeline_limits &limits) -> void
{
    const std::lock_guard guard(server.impl->lock);
    server.impl->pipelining = limits;
}

auto beginHttpDrain(worker_pool &pool, http_server &server) -> void
{
    server.impl->draining = true;
    postEvery(pool, idleCheckPeriod, [impl = server.impl] {
        closeIdleConnections(impl);
        return true;
    });
}

auto stopListening(http_server &server) -> void
{
    asio::post(server.impl->acceptor.get_executor(), [impl = server.impl] {
        boost::system::error_code ignored;
        impl->acceptor.close(ignored);
    });
}

auto countOpenConnections(const http_server &server) -> std::size_t
{
    const std::lock_guard guard(server.impl->lock);
    return server.impl->connections.size();
}

auto countOpenRequests(const http_server &server) -> std::size_t
{
    return *server.impl->requests;
}

} // namespace parsleyloft
