// An HTTP/1.1 client with connections kept open, over a worker pool, by Boost.Beast.
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

// How long before the server's announced idle timeout a connection is no longer used.
constexpr duration idleMargin = 1s;
// For servers that announce no idle timeout.
constexpr duration unannouncedIdleLimit = 1s;
// Lost keep-alive probes after which the kernel ends a connection.
constexpr int keepAliveProbes = 2;

struct open_connection
{
    explicit open_connection(const asio::any_io_executor &executor)
        : stream(executor)
    { }

    beast::tcp_stream stream;
    bool usedBefore = false;
    // While idle: when it was last used, and until when the server keeps it.
    instant idleSince{};
    instant idleUntil{};
};

using shared_connection = std::shared_ptr<open_connection>;

} // namespace

struct http_client::internals
{
    internals(asio::io_context &on, const http_client_options &wanted)
        : context(on)
        , options(wanted)
    { }

    asio::io_context &context;
    http_client_options options;
    std::mutex lock;
    // Guarded by lock. The connection used last is used next.
    std::map<endpoint, std::vector<shared_connection>> idle;
};

// Used only on the executor, except for done.
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

// True when the other side has closed, or sent something that nobody asked for.
auto isStale(open_connection &connection, instant now) -> bool
{
    if (now >= connection.idleUntil)
        return true;
    char byte = 0;
    const auto handle = connection.stream.socket().native_handle();
    const auto count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
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

// The time that a server keeps an idle connection, from its Keep-Alive header.
auto announcedIdleLimit(const http_response &response) -> duration
{
    static constexpr std::string_view key = "timeout=";
    const auto *header = findHeader(response.headers, "Keep-Alive");
    const auto at = header == nullptr ? std::string::npos : header->find(key);
    if (at == std::string::npos)
        return unannouncedIdleLimit;
    std::int64_t seconds = 0;
    const auto *first = header->data() + at + key.size();
    const auto read = std::from_chars(first, header->data() + header->size(), seconds);
    if (read.ec != std::errc())
        return unannouncedIdleLimit;
    return std::max<duration>(std::chrono::seconds(seconds) - idleMargin, 0us);
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

auto toLibrary(const endpoint &to, http_request &&request, bool preserveHeaders)
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

auto toPlain(http::response<http::string_body> &&message) -> http_response
{
    http_response response;
    response.status = message.result_int();
    for (const auto &field : message)
        addHeader(response.headers, std::string(field.name_string()), std::string(field.value()));
    response.body = std::move(message.body());
    return response;
}

auto failureOf(boost::system::error_code failed) -> http_failure
{
    return failed == beast::error::timeout ? http_failure::TimedOut : http_failure::ResponseLost;
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
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof(keepAliveProbes));
    }
}

// Everything that one request needs on its way.
struct errand
{
    endpoint to;
    http_request request;
    http_send_options options;
    http_callback done;
    shared_exchange exchange;
    instant deadline{};
    // Not sent after this.
    instant sendBy{};
};

auto connectTo(const http_client_options &client, const errand &work) -> asio::awaitable<bool>
{
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(work.to.address, failed);
    if (failed)
        co_return false;
    auto connection = std::make_shared<open_connection>(work.exchange->executor);
    work.exchange->connection = connection;
    connection->stream.expires_at(
            std::min(work.deadline, monotonicNow() + work.options.connectTimeout));
    co_await connection->stream.async_connect(tcp::endpoint(address, work.to.port),
                                              asio::redirect_error(asio::use_awaitable, failed));
    if (failed)
        co_return false;
    configureSocket(connection->stream.socket(), client);
    co_return true;
}

enum class answer_match { Own, Other };

// Server errors may lack the header; a success always has it.
auto matchOf(const http_response &response, const std::string &header, const std::string &wanted)
        -> answer_match
{
    if (header.empty())
        return answer_match::Own;
    const auto *value = findHeader(response.headers, header);
    if (value == nullptr)
        return response.status >= 400 ? answer_match::Own : answer_match::Other;
    return *value == wanted ? answer_match::Own : answer_match::Other;
}

struct read_answer
{
    bool isHead = false;
    std::string wanted;
    beast::flat_buffer buffer;
    // True once an answer to another request was passed over.
    bool sawOther = false;
};

// Reads one message. Returns whether the connection can carry another request.
auto readMessage(open_connection &connection, read_answer &state, std::size_t maxBodyBytes,
                 http_outcome &ended) -> asio::awaitable<bool>
{
    boost::system::error_code failed;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    parser.skip(state.isHead);
    co_await http::async_read(connection.stream, state.buffer, parser,
                              asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        ended.failure = failureOf(failed);
        co_return false;
    }
    // A body without a length ends with the connection; a reset is an error above.
    const auto framed = !parser.get().need_eof();
    const auto reusable = framed && parser.get().keep_alive() && state.buffer.size() == 0;
    ended.response = toPlain(parser.release());
    ended.response.headOnly = state.isHead;
    co_return reusable;
}

auto exchangeOn(open_connection &connection, http::request<http::string_body> &message,
                const errand &work, std::size_t maxBodyBytes, http_outcome &ended)
        -> asio::awaitable<bool>
{
    boost::system::error_code failed;
    connection.stream.expires_at(work.deadline);
    co_await http::async_write(connection.stream, message,
                               asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        ended.failure = failureOf(failed);
        co_return false;
    }
    const auto &header = work.options.matchHeader;
    read_answer state;
    state.isHead = message.method() == http::verb::head;
    if (!header.empty())
        state.wanted = std::string(message[header]);
    while (true) {
        const auto reusable = co_await readMessage(connection, state, maxBodyBytes, ended);
        if (ended.failure != http_failure::None) {
            if (state.sawOther)
                ended.failure = http_failure::Mismatch;
            co_return false;
        }
        const auto interim = ended.response.status < 200;
        if (!interim && matchOf(ended.response, header, state.wanted) == answer_match::Own)
            co_return reusable && !state.sawOther;
        state.sawOther = state.sawOther || !interim;
        if (!reusable && state.buffer.size() == 0 && !interim) {
            ended.failure = http_failure::Mismatch;
            co_return false;
        }
    }
}

// Hands the end to whoever waits for it. Nothing of a failed exchange's answer is kept.
auto conclude(const errand &work, http_outcome &&ended) -> void
{
    if (work.exchange->cancelled && ended.failure != http_failure::None
        && ended.failure != http_failure::NotSent)
        ended.failure = http_failure::Cancelled;
    work.exchange->ended = true;
    work.exchange->connection = nullptr;
    if (ended.failure != http_failure::None) {
        ended.response = {};
        ended.response.status = 0;
    }
    work.done(std::move(ended));
}

// Carries one request over the given connection, or over a new one.
auto carry(shared_client client, errand work) -> asio::awaitable<void>
{
    const auto &options = client->options;
    http_outcome ended;
    if (work.exchange->cancelled) {
        ended.failure = http_failure::NotSent;
        conclude(work, std::move(ended));
        co_return;
    }
    auto message = toLibrary(work.to, std::move(work.request), work.options.preserveHeaders);
    ended.reused = work.exchange->connection != nullptr;
    if (!ended.reused && !co_await connectTo(options, work)) {
        ended.failure = http_failure::NotSent;
        conclude(work, std::move(ended));
        co_return;
    }
    if (work.exchange->cancelled || monotonicNow() > work.sendBy) {
        ended.failure = http_failure::NotSent;
        conclude(work, std::move(ended));
        co_return;
    }
    const auto connection = work.exchange->connection;
    const auto reusable =
            co_await exchangeOn(*connection, message, work, options.maxBodyBytes, ended);
    if (reusable) {
        connection->stream.expires_never();
        keepIdle(*client, work.to, connection, announcedIdleLimit(ended.response));
    }
    conclude(work, std::move(ended));
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
                   carry(client.impl,
                         errand{to, std::move(request), options, std::move(done), exchange,
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
        std::erase_if(list, [now](const auto &one) { return isStale(*one, now); });
}

} // namespace parsleyloft
