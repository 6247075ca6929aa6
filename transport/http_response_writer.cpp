// Writes responses to callers.
#include "transport/http_response_writer.h"

#include "core/time.h"
#include "transport/await_callback.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace parsleyloft {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr duration writeTimeout = 10s;

auto hasNoBody(unsigned status) -> bool
{
    return status < 200 || status == 204 || status == 304;
}

auto toBeastResponse(http_response &&response, bool keepAlive) -> http::response<http::string_body>
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

// A response whose body is sent in parts, as they are received.
auto toStreamedResponse(http_response &response, bool keepAlive, unsigned requestVersion)
        -> http::response<http::buffer_body>
{
    http::response<http::buffer_body> message;
    message.version(11);
    message.result(response.status);
    for (const auto &[name, value] : response.headers)
        message.insert(name, value);
    // A caller of HTTP/1.0 cannot read chunks: its body ends with the connection.
    constexpr unsigned version11 = 11;
    const auto &total = response.rest->totalBytes;
    message.keep_alive(keepAlive && (total || requestVersion >= version11));
    if (total)
        message.content_length(*total);
    else if (requestVersion >= version11)
        message.chunked(true);
    return message;
}

// Waits for the next part of a body.
auto awaitPart(const std::shared_ptr<body_stream> &rest) -> asio::awaitable<body_part>
{
    co_return co_await awaitCallback<body_part>(
            [&](body_part_callback done) { rest->read(std::move(done)); });
}

// Makes a body that ends with the connection look broken off.
auto resetConnection(beast::tcp_stream &stream) -> void
{
    boost::system::error_code ignored;
    stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream.socket().close(ignored);
}

} // namespace

auto writeTruncatedResponse(beast::tcp_stream &stream, const http_response &response)
        -> asio::awaitable<void>
{
    if (response.status == 0)
        co_return;
    auto text = "HTTP/1.1 " + std::to_string(response.status) + " Cut\r\n";
    for (const auto &[name, value] : response.headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    text += response.body.substr(0, *response.truncateAfterBytes);
    boost::system::error_code error;
    stream.expires_after(writeTimeout);
    co_await asio::async_write(stream, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, error));
}

auto writeResponse(beast::tcp_stream &stream, http_response response, bool keepAlive)
        -> asio::awaitable<bool>
{
    auto message = toBeastResponse(std::move(response), keepAlive);
    boost::system::error_code error;
    stream.expires_after(writeTimeout);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

auto writeStreamedResponse(beast::tcp_stream &stream, http_response response, bool keepAlive,
                           unsigned requestVersion) -> asio::awaitable<bool>
{
    auto message = toStreamedResponse(response, keepAlive, requestVersion);
    const auto reusable = message.keep_alive();
    http::response_serializer<http::buffer_body> serializer(message);
    body_part part;
    part.bytes = std::move(response.body);
    while (true) {
        message.body().data = part.bytes.empty() ? nullptr : part.bytes.data();
        message.body().size = part.bytes.size();
        message.body().more = !part.last;
        boost::system::error_code error;
        stream.expires_after(writeTimeout);
        co_await http::async_write(stream, serializer,
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error && error != http::error::need_buffer)
            co_return false;
        if (part.last)
            co_return reusable;
        part = co_await awaitPart(response.rest);
        if (part.failed) {
            resetConnection(stream);
            co_return false;
        }
    }
}

} // namespace parsleyloft
