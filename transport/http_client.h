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
    Lost,
    TimedOut,
    // An answer came that is not the request's own.
    Mismatch,
};

inline constexpr name_table<http_failure, 5> httpFailureNames{{
        {http_failure::None, "none"},
        {http_failure::NotSent, "not_sent"},
        {http_failure::Lost, "lost"},
        {http_failure::TimedOut, "timed_out"},
        {http_failure::Mismatch, "mismatch"},
}};

struct http_outcome
{
    http_failure failure = http_failure::None;
    // Invariant: its status is 0 unless failure is None, so that it never looks like success.
    http_response response;
};

using http_callback = std::function<void(http_outcome)>;

struct http_client
{
    struct internals;
    std::shared_ptr<internals> inside;
};

struct http_send_options
{
    duration timeout = 1s;
    // A header that the answer has to return unchanged; empty when there is none.
    std::string matchHeader;
};

auto makeHttpClient(worker_pool &pool, std::size_t maxIdlePerEndpoint) -> http_client;

// Sends one request, never twice. The callback runs once, on any worker.
auto sendHttp(http_client &client, const endpoint &to, http_request request,
              const http_send_options &options, http_callback done) -> void;

} // namespace parsleyloft
