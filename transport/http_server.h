// An HTTP/1.1 server. Built on Boost.Beast, runs on a worker pool.
#pragma once

#include "decisions/pipeline.h"
#include "transport/http_message.h"
#include "transport/worker_pool.h"

namespace parsleyloft {

// Sends the response to one request. Must be called exactly once, from any worker.
using http_responder = std::function<void(http_response)>;
// Called once for each request, on any worker.
using http_handler = std::function<void(http_request, http_responder)>;
// True if a request may run while earlier requests of its connection are not answered, and may run
// again. Called for requests that are read behind others, on any worker.
using http_overlap_rule = std::function<bool(const http_request &)>;

struct http_server
{
    struct internals;
    std::shared_ptr<internals> impl;
};

// Whatever the limits say, no more bytes of headers are read.
inline constexpr std::size_t maxReadHeaderBytes = std::size_t(64) * 1024;

// Limits on the size and duration of requests. May be changed while the server runs.
struct http_limits
{
    // A limit above maxReadHeaderBytes counts as that.
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 64 * 1024;
    // From the first byte of a request to the end of its headers.
    duration headerTimeout = 60s;
    // Between two requests on a connection, and for receiving a body.
    duration idleTimeout = 60s;
    // The limits hold only until others are set. A request that exceeds them may be proper: it is
    // passed to the handler as incomplete instead of being refused as too large.
    bool preliminary = false;
};

struct http_server_options
{
    std::size_t maxBodyBytes = 64 * 1024;
    // For test stand-ins only: delay before the first request of a new connection is read.
    duration connectionCost = 0us;
    // In force until others are set, if given. They replace maxBodyBytes.
    std::optional<http_limits> limits = std::nullopt;
    // Without it, the requests of a connection are served one at a time.
    http_overlap_rule mayOverlap = {};
    pipeline_limits pipelining = {};
    // Bodies of requests are counted against this budget if it is given. A body that it has no room
    // for is passed to the handler as evicted.
    shared_memory_account memory = nullptr;
    // Beyond it, idle connections and those with the least progress are closed. 0: no limit.
    std::size_t maxConnections = 0;
    // Size of the kernel's buffer for received bytes of a connection. 0: the system's.
    std::size_t receiveBufferBytes = 0;
    // Called on any worker with the number of connections that were closed at the limit, or because
    // the process had no descriptor left, and of those that were open. May be called before the
    // start has returned.
    std::function<void(std::size_t closed, std::size_t open)> onConnectionsClosed = nullptr;
};

// Listens on the address and serves requests. Fails with InvalidInput for a malformed address and
// with Unreachable if the port is in use.
auto startHttpServer(worker_pool &pool, const endpoint &address, const http_server_options &options,
                     http_handler handler) -> result<http_server>;

auto setHttpLimits(http_server &server, const http_limits &limits) -> void;

// Applies to requests that are read later.
auto setPipelineLimits(http_server &server, const pipeline_limits &limits) -> void;

// Starts draining: each connection is closed after its current response, and after those of the
// requests that run behind it, idle ones soon after.
auto beginHttpDrain(worker_pool &pool, http_server &server) -> void;

// Stops accepting connections. Open connections continue to be served.
auto stopListening(http_server &server) -> void;

auto countOpenConnections(const http_server &server) -> std::size_t;
// Requests whose response has not been sent completely.
auto countOpenRequests(const http_server &server) -> std::size_t;

} // namespace parsleyloft
