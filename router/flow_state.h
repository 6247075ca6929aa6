// State of one caller request while this host serves it.
#pragma once

#include "decisions/attempt_rules.h"
#include "platform/server_messages.h"
#include "router/permits.h"

namespace parsleyloft {

// One send of a request to a server.
struct server_attempt
{
    held_permit permit;
    // Where the request was sent.
    endpoint serverAddress;
    // The incarnation of the permit's server.
    std::int64_t serverStartMs = 0;
    instant sentAt{};
    // Guarded by the lock of the request.
    http_exchange exchange;
};

// The second attempt of a request, which may run beside the first.
//
// While it is planned, requested or running, two workers may use the request. What a worker needs
// of the members that the lock doesn't guard it then reads or writes with the lock held, until the
// progress is settled. Only the worker that settles it goes on with the request.
struct hedge_state
{
    // All guarded by the lock of the request.
    hedge_progress progress;
    bool secondAnswered = false;
    // Set before the second attempt is sent, and not changed afterwards.
    server_attempt second;
    server_id firstServer;
    duration delay = 0us;
};

// Used by one worker at a time, except for the members guarded by the lock.
struct request_flow
{
    request_flow(router_process &process, http_request &&received, http_responder &&responder)
        : router(process)
        , request(std::move(received))
        , respond(std::move(responder))
    { }

    router_process &router;
    http_request request;
    http_responder respond;
    // The decoded headers of request.
    caller_request callerRequest;
    shared_routes routes;
    const route *matchedRoute = nullptr;
    // The account that the request belongs to, part of routes. Null where it needs none.
    const client_account *account = nullptr;
    // The token that the request holds, if its account has a quota, and until when it may be spent.
    std::optional<instant> tokenExpires;
    // True once the request has been sent with its token. Later attempts need no further one.
    bool tokenSpent = false;
    service_name service;
    bool keyed = false;
    instant arrived{};
    instant targetEnds{};
    // The caller must have an answer by then.
    instant deadline{};
    // True when the deadline is the end of this host, which comes before the request's own.
    bool endsWithHost = false;
    // Hash of the request id, for choices that spread requests.
    std::uint64_t seed = 0;

    attempt_history history;
    // Servers that the request must not be sent to again.
    std::vector<server_id> excluded;
    // Groups that refused the request because it would miss its target.
    std::set<group_id> refusedBy;
    // True once a group was asked to serve the request even after its target.
    bool lateRequested = false;
    // The longest wait reported with a refusal.
    duration expectedWait = 0us;
    // When the queue of the last refusal has planned for the caller to return, or 0.
    duration returnAfter = 0us;
    // Time spent waiting for permits, over all attempts.
    duration permitWait = 0us;
    // The failure response of a server. The caller gets it if no later attempt succeeds.
    std::optional<http_response> serverFailure;

    instant permitRequestedAt{};
    // The latest attempt.
    server_attempt attempt;

    std::mutex lock;
    // All guarded by lock. True once the caller has been answered.
    bool finished = false;
    // True once the caller has closed its connection.
    bool callerGone = false;
    // Null unless a second attempt may be made. Not changed once it is set, which is before the
    // first attempt is sent.
    std::unique_ptr<hedge_state> hedge;
};

using shared_flow = std::shared_ptr<request_flow>;

} // namespace parsleyloft
