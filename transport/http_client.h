// An HTTP/1.1 client with persistent connections. Built on Boost.Beast, runs on a worker pool.
#pragma once

#include "transport/http_message.h"
#include "transport/worker_pool.h"

#include <limits>

namespace parsleyloft {

enum class http_failure {
    None,
    // No byte of the request was sent.
    NotSent,
    // The request may have reached the server, but no complete response was received.
    ResponseLost,
    TimedOut,
    // The response received belongs to another request.
    Mismatch,
    Cancelled,
};

inline constexpr name_table<http_failure, 6> httpFailureNames{{
        {http_failure::None, "none"},
        {http_failure::NotSent, "not_sent"},
        {http_failure::ResponseLost, "lost"},
        {http_failure::TimedOut, "timed_out"},
        {http_failure::Mismatch, "mismatch"},
        {http_failure::Cancelled, "cancelled"},
}};

struct http_outcome
{
    http_failure failure = http_failure::None;
    // Invariant: the status is 0 unless failure is None, so that a failed exchange is never
    // mistaken for a success.
    http_response response;
    // True when the request was sent over a connection that had carried earlier requests.
    bool reused = false;
};

using http_callback = std::function<void(http_outcome)>;

struct http_client
{
    struct internals;
    std::shared_ptr<internals> impl;
};

struct http_send_options
{
    duration timeout = 1s;
    // Name of a request header that the response must repeat unchanged; empty for none.
    // Responses with another value, or without the header, belong to other requests and are
    // skipped. A request without the header gets the first response without it. No connection
    // carries two requests with the same value.
    std::string matchHeader;
    // Send over a connection that has carried no earlier request.
    bool newConnection = false;
    // Idle connections that were last used longer ago are not reused for this request.
    duration maxIdleAge = 1h;
    // Send the headers unchanged, without setting Host.
    bool preserveHeaders = false;
    // Limit for establishing a new connection.
    duration connectTimeout = 1h;
    // The bytes of a response's body that may be held at once. The rest of a longer body is left to
    // the body_stream of the response. 0: the whole body is received first.
    std::size_t heldBytes = 0;
    // A body that is received as a whole must not be longer than this, or than the client's limit.
    std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max();
    // If writing has not started this long after the call, the request is not sent.
    duration maxSendDelay = 1h;
    // Called without locks right before writing, after the connect. The request is not sent if it
    // returns false.
    std::function<bool()> maySend = nullptr;
    // From reserveServerBytes. Held until the exchange has ended.
    std::shared_ptr<void> serverBytes = nullptr;
    // Limit for the head of the response, counted from the call. The body may take the rest of the
    // timeout.
    duration headTimeout = 1h;
};

struct http_client_options
{
    std::size_t maxIdlePerEndpoint = 2;
    // TCP_USER_TIMEOUT: sent data left unacknowledged for this long closes the connection;
    // 0 for the system default.
    duration tcpUserTimeout = 0us;
    // TCP keep-alive: idle time before the first probe, and between probes; 0 disables it.
    duration keepAliveInterval = 0us;
    // A body that is received as a whole must not be longer.
    std::size_t maxBodyBytes = 64 * 1024 * 1024;
    // Bytes of bodies held for all requests together. Beyond them the bodies of further responses
    // are held in small parts only, and longer ones that are received as a whole fail.
    std::size_t maxHeldBytes = 256 * 1024 * 1024;
    // Bodies are counted against this budget instead of maxHeldBytes if it is given.
    shared_memory_account memory = nullptr;
    // Size of the kernel's buffer for received bytes of a connection. 0: the system's.
    std::size_t receiveBufferBytes = 0;
    // Bytes of requests' bodies that are sent to one server at once. A single body may be larger.
    // 0: no limit.
    std::size_t maxBodyBytesPerServer = 0;
};

// Handle of a request in progress, used to cancel it.
struct http_exchange
{
    struct internals;
    std::weak_ptr<internals> impl;
};

auto makeHttpClient(worker_pool &pool, std::size_t maxIdlePerEndpoint) -> http_client;
auto makeHttpClient(worker_pool &pool, const http_client_options &options) -> http_client;

// Sends one request, without retrying. The callback runs exactly once, on any worker.
auto sendHttp(http_client &client, const endpoint &to, http_request request,
              const http_send_options &options, http_callback done) -> http_exchange;

// Counts bytes of a body as under way to a server until the result is destroyed. Returns null if
// the server must not be sent a body of this size now.
auto reserveServerBytes(http_client &client, const endpoint &to, std::size_t bytes)
        -> std::shared_ptr<void>;

// Closes the connection of an unfinished exchange, which then ends as Cancelled, or as NotSent
// if no byte was sent.
auto cancelHttp(const http_exchange &exchange) -> void;

// Removes idle connections that the server has closed or is about to close.
auto dropStaleConnections(http_client &client) -> void;

} // namespace parsleyloft
