// An HTTP/1.1 client with persistent connections. Built on Boost.Beast, runs on a worker pool.
#include "transport/asio_context.h"

#include "transport/http_client.h"

#include "transport/outgoing_body.h"

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

#include <algorithm>
#include <atomic>
#include <charconv>
#include <limits>
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
constexpr std::uint32_t maxHeaderBytes = 16 * 1024;
// Size of the parts in which bodies are passed on, and of the first allocation for a body of
// unknown length.
constexpr std::size_t bodyPartBytes = std::size_t(16) * 1024;
// Received bytes that are not parsed yet.
constexpr std::size_t maxBufferedBytes = std::size_t(64) * 1024;
// Responses to other requests are skipped up to these limits. A connection that brings more is
// useless.
constexpr std::size_t maxSkippedResponses = 8;
constexpr std::size_t maxSkippedBytes = std::size_t(1024) * 1024;
// Unanswered keep-alive probes after which the kernel closes a connection.
constexpr int keepAliveProbeCount = 2;
// Bounds the memory for the ids of the requests that a connection has carried.
constexpr std::size_t maxCarriedIds = 256;

struct open_connection
{
    explicit open_connection(const asio::any_io_executor &executor)
        : stream(executor)
    { }

    // Ends the connection in order, unless a request on it was given up.
    ~open_connection()
    {
        if (exchangeOpen)
            return;
        boost::system::error_code ignored;
        stream.socket().set_option(asio::socket_base::linger(false, 0), ignored);
    }
    open_connection(const open_connection &) = delete;
    auto operator=(const open_connection &) -> open_connection & = delete;

    beast::tcp_stream stream;
    // True from the start of sending a request until its response is complete.
    bool exchangeOpen = false;
    // True once the connection has carried a request.
    bool usedBefore = false;
    // Hashes of the ids that responses on this connection were matched by. Invariant: no id is
    // carried twice, because a second copy of the first response to it could not be told from the
    // later one.
    std::vector<std::size_t> carriedIds;
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
    // Guarded by lock. Bytes of requests' bodies under way to each server.
    std::map<endpoint, std::size_t> serverBytes;
    // Bytes of bodies that are held.
    std::atomic<std::size_t> heldBytes = 0;
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

auto hashOfId(const std::string &id) -> std::size_t
{
    return std::hash<std::string>()(id);
}

auto hasCarried(const open_connection &connection, const std::string &id) -> bool
{
    const auto &carried = connection.carriedIds;
    return !id.empty() && std::find(carried.begin(), carried.end(), hashOfId(id)) != carried.end();
}

// Returns the most recently used connection that may carry a request with the id, or null.
auto takeIdle(http_client::internals &client, const endpoint &to, duration maxIdleAge,
              const std::string &id) -> shared_connection
{
    const auto now = monotonicNow();
    const std::lock_guard guard(client.lock);
    const auto found = client.idle.find(to);
    if (found == client.idle.end())
        return nullptr;
    auto &list = found->second;
    for (auto next = list.size(); next > 0; --next) {
        const auto position = list.begin() + static_cast<std::ptrdiff_t>(next) - 1;
        const auto connection = *position;
        if (now - connection->idleSince > maxIdleAge)
            return nullptr;
        if (hasCarried(*connection, id))
            continue;
        list.erase(position);
        if (!isStale(*connection, now))
            return connection;
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
    if (connection->carriedIds.size() >= maxCarriedIds)
        return;
    connection->usedBefore = true;
    connection->idleSince = monotonicNow();
    connection->idleUntil = connection->idleSince + idleLimit;
    const std::lock_guard guard(client.lock);
    auto &list = client.idle[to];
    if (list.size() < client.options.maxIdlePerEndpoint)
        list.push_back(std::move(connection));
}

auto toBeastRequest(const endpoint &to, http_request &&request, bool preserveHeaders)
        -> http::request<outgoing_body>
{
    http::request<outgoing_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    if (!preserveHeaders)
        message.set(http::field::host, formatEndpoint(to));
    for (const auto &[name, value] : request.headers)
        message.insert(name, value);
    message.body() = {std::move(request.body), std::move(request.received)};
    // The library throws for TRACE with a body.
    if (message.method() == http::verb::trace && outgoing_body::size(message.body()) > 0)
        message.content_length(outgoing_body::size(message.body()));
    else
        message.prepare_payload();
    return message;
}

auto toResponse(const http::response<http::buffer_body> &message) -> http_response
{
    http_response response;
    response.status = message.result_int();
    for (const auto &field : message)
        addHeader(response.headers, std::string(field.name_string()), std::string(field.value()));
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
    // A close resets the connection, also when the stream's timeout closes it. Otherwise the kernel
    // would go on sending a request that was given up, and the server could still receive it.
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
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
    // The head of the response must be complete by then.
    instant headDeadline{};
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
    const tcp::endpoint target(address, job.to.port);
    if (client.receiveBufferBytes > 0) {
        auto &socket = connection->stream.socket();
        socket.open(target.protocol(), error);
        if (error)
            co_return false;
        // The window that is announced at the connect depends on it.
        socket.set_option(
                asio::socket_base::receive_buffer_size(static_cast<int>(client.receiveBufferBytes)),
                error);
    }
    connection->stream.expires_at(
            std::min(job.deadline, monotonicNow() + job.options.connectTimeout));
    co_await connection->stream.async_connect(target,
                                              asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return false;
    configureSocket(connection->stream.socket(), client);
    co_return true;
}

enum class response_match { Own, Other };

// Any response without the header may be a repetition of one to an earlier request. A request
// without the header matches responses without it.
auto matchResponse(const http_response &response, const std::string &header,
                   const std::string &expectedValue) -> response_match
{
    if (header.empty())
        return response_match::Own;
    return headerValue(response.headers, header) == expectedValue ? response_match::Own
                                                                  : response_match::Other;
}

using body_parser = http::response_parser<http::buffer_body>;

// Interim responses precede the response to a request. 101 is none: it answers an upgrade, which is
// never requested.
auto isInterim(unsigned status) -> bool
{
    return status == 100 || status == 102 || status == 103;
}

// The parser accepts any three digits as a status.
auto isProtocolStatus(unsigned status) -> bool
{
    return isInterim(status) || (status >= 200 && status < 600);
}

// True for text such as "xHTTP/1.1 200".
auto containsStatusLine(beast::string_view text) -> bool
{
    static constexpr beast::string_view start = "HTTP/1.";
    for (auto position = text.find(start); position != beast::string_view::npos;
         position = text.find(start, position + 1)) {
        const auto version = position + start.size();
        if (version + 2 < text.size() && text[version + 1] == ' ' && text[version + 2] >= '0'
            && text[version + 2] <= '9')
            return true;
    }
    return false;
}

// True when a response broke off inside its head and another one follows, so that the parser took
// the status line of the second for the rest of a line of the first.
auto isMerged(const http::response_header<> &message) -> bool
{
    if (containsStatusLine(message.reason()))
        return true;
    return std::any_of(message.begin(), message.end(),
                       [](const auto &field) { return containsStatusLine(field.value()); });
}

// Reads the responses on a connection, one after the other.
struct response_reader
{
    shared_connection connection;
    bool isHead = false;
    std::string expectedValue;
    // Bounded, because the size line of a chunk and the trailer have no other limit.
    beast::flat_buffer buffer{maxBufferedBytes};
    // The response that is being read.
    std::optional<body_parser> parser;
    // Responses to other requests, and their bytes, that were skipped.
    std::size_t skippedResponses = 0;
    std::size_t skippedBytes = 0;
};

using shared_reader = std::shared_ptr<response_reader>;

auto readHeader(response_reader &reader) -> asio::awaitable<boost::system::error_code>
{
    reader.parser.emplace();
    // Bodies are bounded by the parts in which they are received. Beast 1.74 takes an absent limit
    // for a limit of zero.
    reader.parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    reader.parser->header_limit(maxHeaderBytes);
    reader.parser->skip(reader.isHead);
    boost::system::error_code error;
    co_await http::async_read_header(reader.connection->stream, reader.buffer, *reader.parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (!error && isMerged(reader.parser->get()))
        error = http::error::bad_value;
    if (!error && !isProtocolStatus(reader.parser->get().result_int()))
        error = http::error::bad_status;
    co_return error;
}

// The room for the next bytes of a body: all of it when its length is known, otherwise a size that
// grows with the body.
auto nextRoom(const body_parser &parser, std::size_t received, std::size_t limit) -> std::size_t
{
    const auto room = limit - received;
    if (const auto remaining = parser.content_length_remaining())
        return static_cast<std::size_t>(std::min<std::uint64_t>(*remaining, room));
    return std::min(room, std::max(received, bodyPartBytes));
}

// Appends bytes to the body until the response is complete or the body has reached the limit.
auto receiveBody(response_reader &reader, std::size_t limit, std::string &body)
        -> asio::awaitable<boost::system::error_code>
{
    auto &parser = *reader.parser;
    while (!parser.is_done() && body.size() < limit) {
        const auto received = body.size();
        const auto room = nextRoom(parser, received, limit);
        body.resize(received + room);
        auto &target = parser.get().body();
        target.data = body.data() + received;
        target.size = room;
        boost::system::error_code error;
        co_await http::async_read(reader.connection->stream, reader.buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        body.resize(received + room - target.size);
        if (error && error != http::error::need_buffer)
            co_return error;
    }
    co_return boost::system::error_code();
}

// Reads the body of a response to another request. Fails when there is too much of it.
auto skipBody(response_reader &reader) -> asio::awaitable<boost::system::error_code>
{
    while (!reader.parser->is_done()) {
        std::string part;
        const auto error = co_await receiveBody(reader, bodyPartBytes, part);
        reader.skippedBytes += part.size();
        if (error)
            co_return error;
        if (reader.skippedBytes > maxSkippedBytes)
            co_return make_error_code(http::error::body_limit);
    }
    co_return boost::system::error_code();
}

// True when the connection can carry another request after this response. A body without a length
// ends when the server closes the connection.
auto isReusable(const response_reader &reader) -> bool
{
    const auto &message = reader.parser->get();
    return !message.need_eof() && message.keep_alive() && reader.buffer.size() == 0
            && reader.skippedResponses == 0;
}

// Called once the response is complete.
auto endExchange(http_client::internals &client, const endpoint &to, response_reader &reader,
                 const http_response &response) -> void
{
    reader.connection->exchangeOpen = false;
    if (!isReusable(reader))
        return;
    reader.connection->stream.expires_never();
    keepIdle(client, to, reader.connection, reusableIdleTime(response));
}

// A response whose body is received in parts after its beginning.
struct streamed_response
{
    shared_client client;
    endpoint to;
    shared_reader reader;
    // The response without its body.
    http_response head;
};

// Receives the next bytes of the body, as soon as there are any.
auto receivePart(std::shared_ptr<streamed_response> response, body_part_callback done)
        -> asio::awaitable<void>
{
    auto &reader = *response->reader;
    auto &parser = *reader.parser;
    body_part part;
    boost::system::error_code error;
    while (part.bytes.empty() && !parser.is_done() && !error) {
        part.bytes.resize(bodyPartBytes);
        auto &target = parser.get().body();
        target.data = part.bytes.data();
        target.size = part.bytes.size();
        co_await http::async_read_some(reader.connection->stream, reader.buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        part.bytes.resize(part.bytes.size() - target.size);
        if (error == http::error::need_buffer)
            error = {};
    }
    part.failed = error.failed();
    part.last = part.failed || parser.is_done();
    if (part.last && !part.failed)
        endExchange(*response->client, response->to, reader, response->head);
    done(std::move(part));
}

auto makeBodyStream(const shared_client &client, const endpoint &to, const shared_reader &reader,
                    const http_response &head) -> std::shared_ptr<body_stream>
{
    auto stream = std::make_shared<body_stream>();
    if (const auto total = reader->parser->content_length())
        stream->totalBytes = *total;
    auto state = std::make_shared<streamed_response>(streamed_response{client, to, reader, head});
    stream->read = [state](body_part_callback done) {
        asio::co_spawn(state->reader->connection->stream.get_executor(),
                       receivePart(state, std::move(done)), asio::detached);
    };
    return stream;
}

// Bytes under way to a server, counted for the lifetime of the object.
struct server_bytes
{
    server_bytes(shared_client owner, const endpoint &server, std::size_t count)
        : client(std::move(owner))
        , to(server)
        , bytes(count)
    { }
    ~server_bytes()
    {
        const std::lock_guard guard(client->lock);
        const auto counted = client->serverBytes.find(to);
        counted->second -= bytes;
        if (counted->second == 0)
            client->serverBytes.erase(counted);
    }
    server_bytes(const server_bytes &) = delete;
    auto operator=(const server_bytes &) -> server_bytes & = delete;

    shared_client client;
    endpoint to;
    std::size_t bytes = 0;
};

// Counts the bytes as held until the result is destroyed.
auto reserveBytes(const shared_client &client, std::size_t bytes) -> std::shared_ptr<void>
{
    if (client->options.memory)
        return holdResponse(client->options.memory, bytes);
    client->heldBytes += bytes;
    return {nullptr, [client, bytes](void *) { client->heldBytes -= bytes; }};
}

// True if bodies may take this many further bytes.
auto mayHold(http_client::internals &client, std::size_t bytes) -> bool
{
    if (client.options.memory)
        return mayHoldResponse(client.options.memory, bytes);
    return client.heldBytes + bytes <= client.options.maxHeldBytes;
}

// Receives a body completely. Memory is reserved as the body grows, so that bodies without an end
// fail together long before they are large.
auto receiveWholeBody(const shared_client &client, const request_job &job, response_reader &reader,
                      http_response &response) -> asio::awaitable<boost::system::error_code>
{
    const auto maxBytes = std::min(job.options.maxBodyBytes, client->options.maxBodyBytes);
    while (!reader.parser->is_done()) {
        const auto received = response.body.size();
        const auto limit = std::min(maxBytes, std::max(2 * received, bodyPartBytes));
        // Short bodies are always received: an order must not fail because callers take long
        // answers slowly.
        const auto mayGrow = limit <= bodyPartBytes || mayHold(*client, limit - received);
        if (received == maxBytes || !mayGrow)
            co_return make_error_code(http::error::body_limit);
        response.reservation = reserveBytes(client, limit);
        const auto error = co_await receiveBody(reader, limit, response.body);
        if (error)
            co_return error;
    }
    response.reservation = reserveBytes(client, response.body.size());
    co_return boost::system::error_code();
}

// Receives the body, or its beginning. The rest is left to a body_stream.
auto receiveHeldBody(const shared_client &client, const request_job &job,
                     const shared_reader &reader, http_response &response)
        -> asio::awaitable<boost::system::error_code>
{
    const auto length = reader->parser->content_length();
    const auto heldOf = [&](std::size_t limit) {
        return length ? static_cast<std::size_t>(std::min<std::uint64_t>(*length, limit)) : limit;
    };
    const auto wanted = heldOf(job.options.heldBytes);
    const auto limit = mayHold(*client, wanted) ? job.options.heldBytes : bodyPartBytes;
    response.reservation = reserveBytes(client, heldOf(limit));
    const auto error = co_await receiveBody(*reader, limit, response.body);
    if (error)
        co_return error;
    if (reader->parser->is_done())
        response.reservation = reserveBytes(client, response.body.size());
    else
        response.rest = makeBodyStream(client, job.to, reader, response);
    co_return boost::system::error_code();
}

// Receives the body of the request's own response, or its beginning.
auto receiveOwnBody(const shared_client &client, const request_job &job,
                    const shared_reader &reader, http_outcome &outcome) -> asio::awaitable<void>
{
    auto &response = outcome.response;
    const auto error = job.options.heldBytes == 0
            ? co_await receiveWholeBody(client, job, *reader, response)
            : co_await receiveHeldBody(client, job, reader, response);
    if (error)
        outcome.failure = toHttpFailure(error);
    else if (!response.rest)
        endExchange(*client, job.to, *reader, response);
}

// Sends the request and reads responses until its own arrives.
auto exchangeOn(const shared_client &client, http::request<outgoing_body> &message,
                const request_job &job, http_outcome &outcome) -> asio::awaitable<void>
{
    const auto reader = std::make_shared<response_reader>();
    reader->connection = job.exchange->connection;
    reader->isHead = message.method() == http::verb::head;
    const auto &header = job.options.matchHeader;
    if (!header.empty())
        reader->expectedValue = std::string(message[header]);
    if (!reader->expectedValue.empty())
        reader->connection->carriedIds.push_back(hashOfId(reader->expectedValue));
    boost::system::error_code error;
    reader->connection->stream.expires_at(job.headDeadline);
    reader->connection->exchangeOpen = true;
    co_await http::async_write(reader->connection->stream, message,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        outcome.failure = toHttpFailure(error);
        co_return;
    }
    std::size_t interimResponses = 0;
    while (true) {
        error = co_await readHeader(*reader);
        if (error)
            break;
        outcome.response = toResponse(reader->parser->get());
        outcome.response.headOnly = reader->isHead;
        const auto interim = isInterim(outcome.response.status);
        if (!interim
            && matchResponse(outcome.response, header, reader->expectedValue)
                    == response_match::Own) {
            reader->connection->stream.expires_at(job.deadline);
            co_await receiveOwnBody(client, job, reader, outcome);
            co_return;
        }
        if (interim)
            ++interimResponses;
        else
            ++reader->skippedResponses;
        // No other response can follow one that ends with the connection.
        const auto endsConnection = !interim && reader->parser->get().need_eof();
        error = co_await skipBody(*reader);
        if (error || endsConnection
            || interimResponses + reader->skippedResponses > maxSkippedResponses)
            break;
    }
    outcome.failure = error ? toHttpFailure(error) : http_failure::ResponseLost;
    if (reader->skippedResponses > 0)
        outcome.failure = http_failure::Mismatch;
}

// True when writing the request may start.
auto maySend(const request_job &job) -> bool
{
    if (job.exchange->cancelled || monotonicNow() > job.sendBy)
        return false;
    return !job.options.maySend || job.options.maySend();
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
    if (!maySend(job)) {
        outcome.failure = http_failure::NotSent;
        finishJob(job, std::move(outcome));
        co_return;
    }
    co_await exchangeOn(client, message, job, outcome);
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
    if (!options.newConnection)
        exchange->connection = takeIdle(*client.impl, to, options.maxIdleAge,
                                        headerValue(request.headers, options.matchHeader));
    if (exchange->connection)
        exchange->executor = exchange->connection->stream.get_executor();
    else
        exchange->executor = asio::make_strand(client.impl->context);
    const auto now = monotonicNow();
    const auto deadline = now + options.timeout;
    const auto headDeadline = std::min(deadline, now + options.headTimeout);
    const auto sendBy = std::min(deadline, now + options.maxSendDelay);
    asio::co_spawn(exchange->executor,
                   runJob(client.impl,
                          request_job{to, std::move(request), options, std::move(done), exchange,
                                      deadline, headDeadline, sendBy}),
                   asio::detached);
    return {exchange};
}

auto reserveServerBytes(http_client &client, const endpoint &to, std::size_t bytes)
        -> std::shared_ptr<void>
{
    // Requests without a body have nothing to count.
    if (bytes == 0)
        return std::make_shared<std::size_t>(0);
    const auto limit = client.impl->options.maxBodyBytesPerServer;
    const std::lock_guard guard(client.impl->lock);
    const auto found = client.impl->serverBytes.find(to);
    const auto underWay = found == client.impl->serverBytes.end() ? 0 : found->second;
    if (limit > 0 && !maySendBody(underWay, bytes, limit))
        return nullptr;
    auto counted = std::make_shared<server_bytes>(client.impl, to, bytes);
    client.impl->serverBytes[to] += bytes;
    return counted;
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
