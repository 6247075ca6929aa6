// An HTTP/1.1 listener over a worker pool, by Boost.Beast.
#include "transport/asio_context.h"

#include "transport/http_server.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <mutex>
#include <set>

namespace parsleyloft {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// An idle connection is closed sooner while the process drains.
constexpr duration drainingIdleLimit = 1s;
constexpr duration drainSweepPeriod = 200ms;
constexpr duration writeLimit = 10s;

// One caller's connection. Used only on its own strand.
struct open_connection
{
    explicit open_connection(tcp::socket &&socket)
        : stream(std::move(socket))
    { }

    beast::tcp_stream stream;
    // True while no byte of a next request has come.
    bool idle = false;
    instant idleSince{};
};

using shared_connection = std::shared_ptr<open_connection>;

} // namespace

struct http_server::internals
{
    internals(asio::io_context &context, const http_server_options &wanted, http_handler onRequest)
        : acceptor(asio::make_strand(context))
        , options(wanted)
        , handler(std::move(onRequest))
    {
        limits.maxBodyBytes = wanted.maxBodyBytes;
    }

    tcp::acceptor acceptor;
    http_server_options options;
    http_handler handler;
    std::atomic<bool> draining = false;
    std::atomic<std::size_t> requests = 0;
    std::mutex lock;
    // Both guarded by lock.
    std::set<shared_connection> connections;
    http_limits limits;
};

namespace {

using shared_server = std::shared_ptr<http_server::internals>;

auto noteCallerGone(caller_connection &caller) -> void
{
    std::function<void()> callback;
    {
        const std::lock_guard guard(caller.lock);
        caller.gone = true;
        callback = std::move(caller.onGone);
    }
    if (callback)
        callback();
}

struct counted
{
    explicit counted(std::atomic<std::size_t> &value)
        : count(value)
    {
        ++count;
    }
    ~counted() { --count; }
    counted(const counted &) = delete;
    auto operator=(const counted &) -> counted & = delete;

    std::atomic<std::size_t> &count;
};

auto toPlain(http::request<http::string_body> &&message) -> http_request
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        addHeader(request.headers, std::string(field.name_string()), std::string(field.value()));
    request.body = std::move(message.body());
    return request;
}

auto hasNoBody(unsigned status) -> bool
{
    return status < 200 || status == 204 || status == 304;
}

auto toLibrary(http_response &&response, bool keepAlive) -> http::response<http::string_body>
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    for (const auto &[name, value] : response.headers)
        message.insert(name, value);
    message.keep_alive(keepAlive);
    if (response.headOnly || hasNoBody(response.status))
        return message;
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

auto limitsOf(const shared_server &server) -> http_limits
{
    const std::lock_guard guard(server->lock);
    return server->limits;
}

// Tells the handler when the other side has closed. Bytes of a next request end the watch.
auto watchCaller(const shared_connection &connection, const shared_caller_connection &caller)
        -> void
{
    auto &socket = connection->stream.socket();
    socket.async_wait(tcp::socket::wait_read,
                      [connection, caller](boost::system::error_code failed) {
                          if (failed)
                              return;
                          char byte = 0;
                          const auto handle = connection->stream.socket().native_handle();
                          const auto count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                          const auto waits = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
                          if (count <= 0 && !waits)
                              noteCallerGone(*caller);
                      });
}

auto askHandler(const shared_server &server, http_request request) -> asio::awaitable<http_response>
{
    const auto executor = co_await asio::this_coro::executor;
    const auto start = [&](auto completion) {
        auto shared = std::make_shared<decltype(completion)>(std::move(completion));
        server->handler(std::move(request), [shared, executor](http_response response) {
            asio::post(executor, [shared, answer = std::move(response)]() mutable {
                (*shared)(std::move(answer));
            });
        });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<> &, void(http_response)>(
            start, asio::use_awaitable);
}

auto refusalFor(boost::system::error_code failed) -> http_response
{
    const auto tooLarge = failed == http::error::body_limit || failed == http::error::header_limit;
    http_response response;
    response.status = 400;
    if (failed == http::error::body_limit)
        response.status = 413;
    if (failed == http::error::header_limit)
        response.status = 431;
    response.headers["Content-Type"] = "text/plain";
    response.headers["Parsleyloft-Outcome"] = "not_run";
    response.headers["Parsleyloft-Reason"] = tooLarge ? "too_large" : "bad_request";
    response.body = failed.message() + "\n";
    return response;
}

auto isPeerGone(boost::system::error_code failed) -> bool
{
    return failed == http::error::end_of_stream || failed == beast::error::timeout
            || failed == asio::error::connection_reset || failed == http::error::partial_message
            || failed == asio::error::operation_aborted;
}

// Writes the beginning of a response, as a failing server would.
auto writeCutResponse(beast::tcp_stream &stream, const http_response &response)
        -> asio::awaitable<void>
{
    if (response.status == 0)
        co_return;
    auto text = "HTTP/1.1 " + std::to_string(response.status) + " Cut\r\n";
    for (const auto &[name, value] : response.headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    text += response.body.substr(0, *response.truncateAfterBytes);
    boost::system::error_code failed;
    stream.expires_after(writeLimit);
    co_await asio::async_write(stream, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, failed));
}

auto writeResponse(beast::tcp_stream &stream, http_response response, bool keepAlive)
        -> asio::awaitable<bool>
{
    auto message = toLibrary(std::move(response), keepAlive);
    boost::system::error_code failed;
    stream.expires_after(writeLimit);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, failed));
    co_return !failed;
}

// Waits for the first bytes of a request. Returns false when none will come.
auto awaitRequest(const shared_server &server, open_connection &connection,
                  beast::flat_buffer &buffer) -> asio::awaitable<bool>
{
    if (buffer.size() > 0)
        co_return true;
    boost::system::error_code failed;
    connection.idle = true;
    connection.idleSince = monotonicNow();
    connection.stream.expires_after(limitsOf(server).idleTimeout);
    const auto count = co_await connection.stream.async_read_some(
            buffer.prepare(4096), asio::redirect_error(asio::use_awaitable, failed));
    connection.idle = false;
    buffer.commit(count);
    co_return !failed;
}

// Framing that two readers could take differently, which would let one request hide another.
auto isAmbiguous(const http::request<http::string_body> &message) -> bool
{
    const auto encodings = message.count(http::field::transfer_encoding);
    if (encodings > 1 || message.count(http::field::content_length) > 1)
        return true;
    if (encodings == 1 && !beast::iequals(message[http::field::transfer_encoding], "chunked"))
        return true;
    return message.version() == 11 && message.count(http::field::host) != 1;
}

// Reads one request whole. Returns the error that ended it.
auto readRequest(const shared_server &server, beast::tcp_stream &stream, beast::flat_buffer &buffer,
                 http::request_parser<http::string_body> &parser)
        -> asio::awaitable<boost::system::error_code>
{
    const auto limits = limitsOf(server);
    parser.body_limit(limits.maxBodyBytes);
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    boost::system::error_code failed;
    stream.expires_after(limits.headerTimeout);
    co_await http::async_read_header(stream, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, failed));
    if (failed || parser.is_done())
        co_return failed;
    if (isAmbiguous(parser.get()))
        co_return make_error_code(http::error::bad_transfer_encoding);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view goOn = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(stream, asio::buffer(goOn),
                                   asio::redirect_error(asio::use_awaitable, failed));
        if (failed)
            co_return failed;
    }
    stream.expires_after(limits.idleTimeout);
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, failed));
    co_return failed;
}

// Serves one request. Returns false when the connection ends with it.
auto serveRequest(const shared_server &server, const shared_connection &connection,
                  beast::flat_buffer &buffer) -> asio::awaitable<bool>
{
    auto &stream = connection->stream;
    http::request_parser<http::string_body> parser;
    auto failed = co_await readRequest(server, stream, buffer, parser);
    if (!failed && isAmbiguous(parser.get()))
        failed = make_error_code(http::error::bad_transfer_encoding);
    if (failed) {
        if (!isPeerGone(failed))
            co_await writeResponse(stream, refusalFor(failed), false);
        co_return false;
    }
    const counted open(server->requests);
    auto message = parser.release();
    const auto wanted = message.keep_alive();
    stream.expires_never();
    auto request = toPlain(std::move(message));
    request.caller = std::make_shared<caller_connection>();
    const auto caller = request.caller;
    watchCaller(connection, caller);
    auto response = co_await askHandler(server, std::move(request));
    boost::system::error_code ignored;
    stream.socket().cancel(ignored);
    {
        const std::lock_guard guard(caller->lock);
        caller->onGone = nullptr;
        if (caller->gone)
            co_return false;
    }
    if (response.truncateAfterBytes) {
        co_await writeCutResponse(stream, response);
        co_return false;
    }
    const auto keep = wanted && !server->draining && !response.closeConnection;
    co_return co_await writeResponse(stream, std::move(response), keep) && keep;
}

auto serveConnection(shared_server server, shared_connection connection) -> asio::awaitable<void>
{
    beast::flat_buffer buffer;
    if (server->options.connectionCost > duration::zero()) {
        asio::steady_timer timer(connection->stream.get_executor(), server->options.connectionCost);
        co_await timer.async_wait(asio::use_awaitable);
    }
    while (co_await awaitRequest(server, *connection, buffer)) {
        if (!co_await serveRequest(server, connection, buffer))
            break;
    }
    boost::system::error_code ignored;
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    const std::lock_guard guard(server->lock);
    server->connections.erase(connection);
}

auto keepConnection(const shared_server &server, tcp::socket &&socket) -> shared_connection
{
    auto connection = std::make_shared<open_connection>(std::move(socket));
    const std::lock_guard guard(server->lock);
    server->connections.insert(connection);
    return connection;
}

// Ends connections that were idle for long enough in the drain.
auto sweepIdle(const shared_server &server) -> void
{
    const std::lock_guard guard(server->lock);
    for (const auto &connection : server->connections) {
        asio::post(connection->stream.get_executor(), [connection] {
            const auto ends = connection->idleSince + drainingIdleLimit;
            if (connection->idle && monotonicNow() >= ends)
                connection->stream.cancel();
        });
    }
}

auto acceptConnections(shared_server server, asio::io_context &context) -> asio::awaitable<void>
{
    while (server->acceptor.is_open()) {
        boost::system::error_code failed;
        auto strand = asio::make_strand(context);
        auto socket = co_await server->acceptor.async_accept(
                strand, asio::redirect_error(asio::use_awaitable, failed));
        if (failed == asio::error::operation_aborted)
            co_return;
        if (failed)
            continue;
        socket.set_option(tcp::no_delay(true), failed);
        asio::co_spawn(strand, serveConnection(server, keepConnection(server, std::move(socket))),
                       asio::detached);
    }
}

} // namespace

auto startHttpServer(worker_pool &pool, const endpoint &at, const http_server_options &options,
                     http_handler handler) -> result<http_server>
{
    auto &context = pool.impl->context;
    auto impl = std::make_shared<http_server::internals>(context, options, std::move(handler));
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(at.address, failed);
    if (failed)
        return failure(error_code::InvalidInput, "'" + at.address + "' is not an IP address");
    const tcp::endpoint where(address, at.port);
    impl->acceptor.open(where.protocol(), failed);
    impl->acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    impl->acceptor.bind(where, failed);
    if (!failed)
        impl->acceptor.listen(tcp::acceptor::max_listen_connections, failed);
    if (failed)
        return failure(error_code::Unreachable,
                       at.address + ":" + std::to_string(at.port) + ": " + failed.message());
    asio::co_spawn(impl->acceptor.get_executor(), acceptConnections(impl, context), asio::detached);
    return http_server{std::move(impl)};
}

auto setHttpLimits(http_server &server, const http_limits &limits) -> void
{
    const std::lock_guard guard(server.impl->lock);
    server.impl->limits = limits;
}

auto beginHttpDrain(worker_pool &pool, http_server &server) -> void
{
    server.impl->draining = true;
    postEvery(pool, drainSweepPeriod, [impl = server.impl] {
        sweepIdle(impl);
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
    return server.impl->requests;
}

} // namespace parsleyloft
