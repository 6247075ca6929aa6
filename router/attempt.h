// One send of a request to a backend server: its permit, its exchange, and what its end says about
// the server.
#pragma once

#include "router/flow_state.h"

namespace parsleyloft {

// The incarnation of a server that a permit may be used for.
struct attempt_target
{
    endpoint address;
    std::int64_t startTimeMs = 0;
    // Counts the request's body as under way to the server.
    std::shared_ptr<void> serverBytes;
};

// What an ended attempt says about the request and the server.
struct attempt_end
{
    permit_result result = permit_result::Unused;
    attempt_report report;
    http_response response;
    bool reusedConnection = false;
    duration latency = 0us;
    instant at{};
};

// Handles the end of an attempt, on any worker.
using attempt_handler = void (*)(const shared_flow &flow, server_attempt &attempt,
                                 http_outcome &&outcome);

// The server's address, if it is in use, has not requested a pause from this host, and may be sent
// the request's body beside the bodies that are under way to it.
auto findTarget(request_flow &flow, const server_id &server, instant now)
        -> std::optional<attempt_target>;

// Returns a permit with which nothing was sent.
auto returnUnused(router_process &router, const held_permit &permit) -> void;

// Takes one repeat from the service's budget. Returns false when it is spent.
auto takeRepeatBudget(router_process &router, const service_name &service) -> bool;

// Each first send of a request adds to the service's budget for repeats.
auto addToRepeatBudget(request_flow &flow) -> void;

// Sends the request with the attempt's permit. The attempt is a part of the flow.
auto sendAttempt(const shared_flow &flow, server_attempt &attempt, const attempt_target &target,
                 instant now, attempt_handler handle) -> void;

// Returns the attempt's permit with its result, and records what the server stated about itself.
auto endAttempt(request_flow &flow, server_attempt &attempt, http_outcome &&outcome) -> attempt_end;

auto logFailedAttempt(const request_flow &flow, const server_attempt &attempt,
                      const attempt_end &end, std::string_view nextAction) -> void;

// Logs if the rest of an answer breaks off after its beginning was sent to the caller.
auto logBrokenStream(const request_flow &flow, const server_attempt &attempt, body_stream &rest)
        -> void;

} // namespace parsleyloft
