// Permits to send to backend servers: asked of the host that keeps a group's queue, which
// may be this one.
#pragma once

#include "router/router.h"

namespace parsleyloft {

struct permit_ask
{
    group_id group;
    request_id request;
    route_name route;
    std::uint32_t priority = 0;
    // The only server that may run the request, or empty.
    server_id owner;
    std::vector<server_id> excluded;
    duration target = 0us;
    instant targetEnds{};
    instant deadline{};
    bool acceptLate = false;
    instant answerBy = instant::max();
};

// A permit that is out, and where to return it.
struct held_permit
{
    group_id group;
    host_id keeper;
    permit_number number = 0;
    server_id server;
};

struct permit_outcome
{
    // Nothing when the request was refused.
    std::optional<held_permit> permit;
    refusal why = refusal::None;
    duration expectedWait = 0us;
};

// Asks the group's keeper, and the next one when it does not answer; this host is the last.
auto askPermit(router_process &router, permit_ask ask, std::function<void(permit_outcome)> done)
        -> void;

auto givePermitBack(router_process &router, const held_permit &permit,
                    const permit_return &returned) -> void;

// Answers other hosts.
auto answerPermitRequest(router_process &router, const wire::PermitRequest &request,
                         peer_responder<wire::PermitReply> respond) -> void;
auto answerPermitReturn(router_process &router, const wire::PermitReturn &returned) -> void;

// What the group's keeper last said of its wait, if that is recent.
auto heardWait(router_process &router, const group_id &group) -> std::optional<duration>;

} // namespace parsleyloft
