// Reads requests of callers. Included only by files that contain coroutines.
#pragma once

#include "transport/http_connection.h"
#include "transport/http_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace parsleyloft {

using http_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using http_message = boost::beast::http::request<boost::beast::http::buffer_body>;

// A body while it is being received. Accessed on the connection's strand.
struct body_receipt
{
    shared_memory_account account;
    // Null before the first byte of a body is expected.
    std::shared_ptr<received_body> body = nullptr;
    // True once the budget has refused bytes, also if the body itself was evicted.
    bool refused = false;
};

auto toRequest(const http_message &message, const body_receipt &receipt) -> http_request;

auto isTooLarge(boost::system::error_code error) -> bool;

// The response to a request that could not be read.
auto errorResponse(boost::system::error_code error) -> http_response;

// True if the connection was closed, reset, cancelled or timed out, so that no error response is
// sent.
auto isConnectionLost(boost::system::error_code error) -> bool;

// True if the framing could be interpreted differently by another HTTP implementation, which
// would allow request smuggling.
auto isAmbiguous(const http_message &message) -> bool;

// True if the request was not received as a whole, but may be proper under limits set later.
auto isIncomplete(boost::system::error_code error, const http_limits &limits,
                  const http_message &message) -> bool;

// Waits until the condition holds. Until then it receives up to maxWaitingBytes, so that the end of
// the connection is noticed. Returns false once the connection is finished.
auto awaitCondition(const shared_connection &connection, bool (*condition)(const open_connection &))
        -> boost::asio::awaitable<bool>;

// Reads one complete request. Returns the error if it fails, operation_aborted if the memory budget
// refused the body. Pauses while the connection holds too many bytes of earlier requests.
auto readRequest(const http_limits &limits, const shared_connection &connection,
                 http_parser &parser, body_receipt &receipt)
        -> boost::asio::awaitable<boost::system::error_code>;

// Receives up to this many bytes of a refused request, or behind the last response, for some time.
// A connection that is closed with unread bytes is reset, and the caller may get the reset instead
// of the response.
auto discardRest(const shared_connection &connection, std::size_t maxBytes)
        -> boost::asio::awaitable<void>;

} // namespace parsleyloft
