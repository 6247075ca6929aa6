// What a host knows of one request while it serves it.
#pragma once

#include "decisions/attempt_rules.h"
#include "platform/server_messages.h"
#include "router/permits.h"

namespace parsleyloft {

// Used by one worker at a time, but for the members beside the lock.
struct request_flow
{
    request_flow(router_process &at, http_request &&received, http_responder &&answerTo)
        : router(at)
        , request(std::move(received))
        , respond(std::move(answerTo))
    { }

    router_process &router;
    http_request request;
    http_responder respond;
    caller_request asked;
    shared_routes routes;
    const route *way = nullptr;
    service_name service;
    bool keyed = false;
    instant arrived{};
    instant targetEnds{};
    // When the caller must have an answer.
    instant deadline{};
    std::uint64_t seed = 0;

    attempt_history history;
    std::vector<server_id> excluded;
    // Groups that refused the request because it would be late.
    std::set<group_id> refusedBy;
    bool askedLate = false;
    duration expectedWait = 0us;
    duration permitWait = 0us;
    // A server's own failure, which the caller gets when nothing better comes.
    std::optional<http_response> kept;

    held_permit permit;
    instant askedAt{};
    instant sentAt{};

    std::mutex lock;
    // All guarded by lock.
    bool ended = false;
    bool gone = false;
    http_exchange exchange;
};

using shared_flow = std::shared_ptr<request_flow>;

} // namespace parsleyloft
