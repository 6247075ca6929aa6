// An HTTP/1.1 listener over a worker pool, by Boost.Beast.
#pragma once

#include "transport/http_message.h"
#include "transport/worker_pool.h"

namespace parsleyloft {

// Called once for each request, from any worker.
using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server
{
    struct internals;
    std::shared_ptr<internals> impl;
};

// What callers may send and how long they may take. Changed while the server runs.
struct http_limits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 64 * 1024;
    // From the first byte of a request to the end of its headers.
    duration headerTimeout = 60s;
    // Between two requests of one connection, and while a body comes.
    duration idleTimeout = 60s;
};

struct http_server_options
{
    std::size_t maxBodyBytes = 64 * 1024;
    // Test stand-ins only: what a new connection costs before its first request.
    duration connectionCost = 0us;
};

// Listens and serves. Fails with InvalidInput or Unreachable (the port is taken).
auto startHttpServer(worker_pool &pool, const endpoint &at, const http_server_options &options,
                     http_handler handler) -> result<http_server>;

auto setHttpLimits(http_server &server, const http_limits &limits) -> void;

// Asks callers to leave: each response closes its connection, idle connections end soon.
auto beginHttpDrain(worker_pool &pool, http_server &server) -> void;

// Stops listening. Connections go on.
auto stopListening(http_server &server) -> void;

// Open connections, and requests without a complete response.
auto countOpenConnections(const http_server &server) -> std::size_t;
auto countOpenRequests(const http_server &server) -> std::size_t;

} // namespace parsleyloft
