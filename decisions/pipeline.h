// The order in which the requests of one connection of a caller are read, run and answered.
#pragma once

#include "core/names.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace parsleyloft {

struct pipeline_limits
{
    // Requests in flight on one connection. With 1, each request is read after the response to the
    // one before it.
    std::size_t maxRequests = 1;
    // Bytes of requests that were read and of responses that wait for an earlier one. A single
    // request may exceed this.
    std::size_t maxBytes = std::size_t(256) * 1024;
};

enum class pipeline_stage : std::uint8_t { Waiting, Running, Answered };

inline constexpr name_table<pipeline_stage, 3> pipelineStageNames{{
        {pipeline_stage::Waiting, "waiting"},
        {pipeline_stage::Running, "running"},
        {pipeline_stage::Answered, "answered"},
}};

struct pipelined_request
{
    // The request may run while earlier requests of its connection are not answered.
    bool mayOverlap = false;
    pipeline_stage stage = pipeline_stage::Waiting;
    std::size_t heldBytes = 0;
};

// The requests in flight on one connection.
// Invariants: a request that may not overlap leaves the stage Waiting only as the first one, when
// all responses before it have been sent and kept the connection open. heldBytes is the sum over
// all requests.
struct pipeline
{
    pipeline_limits limits;
    // In the order of arrival. The response to the first one is sent next.
    std::vector<pipelined_request> requests;
    std::size_t heldBytes = 0;
    // No further request is read. The response to the last one closes the connection.
    bool readingEnded = false;
};

// True if the next request may be read.
auto mayReadNext(const pipeline &line) -> bool;

// True if more may be received of a request of which this many bytes have come.
auto mayReceiveMore(const pipeline &line, std::size_t receivedBytes) -> bool;

auto addRequest(pipeline &line, bool mayOverlap, std::size_t bytes) -> void;

// True if the request at this position may be passed to the handler now. A draining server starts
// only first requests: what is behind them can still be sent elsewhere.
auto mayStart(const pipeline &line, std::size_t position, bool draining) -> bool;

auto recordStart(pipeline &line, std::size_t position) -> void;
auto recordResponse(pipeline &line, std::size_t position, std::size_t bytes) -> void;

// True if the response to the first request is the last of the connection, apart from what the
// request and the response state themselves. While draining, responses go on as long as the next
// request has been started.
auto isLastResponse(const pipeline &line, bool draining) -> bool;

// The number of requests at the front that have a response.
auto countAnswered(const pipeline &line) -> std::size_t;

auto removeFirst(pipeline &line) -> void;
// Removes the requests from this position on.
auto removeFrom(pipeline &line, std::size_t position) -> void;

} // namespace parsleyloft
