// The permit queue of a group: admission, choice of servers, and their statistics.
#include "decisions/permit_queue.h"

#include <algorithm>
#include <array>

namespace parsleyloft {

namespace {

// A failure costs about two answers: the lost one and its repetition.
constexpr double failureCost = 3;
// Time that the return of a permit may take to arrive after the deadline.
constexpr duration returnGrace = 100ms;
// After this long without a request, another host may have run the queue in the meantime.
constexpr duration hostChangeGap = 5s;
// A request that can't meet its target waits for this fraction of the target, then is refused.
constexpr int lateWaitDivisor = 3;
// Waits vary: a request is considered safe only if it is in time after this multiple of the
// expected wait.
constexpr int waitSafetyFactor = 3;
// How often a late request for an owner is checked for others that need its place.
constexpr duration lateCheckPeriod = 50ms;
// The targets of the users' routes differ by about this much.
constexpr duration priorityDelay = 150ms;

auto costOf(const permit_queue &queue, const permit_server &server, const route_name &route,
            instant now) -> double
{
    const auto latency = expectedLatency(queue, server, route, now).count();
    return static_cast<double>(latency) * (1 + failureCost * server.failures);
}

auto hasFreeSlot(const permit_queue &queue, const permit_server &server, instant now) -> bool
{
    if (!hasRoom(server, now))
        return false;
    if (!isCold(server, now))
        return true;
    return queue.mayUseColdServers && now >= queue.coldPausedUntil && !isColdRateSpent(server, now);
}

auto hasAnyFreeSlot(const permit_queue &queue, instant now) -> bool
{
    return std::any_of(queue.servers.begin(), queue.servers.end(),
                       [&](const auto &entry) { return hasFreeSlot(queue, entry.second, now); });
}

auto isEligible(const permit_server &server, const permit_request &request) -> bool
{
    if (!server.usable)
        return false;
    return std::find(request.excluded.begin(), request.excluded.end(), server.id)
            == request.excluded.end();
}

auto isLate(const permit_request &request, instant now) -> bool
{
    return now > request.lateAfter;
}

// Sets lateAfter and refuseAt. A request that becomes late may still wait for a while.
auto setWaitLimits(const permit_queue &queue, permit_request &request) -> void
{
    const auto target = request.targetEnds - request.arrived;
    request.lateAfter = request.targetEnds - latencyOfRoute(queue, request.route);
    const auto lateSince = std::max(request.lateAfter, request.arrived);
    request.refuseAt = std::min(request.deadline, lateSince + target / lateWaitDivisor);
}

// The server with the lowest cost among those with a free slot. Returns null when there is none,
// or when only a server that is busy now would meet the target.
auto chooseServer(permit_queue &queue, const permit_request &request, instant now)
        -> permit_server *
{
    permit_server *best = nullptr;
    double bestCost = 0;
    auto busyServerOnTime = false;
    for (auto &[id, server] : queue.servers) {
        if (!isEligible(server, request))
            continue;
        const auto onTime =
                now + expectedLatency(queue, server, request.route, now) <= request.targetEnds;
        if (!hasFreeSlot(queue, server, now)) {
            busyServerOnTime = busyServerOnTime || (onTime && now >= server.pausedUntil);
            continue;
        }
        const auto cost = costOf(queue, server, request.route, now);
        if (best == nullptr || cost < bestCost) {
            best = &server;
            bestCost = cost;
        }
    }
    if (best == nullptr)
        return nullptr;
    const auto meetsTarget =
            now + expectedLatency(queue, *best, request.route, now) <= request.targetEnds;
    return meetsTarget || !busyServerOnTime || isLate(request, now) ? best : nullptr;
}

// Requests that can still meet their target go first, ordered by the end of the target. Each
// priority level of the route delays a request by a fixed time: strict priorities would starve
// the lower levels whenever slots are short.
struct urgency
{
    bool late = false;
    instant due{};
    permit_number number = 0;

    auto operator<=>(const urgency &) const = default;
};

auto computeUrgency(const permit_request &request, instant now) -> urgency
{
    // Of two requests with the same target the one with the shorter expected latency goes first,
    // since a slot serves more short requests.
    const auto latency = request.targetEnds - request.lateAfter;
    const auto due = request.targetEnds + request.priority * priorityDelay + latency;
    return {isLate(request, now), due, request.number};
}

auto orderByUrgency(const permit_queue &queue, instant now) -> std::vector<permit_number>
{
    std::vector<urgency> ranks;
    ranks.reserve(queue.unowned.size());
    for (const auto number : queue.unowned)
        ranks.push_back(computeUrgency(queue.waiting.at(number), now));
    std::sort(ranks.begin(), ranks.end());
    std::vector<permit_number> order;
    order.reserve(ranks.size());
    for (const auto &rank : ranks)
        order.push_back(rank.number);
    return order;
}

// The wait of a request that any server may run, with this many others ahead of it.
auto estimateWait(const permit_queue &queue, std::size_t ahead, instant now) -> duration
{
    const auto latency = static_cast<double>(std::max(queue.meanLatency, duration(1)).count());
    double startsPerMicrosecond = 0;
    for (const auto &[id, server] : queue.servers) {
        if (!server.usable || now < server.pausedUntil)
            continue;
        if (hasFreeSlot(queue, server, now))
            return 0us;
        startsPerMicrosecond += server.slots / (latency * currentSlowness(server, now));
    }
    if (startsPerMicrosecond <= 0)
        return 1h;
    return duration(
            static_cast<std::int64_t>(static_cast<double>(ahead + 1) / startsPerMicrosecond));
}

// The number of waiting requests that are more urgent than this one.
auto countAhead(const permit_queue &queue, const permit_request &request, instant now)
        -> std::size_t
{
    const auto own = computeUrgency(request, now);
    const auto ahead =
            std::count_if(queue.unowned.begin(), queue.unowned.end(), [&](permit_number number) {
                return computeUrgency(queue.waiting.at(number), now) < own;
            });
    return static_cast<std::size_t>(ahead);
}

// Admits the request only if the next call of issuePermits can issue its permit. If another request
// takes the slot before that, it expires in the same call.
auto admitImmediate(permit_queue &queue, permit_request &request, instant now) -> refusal
{
    if (!queue.waiting.empty() || chooseServer(queue, request, now) == nullptr)
        return refusal::Busy;
    request.refuseAt = now;
    return refusal::None;
}

// Admission of a request that any server of the group may run.
auto admitUnowned(permit_queue &queue, permit_request &request, instant now) -> refusal
{
    setWaitLimits(queue, request);
    const auto hasEligibleServer =
            std::any_of(queue.servers.begin(), queue.servers.end(),
                        [&](const auto &entry) { return isEligible(entry.second, request); });
    if (!hasEligibleServer)
        return refusal::NoServer;
    if (request.immediate)
        return admitImmediate(queue, request, now);
    const auto wait = estimateWait(queue, countAhead(queue, request, now), now);
    // A request that can use another group waits here only if it is safe to be in time.
    const auto assumedWait = request.acceptLate ? wait : waitSafetyFactor * wait;
    return wait > 0us && now + assumedWait > request.refuseAt ? refusal::WouldBeLate
                                                              : refusal::None;
}

auto admitForOwner(permit_queue &queue, permit_request &request, instant now) -> refusal
{
    const auto owner = queue.servers.find(request.owner);
    if (owner == queue.servers.end() || !owner->second.usable)
        return refusal::NoServer;
    return admitToLane(queue.lanes[request.owner], queue, owner->second, request, now);
}

// When a waiting request may be displaced by others, and when its wait ends.
auto dueTimes(const permit_request &request) -> std::array<instant, 2>
{
    const auto end = std::min(request.refuseAt, request.answerBy);
    const auto mayGiveWay = !request.owner.empty() && request.lateAfter >= request.arrived;
    return {mayGiveWay ? std::min(request.lateAfter + 1us, end) : end, end};
}

// Adds an admitted request.
auto addWaiting(permit_queue &queue, permit_request request) -> void
{
    if (request.owner.empty())
        queue.unowned.insert(request.number);
    else
        queue.lanesToServe.insert(request.owner);
    for (const auto due : dueTimes(request))
        queue.requestsDue.insert({due, request.number});
    queue.waiting[request.number] = std::move(request);
}

auto eraseWaiting(permit_queue &queue, std::map<permit_number, permit_request>::iterator found)
        -> void
{
    const auto &request = found->second;
    if (request.owner.empty())
        queue.unowned.erase(request.number);
    else if (const auto lane = queue.lanes.find(request.owner); lane != queue.lanes.end())
        removeFromLane(lane->second, request);
    for (const auto due : dueTimes(request))
        queue.requestsDue.erase({due, request.number});
    queue.waiting.erase(found);
}

auto permitExpiry(const permit_request &request) -> instant
{
    return request.deadline + returnGrace;
}

auto issuePermit(permit_queue &queue, const permit_request &request, permit_server &server,
                 instant now) -> issued_permit
{
    startPermit(server,
                {request.number, request.priority, now,
                 expectedWork(queue, server, request.route, now)},
                now);
    issued_permit permit{request.number, server.id, request.route, permitExpiry(request)};
    queue.outstanding[request.number] = permit;
    queue.permitsDue.insert({permit.expires, permit.number});
    return permit;
}

// Issues permits for one server to the requests that only it may run. Returns false when the server
// may have room later without the return of a permit.
auto serveLane(permit_queue &queue, const server_id &id, instant now,
               std::vector<issued_permit> &permits) -> bool
{
    const auto found = queue.servers.find(id);
    const auto lane = queue.lanes.find(id);
    if (found == queue.servers.end() || lane == queue.lanes.end())
        return true;
    auto &server = found->second;
    while (lane->second.waiting.backlog > 0 && hasFreeSlot(queue, server, now)) {
        const auto number = takeFromLane(lane->second, server, now);
        if (number == 0)
            return false;
        const auto request = queue.waiting.find(number);
        permits.push_back(issuePermit(queue, request->second, server, now));
        eraseWaiting(queue, request);
    }
    return lane->second.waiting.backlog <= 0 || server.running >= server.slots;
}

auto serveLanes(permit_queue &queue, instant now, std::vector<issued_permit> &permits) -> void
{
    for (auto lane = queue.lanesToServe.begin(); lane != queue.lanesToServe.end();) {
        const auto done = serveLane(queue, *lane, now, permits);
        lane = done ? queue.lanesToServe.erase(lane) : std::next(lane);
    }
}

auto serveUnowned(permit_queue &queue, instant now, std::vector<issued_permit> &permits) -> void
{
    // In most calls requests wait and no server has a free slot.
    if (queue.unowned.empty() || !hasAnyFreeSlot(queue, now))
        return;
    for (const auto number : orderByUrgency(queue, now)) {
        const auto request = queue.waiting.find(number);
        auto *server = chooseServer(queue, request->second, now);
        if (server == nullptr)
            continue;
        permits.push_back(issuePermit(queue, request->second, *server, now));
        eraseWaiting(queue, request);
        if (!hasAnyFreeSlot(queue, now))
            break;
    }
}

// Why the request is refused now, or None while it may wait.
auto overdueReason(permit_queue &queue, const permit_request &request, instant now) -> refusal
{
    if (now >= request.refuseAt)
        return refusal::Expired;
    const auto server = queue.servers.find(request.owner);
    const auto lane = queue.lanes.find(request.owner);
    if (server != queue.servers.end() && lane != queue.lanes.end()
        && mustGiveWay(lane->second, server->second, request, now))
        return refusal::Expired;
    return now >= request.answerBy ? refusal::StillWaiting : refusal::None;
}

// The next instant at which the server may take a request without the return of a permit.
auto nextRoom(const permit_queue &queue, const permit_server &server, instant now)
        -> std::optional<instant>
{
    std::optional<instant> next;
    const auto consider = [&](instant time) {
        if (time > now && (!next || time < *next))
            next = time;
    };
    consider(server.pausedUntil);
    consider(server.externalWorkUntil);
    if (isCold(server, now) && now < queue.coldPausedUntil)
        consider(queue.coldPausedUntil);
    else if (isCold(server, now) && !server.coldStarts.empty())
        consider(std::max(server.coldStarts.front() + coldWindow, now + 1us));
    return next;
}

} // namespace

auto setPermitServers(permit_queue &queue, const std::vector<permit_server> &listed) -> void
{
    std::map<server_id, permit_server> next;
    for (const auto &server : listed) {
        auto &kept = next[server.id];
        const auto known = queue.servers.find(server.id);
        kept = known == queue.servers.end() ? server : known->second;
        kept.slots = server.slots;
        kept.usable = server.usable;
        kept.coldUntil = server.coldUntil;
        kept.coldPerSecond = server.coldPerSecond;
    }
    queue.servers = std::move(next);
    std::erase_if(queue.lanes, [&](const auto &entry) {
        return entry.second.waiting.backlog <= 0 && !queue.servers.contains(entry.first);
    });
    for (const auto &[id, lane] : queue.lanes)
        queue.lanesToServe.insert(id);
    std::erase_if(queue.paces,
                  [&](const auto &entry) { return !queue.servers.contains(entry.first); });
    std::erase_if(queue.outstanding,
                  [&](const auto &entry) { return !queue.servers.contains(entry.second.server); });
}

auto expectedPermitWait(const permit_queue &queue, const server_id &owner, instant now) -> duration
{
    if (owner.empty())
        return estimateWait(queue, queue.unowned.size(), now);
    const auto server = queue.servers.find(owner);
    const auto lane = queue.lanes.find(owner);
    if (server == queue.servers.end() || !server->second.usable)
        return 1h;
    return expectedLaneWait(lane == queue.lanes.end() ? owner_lane() : lane->second, queue,
                            server->second, now);
}

auto admit(permit_queue &queue, permit_request request, instant now) -> refusal
{
    if (now - queue.lastRequestAt > hostChangeGap)
        queue.coldPausedUntil = now + coldWindow;
    queue.lastRequestAt = now;
    const auto reason = request.owner.empty() ? admitUnowned(queue, request, now)
                                              : admitForOwner(queue, request, now);
    if (reason == refusal::None)
        addWaiting(queue, std::move(request));
    return reason;
}

auto planReturnOf(permit_queue &queue, const permit_request &request, instant now) -> duration
{
    const auto server = queue.servers.find(request.owner);
    const auto lane = queue.lanes.find(request.owner);
    if (server == queue.servers.end() || lane == queue.lanes.end())
        return 0us;
    return planLaneReturn(lane->second, queue, server->second, request, now);
}

auto issuePermits(permit_queue &queue, instant now) -> std::vector<issued_permit>
{
    std::vector<issued_permit> permits;
    serveLanes(queue, now, permits);
    serveUnowned(queue, now, permits);
    return permits;
}

auto removeExpired(permit_queue &queue, instant now) -> std::vector<refused_request>
{
    std::vector<refused_request> refused;
    while (!queue.requestsDue.empty() && queue.requestsDue.begin()->first <= now) {
        const auto number = queue.requestsDue.begin()->second;
        queue.requestsDue.erase(queue.requestsDue.begin());
        const auto request = queue.waiting.find(number);
        if (request == queue.waiting.end())
            continue;
        const auto reason = overdueReason(queue, request->second, now);
        if (reason == refusal::None) {
            // It is late, and no other waits yet.
            queue.requestsDue.insert({now + lateCheckPeriod, number});
            continue;
        }
        const auto returnAfter =
                reason == refusal::Expired ? planReturnOf(queue, request->second, now) : 0us;
        refused.push_back({number, reason, returnAfter});
        eraseWaiting(queue, request);
    }
    while (!queue.permitsDue.empty() && queue.permitsDue.begin()->first <= now) {
        const auto number = queue.permitsDue.begin()->second;
        queue.permitsDue.erase(queue.permitsDue.begin());
        returnPermit(queue, {number, permit_result::Unused, 0us, std::nullopt, std::nullopt}, now);
    }
    return refused;
}

auto withdrawRequest(permit_queue &queue, permit_number number) -> bool
{
    const auto request = queue.waiting.find(number);
    if (request == queue.waiting.end())
        return false;
    eraseWaiting(queue, request);
    return true;
}

auto returnPermit(permit_queue &queue, const permit_return &returned, instant now) -> bool
{
    const auto found = queue.outstanding.find(returned.number);
    if (found == queue.outstanding.end())
        return false;
    const auto permit = found->second;
    queue.outstanding.erase(found);
    auto &server = queue.servers.at(permit.server);
    endPermit(server, returned.number);
    queue.permitsDue.erase({permit.expires, permit.number});
    queue.lanesToServe.insert(permit.server);
    recordResult(queue, server, permit.route, returned, now);
    return true;
}

auto nextWakeup(const permit_queue &queue, instant now) -> std::optional<instant>
{
    std::optional<instant> next;
    const auto consider = [&](instant time) {
        if (!next || time < *next)
            next = time;
    };
    if (!queue.requestsDue.empty())
        consider(queue.requestsDue.begin()->first);
    const auto considerServer = [&](const permit_server &server) {
        if (const auto room = nextRoom(queue, server, now))
            consider(*room);
    };
    if (!queue.unowned.empty()) {
        for (const auto &[id, server] : queue.servers)
            considerServer(server);
    }
    for (const auto &id : queue.lanesToServe) {
        if (const auto server = queue.servers.find(id); server != queue.servers.end())
            considerServer(server->second);
    }
    if (!queue.permitsDue.empty())
        consider(queue.permitsDue.begin()->first);
    if (next)
        next = std::max(*next, now + duration(1ms));
    return next;
}

} // namespace parsleyloft
