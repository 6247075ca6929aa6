// A request that waits in a permit queue, and why one is refused.
#pragma once

#include "decisions/fair_share.h"
#include "decisions/permit_server.h"

namespace parsleyloft {

struct permit_request
{
    permit_number number = 0;
    route_name route;
    std::uint32_t priority = 0;
    // The key of a keyed request, and the caller's client account or empty: requests of the same
    // level share what there is between accounts and between keys.
    std::optional<key_number> key;
    std::string account;
    // The only server that may run the request, or empty when any of the group may.
    server_id owner;
    // Servers on which the request has already failed.
    std::vector<server_id> excluded;
    instant arrived{};
    // An answer after this instant misses the route's target.
    instant targetEnds{};
    instant deadline{};
    // True when the request may wait even if it can't meet its target.
    bool acceptLate = false;
    // True for a second attempt of a running request that any server may run: it is refused at once
    // instead of waiting, and takes no slot that a waiting request could use.
    bool immediate = false;
    // The requesting host treats the call as lost if it has no reply by this instant.
    instant answerBy = instant::max();
    // True when the queue has had the request before and answered StillWaiting.
    bool askedAgain = false;
    // Set on admission, from the expected latency at that time. A request sent after lateAfter
    // misses its target; at refuseAt it is refused.
    instant lateAfter{};
    instant refuseAt{};
    // The classes that the request was queued under. Empty when any server may run it.
    fair_path lane;
};

enum class refusal : std::uint8_t {
    None = 0,
    // No server of the group may take the request.
    NoServer,
    // The expected wait is so long that the request would miss its target.
    WouldBeLate,
    // The request waited until refuseAt.
    Expired,
    // Sent at answerBy. The requesting host requests the permit again; the request's urgency
    // depends on its arrival and target, so it keeps its place in the queue.
    StillWaiting,
    // An immediate request found other requests waiting, or no free slot.
    Busy,
};

inline constexpr name_table<refusal, 6> refusalNames{{
        {refusal::None, "none"},
        {refusal::NoServer, "no_server"},
        {refusal::WouldBeLate, "would_be_late"},
        {refusal::Expired, "expired"},
        {refusal::StillWaiting, "ask_again"},
        {refusal::Busy, "busy"},
}};

} // namespace parsleyloft
