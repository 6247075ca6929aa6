// An HTTP/1.1 client with connections kept open, over a worker pool, by Boost.Beast.
#include "transport/asio_context.h"

#include "transport/http_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <mutex>
#include <sys/socket.h>

namespace parsleyloft {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using connection = std::unique_ptr<beast::tcp_stream>;

} // namespace

struct http_client::internals
{
    internals(asio::io_context &on, std::size_t idleLimit)
        : context(on)
        , maxIdle(idleLimit)
    { }

    asio::io_context &context;
    std::size_t maxIdle;
    std::mutex lock;
    // Guarded by lock. The connection used last is used next.
    std::map<endpoint, std::vector<connection>> idle;
};

namespace {

using shared_client = std::shared_ptr<http_client::internals>;

// True when the other side has closed, or sent something that nobody asked for.
auto isStale(beast::tcp_stream &stream) -> bool
{
    char byte = 0;
    const auto handle = stream.socket().native_handle();
    const auto count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

auto takeIdle(http_client::internals &client, const endpoint &to) -> connection
{
    const std::lock_guard guard(client.lock);
    auto &list = client.idle[to];
    while (!list.empty()) {
        auto last = std::move(list.back());
        list.pop_back();
        if (!isStale(*last))
            return last;
    }
    return nullptr;
}

auto keepIdle(http_client::internals &client, const endpoint &to, connection stream) -> void
{
    const std::lock_guard guard(client.lock);
    auto &list = client.idle[to];
    if (list.size() < client.maxIdle)
        list.push_back(std::move(stream));
}

auto toLibrary(const endpoint &to, http_request &&request) -> http::request<http::string_body>
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, to.address + ":" + std::to_string(to.port));
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

auto toPlain(http::response<http::string_body> &&message) -> http_response
{
    http_response response;
    response.status = message.result_int();
    for (const auto &field : message)
        response.headers[std::string(field.name_string())] = std::string(field.value());
    response.body = std::move(message.body());
    return response;
}

auto failureOf(boost::system::error_code failed) -> http_failure
{
    return failed == beast::error::timeout ? http_failure::TimedOut : http_failure::Lost;
}

auto connectTo(const endpoint &to, instant deadline) -> asio::awaitable<connection>
{
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(to.address, failed);
    if (failed)
        co_return nullptr;
    auto stream = std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
    stream->expires_at(deadline);
    co_await stream->async_connect(tcp::endpoint(address, to.port),
                                   asio::redirect_error(asio::use_awaitable, failed));
    if (failed)
        co_return nullptr;
    stream->socket().set_option(tcp::no_delay(true), failed);
    co_return stream;
}

auto exchangeOn(beast::tcp_stream &stream, http::request<http::string_body> &message,
                instant deadline, http_outcome &ended) -> asio::awaitable<bool>
{
    boost::system::error_code failed;
    stream.expires_at(deadline);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        ended.failure = failureOf(failed);
        co_return false;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        ended.failure = failureOf(failed);
        co_return false;
    }
    // Without a length the end of the body can't be told from a cut connection.
    const auto whole = parser.content_length().has_value() || parser.chunked();
    const auto reusable = parser.get().keep_alive() && buffer.size() == 0;
    ended.response = toPlain(parser.release());
    if (!whole)
        ended.failure = http_failure::Lost;
    co_return whole &&reusable;
}

// Hands the end to whoever waits for it. Nothing of a failed exchange's answer is kept.
auto conclude(const http_callback &done, http_outcome &&ended) -> void
{
    if (ended.failure != http_failure::None) {
        ended.response = {};
        ended.response.status = 0;
    }
    done(std::move(ended));
}

// Everything that one request needs on its way.
struct errand
{
    endpoint to;
    http_request request;
    http_send_options options;
    http_callback done;
};

// Carries one request over the given connection, or over a new one.
auto carry(shared_client client, connection stream, errand work) -> asio::awaitable<void>
{
    const auto deadline = monotonicNow() + work.options.timeout;
    const auto wanted = headerOf(work.request.headers, work.options.matchHeader);
    http_outcome ended;
    auto message = toLibrary(work.to, std::move(work.request));
    if (!stream)
        stream = co_await connectTo(work.to, deadline);
    if (!stream) {
        ended.failure = http_failure::NotSent;
        conclude(work.done, std::move(ended));
        co_return;
    }
    auto reusable = co_await exchangeOn(*stream, message, deadline, ended);
    const auto mismatched = ended.failure == http_failure::None && !work.options.matchHeader.empty()
            && headerOf(ended.response.headers, work.options.matchHeader) != wanted;
    if (mismatched) {
        ended.failure = http_failure::Mismatch;
        reusable = false;
    }
    if (reusable) {
        stream->expires_never();
        keepIdle(*client, work.to, std::move(stream));
    }
    conclude(work.done, std::move(ended));
}

} // namespace

auto makeHttpClient(worker_pool &pool, std::size_t maxIdlePerEndpoint) -> http_client
{
    return {std::make_shared<http_client::internals>(pool.inside->context, maxIdlePerEndpoint)};
}

auto sendHttp(http_client &client, const endpoint &to, http_request request,
              const http_send_options &options, http_callback done) -> void
{
    auto stream = takeIdle(*client.inside, to);
    asio::any_io_executor executor = asio::make_strand(client.inside->context);
    if (stream)
        executor = stream->get_executor();
    asio::co_spawn(executor,
                   carry(client.inside, std::move(stream),
                         errand{to, std::move(request), options, std::move(done)}),
                   asio::detached);
}

} // namespace parsleyloft
