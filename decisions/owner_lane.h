// The requests that wait for one server, because only it holds their keys: which of them may wait,
// and which is sent next. Part of a permit queue.
//
// Addresses a server whose demand exceeds what it can do: by one hot key, by routes of different
// priority, or by all together.
#pragma once

#include "decisions/admission.h"
#include "decisions/fair_share.h"
#include "decisions/permit_request.h"
#include "decisions/permit_server.h"
#include "decisions/return_schedule.h"

namespace parsleyloft {

// The demand of one priority level, whether or not it is served.
struct level_demand
{
    // Expected work in microseconds. Work requested long ago counts less.
    double work = 0;
    // The part of it that was admitted.
    double admitted = 0;
    instant updatedAt{};
    // When a request of the level last came, and when one was last refused for lack of time.
    instant askedAt{};
    instant refusedAt{};
};

struct owner_lane
{
    fair_node waiting;
    std::map<std::uint32_t, level_demand> levels;
    return_schedule returns;
};

// Decides whether the request waits in the lane, sets its limits and path, and adds it. Records
// its demand in any case.
auto admitToLane(owner_lane &lane, const latency_statistics &latencies, const permit_server &server,
                 permit_request &request, instant now) -> refusal;

// Removes and returns the number of the request to be sent next, or 0. The server has a free slot.
auto takeFromLane(owner_lane &lane, const permit_server &server, instant now) -> permit_number;

auto removeFromLane(owner_lane &lane, const permit_request &request) -> void;

// True when a request that has become late is to be refused now, because others need its place.
auto mustGiveWay(owner_lane &lane, const permit_server &server, const permit_request &request,
                 instant now) -> bool;

// How long the caller of a refused request should wait before it returns.
auto planLaneReturn(owner_lane &lane, const latency_statistics &latencies,
                    const permit_server &server, const permit_request &request, instant now)
        -> duration;

// The expected wait of a request that arrives behind all others.
auto expectedLaneWait(const owner_lane &lane, const latency_statistics &latencies,
                      const permit_server &server, instant now) -> duration;

} // namespace parsleyloft
