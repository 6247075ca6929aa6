// Writes responses to callers. Included only by files that contain coroutines.
#pragma once

#include "transport/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core.hpp>

namespace parsleyloft {

// Writes the beginning of a response, to simulate a failing server.
auto writeTruncatedResponse(boost::beast::tcp_stream &stream, const http_response &response)
        -> boost::asio::awaitable<void>;

// Returns false if the response could not be sent.
auto writeResponse(boost::beast::tcp_stream &stream, http_response response, bool keepAlive)
        -> boost::asio::awaitable<bool>;

// Sends a response while its body is being received. Returns false if the connection must be
// closed, also because the body broke off.
auto writeStreamedResponse(boost::beast::tcp_stream &stream, http_response response, bool keepAlive,
                           unsigned requestVersion) -> boost::asio::awaitable<bool>;

} // namespace parsleyloft
