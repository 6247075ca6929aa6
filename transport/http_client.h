// An HTTP/1.1 client with connections kept open, over a worker pool, by Boost.Beast.
#pragma once

#include "transport/http_message.h"
#include "transport/worker_pool.h"

namespace parsleyloft {

enum class http_failure {
    None,
    // No byte of the request left this host.
    NotSent,
    // The request may have arrived; no whole answer came.
    ResponseLost,
    TimedOut,
    // An answer came that is not the request's own.
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
    // Invariant: its status is 0 unless failure is None, so that it never looks like success.
    http_response response;
    // True when the request went over a connection that had carried others.
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
    // A header that the answer has to return unchanged; empty when there is none. Answers
    // to earlier requests that come first are passed over.
    std::string matchHeader;
    // Only a connection that was used so recently carries the request.
    duration maxIdleAge = 1h;
    // Leave the headers as they are, the Host header included.
    bool preserveHeaders = false;
    // How long a new connection may take to be established.
    duration connectTimeout = 1h;
    // A request that has not begun to leave so long after the call is not sent at all.
    duration maxSendDelay = 1h;
};

struct http_client_options
{
    std::size_t maxIdlePerEndpoint = 2;
    // Sent bytes that stay unacknowledged for so long end the connection.
    duration tcpUserTimeout = 0us;
    // A silent connection is probed after so long; 0 for never.
    duration keepAliveInterval = 0us;
    std::size_t maxBodyBytes = 64 * 1024 * 1024;
};

// One request under way, for cancelling it.
struct http_exchange
{
    struct internals;
    std::weak_ptr<internals> impl;
};

auto makeHttpClient(worker_pool &pool, std::size_t maxIdlePerEndpoint) -> http_client;
auto makeHttpClient(worker_pool &pool, const http_client_options &options) -> http_client;

// Sends one request, never twice. The callback runs once, on any worker.
auto sendHttp(http_client &client, const endpoint &to, http_request request,
              const http_send_options &options, http_callback done) -> http_exchange;

// Closes the connection of an exchange that has not ended; it then ends as Cancelled.
auto cancelHttp(const http_exchange &exchange) -> void;

// Closes connections that the servers have closed or will close soon.
auto dropStaleConnections(http_client &client) -> void;

} // namespace parsleyloft
