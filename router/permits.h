// Permits to send requests to backend servers. They are requested from the queue host of a group,
// which may be this host.
#pragma once

#include "router/router.h"

namespace parsleyloft {

struct group_permit_request
{
    group_id group;
    request_id request;
    route_name route;
    std::uint32_t priority = 0;
    // The key, if the service is keyed.
    std::optional<key_number> key;
    // The caller's client account, or empty.
    std::string account;
    // The only server that may run the request, or empty.
    server_id owner;
    // Servers that the request must not be sent to again.
    std::vector<server_id> excluded;
    duration target = 0us;
    instant targetEnds{};
    instant deadline{};
    // The request stays queued even when it cannot meet its target.
    bool acceptLate = false;
    // The request is refused at once instead of waiting.
    bool immediate = false;
    // The requesting host treats a missing answer as a failure after this.
    instant answerBy = instant::max();
    // True when a queue host has answered that this request still waits.
    bool askedAgain = false;
};

// An outstanding permit, and the host to return it to.
struct held_permit
{
    group_id group;
    host_id queueHost;
    permit_number number = 0;
    server_id server;
};

struct permit_outcome
{
    // Empty when the request was refused.
    std::optional<held_permit> permit;
    refusal reason = refusal::None;
    duration expectedWait = 0us;
    // When the caller of a refused request should return, or 0 when that is not planned.
    duration returnAfter = 0us;
};

// Requests a permit from the group's queue host, and from the next candidate when that one does
// not answer. The last resort is the queue of this host.
auto requestPermit(router_process &router, group_permit_request request,
                   std::function<void(permit_outcome)> done) -> void;

auto returnHeldPermit(router_process &router, const held_permit &permit,
                      const permit_return &returned) -> void;

// Handlers for calls from other hosts.
auto answerPermitRequest(router_process &router, const wire::PermitRequest &request,
                         peer_responder<wire::PermitReply> respond) -> void;
auto answerPermitReturn(router_process &router, const wire::PermitReturn &returned) -> void;

// The wait that the group's queue host last reported, if the report is recent.
auto reportedWait(router_process &router, const group_id &group) -> std::optional<duration>;

} // namespace parsleyloft
