// An HTTP/1.1 client with persistent connections. Built on Boost.Beast, runs on a worker pool.
#include "transport/asio_context.h"

#include "transport/http_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace parsleyloft {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// An idle connection is not reused within this time before the idle timeout that the server
// announced, because the server may already be closing it.
constexpr duration idleTimeoutMargin = 1s;
// Idle timeout assumed for servers that announce none.
constexpr duration defaultIdleTimeout = 1s;
// Unanswered keep-alive probes after which the kernel closes a connection.
constexpr int keepAliveProbeCount = 2;

struct open_connection
{
    explicit open_connection(const asio::any_io_executor &executor)
        : stream(executor)
    { }

    beast::tcp_stream stream;
    // True once the connection has carried a request.
    bool usedBefore = false;
    // Valid while idle: when the last exchange ended, and until when the server is expected to
    // keep the connection open.
    instant idleSince{};
    instant idleUntil{};
};

using shared_connection = std::shared_ptr<open_connection>;

} // namespace

struct http_client::internals
{
    internals(asio::io_context &ioContext, const http_client_options &clientOptions)
        : context(ioContext)
        , options(clientOptions)
    { }

    asio::io_context &context;
    http_client_options options;
    std::mutex lock;
    // Guarded by lock. Used as a stack: the most recently used connection is reused first.
    std::map<endpoint, std::vector<shared_connection>> idle;
};

// Accessed only on the executor once the exchange has started.
struct http_exchange::internals
{
    asio::any_io_executor executor;
    shared_connection connection;
    bool cancelled = false;
    bool ended = false;
};

namespace {

using shared_client = std::shared_ptr<http_client::internals>;
using shared_exchange = std::shared_ptr<http_exchange::internals>;

// True when the idle time is over, the server has closed the connection, or unexpected data is
// waiting on it.
auto isStale(open_connection &connection, instant now) -> bool
{
    if (now >= connection.idleUntil)
        return true;
    char byte = 0;
    const auto handle = connection.stream.socket().native_handle();
    const auto received = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

auto takeIdle(http_client::internals &client, const endpoint &to, duration maxIdleAge)
        -> shared_connection
{
    const auto now = monotonicNow();
    const std::lock_guard guard(client.lock);
    const auto found = client.idle.find(to);
    if (found == client.idle.end())
        return nullptr;
    auto &list = found->second;
    while (!list.empty()) {
        auto last = list.back();
        if (now - last->idleSince > maxIdleAge)
            return nullptr;
        list.pop_back();
        if (!isStale(*last, now))
            return last;
    }
    return nullptr;
}

// How long an idle connection may be reused, from the timeout in the Keep-Alive header.
auto reusableIdleTime(const http_response &response) -> duration
{
    static constexpr std::string_view key = "timeout=";
    const auto *header = findHeader(response.headers, "Keep-Alive");
    const auto position = header == nullptr ? std::string::npos : header->find(key);
    if (position == std::string::npos)
        return defaultIdleTimeout;
    std::int64_t seconds = 0;
    const auto *first = header->data() + position + key.size();
    const auto parsed = std::from_chars(first, header->data() + header->size(), seconds);
    if (parsed.ec != std::errc())
        return defaultIdleTimeout;
    return std::max<duration>(std::chrono::seconds(seconds) - idleTimeoutMargin, 0us);
}

auto keepIdle(http_client::internals &client, const endpoint &to, shared_connection connection,
              duration idleLimit) -> void
{
    connection->usedBefore = true;
    connection->idleSince = monotonicNow();
    connection->idleUntil = connection->idleSince + idleLimit;
    const std::lock_guard guard(client.lock);
    auto &list = client.idle[to];
    if (list.size() < client.options.maxIdlePerEndpoint)
        list.push_back(std::move(connection));
}

auto toBeastRequest(const endpoint &to, http_request &&request, bool preserveHeaders)
        -> http::request<http::string_body>
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    if (!preserveHeaders)
        message.set(http::field::host, to.address + ":" + std::to_string(to.port));
    for (const auto &[name, value] : request.headers)
        message.insert(name, value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

auto toResponse(http::response<http::string_body> &&message) -> http_response
{
    http_response response;
    response.status = message.result_int();
    for (const auto &field : message)
        addHeader(response.headers, std::string(field.name_string()), std::string(field.value()));
    response.body = std::move(message.body());
    return response;
}

auto toHttpFailure(boost::system::error_code error) -> http_failure
{
    return error == beast::error::timeout ? http_failure::TimedOut : http_failure::ResponseLost;
}

auto configureSocket(tcp::socket &socket, const http_client_options &options) -> void
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto handle = socket.native_handle();
    if (options.tcpUserTimeout > 0us) {
        const auto limit = static_cast<unsigned>(toMilliseconds(options.tcpUserTimeout));
        ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    }
    if (options.keepAliveInterval > 0us) {
        const int on = 1;
        const auto seconds = static_cast<int>(
                std::chrono::ceil<std::chrono::seconds>(options.keepAliveInterval).count());
        ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbeCount,
                     sizeof(keepAliveProbeCount));
    }
}

// One request with its destination, limits and callback.
struct request_job
{
    endpoint to;
    http_request request;
    http_send_options options;
    http_callback done;
    shared_exchange exchange;
    instant deadline{};
    // The request is not sent after this time.
    instant sendBy{};
};

auto connectTo(const http_client_options &client, const request_job &job) -> asio::awaitable<bool>
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(job.to.address, error);
    if (error)
        co_return false;
    auto connection = std::make_shared<open_connection>(job.exchange->executor);
    job.exchange->connection = connection;
    connection->stream.expires_at(
            std::min(job.deadline, monotonicNow() + job.options.connectTimeout));
    co_await connection->stream.async_connect(tcp::endpoint(address, job.to.port),
                                              asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return false;
    configureSocket(connection->stream.socket(), client);
    co_return true;
}

enum class response_match { Own, Other };

// An error response without the header is taken as the request's own, because servers may omit it
// there. A success without it is not.
auto matchResponse(const http_response &response, const std::string &header,
                   const std::string &expectedValue) -> response_match
{
    if (header.empty())
        return response_match::Own;
    const auto *value = findHeader(response.headers, header);
    if (value == nullptr)
        return response.status >= 400 ? response_match::Own : response_match::Other;
    return *value == expectedValue ? response_match::Own : response_match::Other;
}

struct response_reader
{
    bool isHead = false;
    std::string expectedValue;
    beast::flat_buffer buffer;
    // True once a response to another request has been skipped.
    bool skippedOther = false;
};

// Reads one response message. Returns whether the connection can carry another request.
auto readMessage(open_connection &connection, response_reader &reader, std::size_t maxBodyBytes,
                 http_outcome &outcome) -> asio::awaitable<bool>
{
    boost::system::error_code error;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    parser.skip(reader.isHead);
    co_await http::async_read(connection.stream, reader.buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        outcome.failure = toHttpFailure(error);
        co_return false;
    }
    // A body without a length ends when the server closes the connection, which then cannot be
    // reused. A connection reset has already been reported as an error above.
    const auto framed = !parser.get().need_eof();
    const auto reusable = framed && parser.get().keep_alive() && reader.buffer.size() == 0;
    outcome.response = toResponse(parser.release());
    outcome.response.headOnly = reader.isHead;
    co_return reusable;
}

// Sends the request and reads responses until its own arrives. Returns whether the connection can
// carry another request.
auto exchangeOn(open_connection &connection, http::request<http::string_body> &message,
                const request_job &job, std::size_t maxBodyBytes, http_outcome &outcome)
        -> asio::awaitable<bool>
{
    boost::system::error_code error;
    connection.stream.expires_at(job.deadline);
    co_await http::async_write(connection.stream, message,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        outcome.failure = toHttpFailure(error);
        co_return false;
    }
    const auto &header = job.options.matchHeader;
    response_reader reader;
    reader.isHead = message.method() == http::verb::head;
    if (!header.empty())
        reader.expectedValue = std::string(message[header]);
    while (true) {
        const auto reusable = co_await readMessage(connection, reader, maxBodyBytes, outcome);
        if (outcome.failure != http_failure::None) {
            if (reader.skippedOther)
                outcome.failure = http_failure::Mismatch;
            co_return false;
        }
        const auto interim = outcome.response.status < 200;
        if (!interim
            && matchResponse(outcome.response, header, reader.expectedValue) == response_match::Own)
            co_return reusable && !reader.skippedOther;
        reader.skippedOther = reader.skippedOther || !interim;
        if (!reusable && reader.buffer.size() == 0 && !interim) {
            outcome.failure = http_failure::Mismatch;
            co_return false;
        }
    }
}

// Reports the result to the callback. A partial response of a error exchange is discarded.
auto finishJob(const request_job &job, http_outcome &&outcome) -> void
{
    if (job.exchange->cancelled && outcome.failure != http_failure::None
        && outcome.failure != http_failure::NotSent)
        outcome.failure = http_failure::Cancelled;
    job.exchange->ended = true;
    job.exchange->connection = nullptr;
    if (outcome.failure != http_failure::None) {
        outcome.response = {};
        outcome.response.status = 0;
    }
    job.done(std::move(outcome));
}

// Sends the request over the connection of its exchange, or over a new one if it has none.
auto runJob(shared_client client, request_job job) -> asio::awaitable<void>
{
    const auto &options = client->options;
    http_outcome outcome;
    if (job.exchange->cancelled) {
        outcome.failure = http_failure::NotSent;
        finishJob(job, std::move(outcome));
        co_return;
    }
    auto message = toBeastRequest(job.to, std::move(job.request), job.options.preserveHeaders);
    outcome.reused = job.exchange->connection != nullptr;
    if (!outcome.reused && !co_await connectTo(options, job)) {
        outcome.failure = http_failure::NotSent;
        finishJob(job, std::move(outcome));
        co_return;
    }
    if (job.exchange->cancelled || monotonicNow() > job.sendBy) {
        outcome.failure = http_failure::NotSent;
        finishJob(job, std::move(outcome));
        co_return;
    }
    const auto connection = job.exchange->connection;
    const auto reusable =
            co_await exchangeOn(*connection, message, job, options.maxBodyBytes, outcome);
    if (reusable) {
        connection->stream.expires_never();
        keepIdle(*client, job.to, connection, reusableIdleTime(outcome.response));
    }
    finishJob(job, std::move(outcome));
}

} // namespace

auto makeHttpClient(worker_pool &pool, std::size_t maxIdlePerEndpoint) -> http_client
{
    http_client_options options;
    options.maxIdlePerEndpoint = maxIdlePerEndpoint;
    return makeHttpClient(pool, options);
}

auto makeHttpClient(worker_pool &pool, const http_client_options &options) -> http_client
{
    return {std::make_shared<http_client::internals>(pool.impl->context, options)};
}

auto sendHttp(http_client &client, const endpoint &to, http_request request,
              const http_send_options &options, http_callback done) -> http_exchange
{
    auto exchange = std::make_shared<http_exchange::internals>();
    exchange->connection = takeIdle(*client.impl, to, options.maxIdleAge);
    if (exchange->connection)
        exchange->executor = exchange->connection->stream.get_executor();
    else
        exchange->executor = asio::make_strand(client.impl->context);
    const auto now = monotonicNow();
    const auto deadline = now + options.timeout;
    const auto sendBy = std::min(deadline, now + options.maxSendDelay);
    asio::co_spawn(exchange->executor,
                   runJob(client.impl,
                          request_job{to, std::move(request), options, std::move(done), exchange,
                                      deadline, sendBy}),
                   asio::detached);
    return {exchange};
}

auto cancelHttp(const http_exchange &exchange) -> void
{
    const auto impl = exchange.impl.lock();
    if (!impl)
        return;
    asio::post(impl->executor, [impl] {
        if (impl->ended)
            return;
        impl->cancelled = true;
        if (impl->connection)
            impl->connection->stream.close();
    });
}

auto dropStaleConnections(http_client &client) -> void
{
    const auto now = monotonicNow();
    const std::lock_guard guard(client.impl->lock);
    for (auto &[to, list] : client.impl->idle)
        std::erase_if(list, [now](const auto &connection) { return isStale(*connection, now); });
}

} // namespace parsleyloft
