// Which request may go to which server of a group now.
#include "decisions/permit_queue.h"

#include <algorithm>
#include <cmath>

namespace parsleyloft {

namespace {

// Before the first answer on a route: a typical service time of the users' sheets.
constexpr duration firstTypical = 100ms;
// Weight of a new sample. Noise of neighbours lasts a few samples and must not stick.
constexpr double latencyWeight = 0.1;
constexpr double slownessWeight = 0.25;
constexpr double failureWeight = 0.15;
// A server that gets nothing is tried again once what is known of it has faded.
constexpr duration slownessHalfLife = 3s;
constexpr double leastSlowness = 0.2;
constexpr double mostSlowness = 20;
// A failure costs about two answers: the lost one and its repeat.
constexpr double failureCost = 3;
constexpr duration shedPause = 60ms;
constexpr duration firstUnreachablePause = 200ms;
constexpr duration longestUnreachablePause = 3s;
constexpr std::uint32_t mostPauseDoublings = 4;
// Load and noise change many times a second; older reports say nothing.
constexpr duration reportAge = 300ms;
// Time for a returned permit to come back after the deadline.
constexpr duration returnGrace = 100ms;
constexpr duration coldWindow = 1s;
// While hosts come and go, up to three of them may take themselves for a group's keeper
// within a second; together they stay below the bound of half as much again and five.
constexpr double coldShare = 0.75;
// A queue that nobody asked for so long may have had another keeper meanwhile.
constexpr duration keeperGap = 5s;
// A request that has missed its target is held for this share of it, then refused.
constexpr int lateHoldDivisor = 3;
// Waits scatter: a request is sure to be in time when this many times the wait would do.
constexpr int surenessFactor = 3;
constexpr duration expiryLook = 50ms;
// Targets of the users' routes differ by about as much.
constexpr duration rankDelay = 150ms;

auto slownessOf(const permit_server &server, instant now) -> double
{
    const auto age = std::chrono::duration<double>(now - server.slownessAt).count();
    const auto halfLife = std::chrono::duration<double>(slownessHalfLife).count();
    const auto faded = std::exp2(-std::max(age, 0.0) / halfLife);
    // Only what makes a server look worse than usual fades.
    return server.slowness > 1 ? 1 + (server.slowness - 1) * faded : server.slowness;
}

auto typicalOf(const permit_queue &queue, const route_name &route) -> duration
{
    const auto found = queue.typical.find(route);
    return found == queue.typical.end() ? firstTypical : found->second;
}

auto scaled(duration length, double factor) -> duration
{
    return duration(static_cast<std::int64_t>(static_cast<double>(length.count()) * factor));
}

auto expectedLatency(const permit_queue &queue, const permit_server &server,
                     const route_name &route, instant now) -> duration
{
    auto factor = slownessOf(server, now);
    if (now < server.noiseUntil)
        factor *= std::sqrt(server.noise);
    return scaled(typicalOf(queue, route), factor);
}

auto costOf(const permit_queue &queue, const permit_server &server, const route_name &route,
            instant now) -> double
{
    const auto latency = expectedLatency(queue, server, route, now).count();
    return static_cast<double>(latency) * (1 + failureCost * server.failures);
}

auto isCold(const permit_server &server, instant now) -> bool
{
    return now < server.coldUntil;
}

auto coldStartsIn(const permit_server &server, instant now) -> std::size_t
{
    const auto recent = std::count_if(server.coldStarts.begin(), server.coldStarts.end(),
                                      [now](instant at) { return now - at < coldWindow; });
    return static_cast<std::size_t>(recent);
}

auto hasRoom(const permit_queue &queue, const permit_server &server, instant now) -> bool
{
    if (!server.usable || now < server.pausedUntil)
        return false;
    const auto foreign = now < server.foreignUntil ? server.foreignWork : 0;
    if (server.running + foreign >= server.slots)
        return false;
    if (!isCold(server, now))
        return true;
    if (!queue.mayUseColdServers || now < queue.coldFrom)
        return false;
    const auto borne = std::max(1.0, std::floor(server.coldPerSecond * coldShare));
    return static_cast<double>(coldStartsIn(server, now)) < borne;
}

auto anyRoom(const permit_queue &queue, instant now) -> bool
{
    return std::any_of(queue.servers.begin(), queue.servers.end(),
                       [&](const auto &one) { return hasRoom(queue, one.second, now); });
}

auto mayRun(const permit_server &server, const permit_request &request) -> bool
{
    if (!server.usable)
        return false;
    if (!request.owner.empty())
        return server.id == request.owner;
    return std::find(request.excluded.begin(), request.excluded.end(), server.id)
            == request.excluded.end();
}

auto isLate(const permit_request &request, instant now) -> bool
{
    return now > request.lateFrom;
}

// A late request keeps its place for a while after the moment at which it became late.
auto setTimes(const permit_queue &queue, permit_request &request) -> void
{
    const auto target = request.targetEnds - request.arrived;
    request.lateFrom = request.targetEnds - typicalOf(queue, request.route);
    const auto from = std::max(request.lateFrom, request.arrived);
    request.heldUntil = std::min(request.deadline, from + target / lateHoldDivisor);
}

// The best server with room, unless waiting for a busy one is what meets the target.
auto bestServer(permit_queue &queue, const permit_request &request, instant now) -> permit_server *
{
    if (!request.owner.empty()) {
        const auto owner = queue.servers.find(request.owner);
        const auto may = owner != queue.servers.end() && mayRun(owner->second, request)
                && hasRoom(queue, owner->second, now);
        return may ? &owner->second : nullptr;
    }
    permit_server *best = nullptr;
    double bestCost = 0;
    auto onTimeElsewhere = false;
    for (auto &[id, server] : queue.servers) {
        if (!mayRun(server, request))
            continue;
        const auto onTime =
                now + expectedLatency(queue, server, request.route, now) <= request.targetEnds;
        if (!hasRoom(queue, server, now)) {
            onTimeElsewhere = onTimeElsewhere || (onTime && now >= server.pausedUntil);
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
    const auto meets =
            now + expectedLatency(queue, *best, request.route, now) <= request.targetEnds;
    return meets || !onTimeElsewhere || isLate(request, now) ? best : nullptr;
}

// Requests that can still meet their target go first, those whose target ends sooner before
// the others; a less urgent route stands back by a fixed time for each rank. Strict ranks
// would starve the lower one whenever the slots are short.
struct urgency
{
    bool late = false;
    instant due{};
    permit_number number = 0;

    auto operator<=>(const urgency &) const = default;
};

auto urgencyOf(const permit_request &request, instant now) -> urgency
{
    // Of two that are due alike the shorter one goes first: a slot serves more of them.
    const auto typical = request.targetEnds - request.lateFrom;
    const auto due = request.targetEnds + request.priority * rankDelay + typical;
    return {isLate(request, now), due, request.number};
}

auto urgencyOrder(const permit_queue &queue, instant now) -> std::vector<permit_number>
{
    std::vector<urgency> ranks;
    ranks.reserve(queue.waiting.size());
    for (const auto &[number, request] : queue.waiting)
        ranks.push_back(urgencyOf(request, now));
    std::sort(ranks.begin(), ranks.end());
    std::vector<permit_number> order;
    order.reserve(ranks.size());
    for (const auto &one : ranks)
        order.push_back(one.number);
    return order;
}

// How long a request waits that has so many others before it, for one server or for any.
auto waitBehind(const permit_queue &queue, const server_id &owner, std::size_t ahead, instant now)
        -> duration
{
    const auto run = static_cast<double>(std::max(queue.meanRun, duration(1)).count());
    double startsPerMicrosecond = 0;
    for (const auto &[id, server] : queue.servers) {
        if (!server.usable || now < server.pausedUntil || (!owner.empty() && id != owner))
            continue;
        if (hasRoom(queue, server, now))
            return 0us;
        startsPerMicrosecond += server.slots / (run * slownessOf(server, now));
    }
    if (startsPerMicrosecond <= 0)
        return 1h;
    return duration(
            static_cast<std::int64_t>(static_cast<double>(ahead + 1) / startsPerMicrosecond));
}

// The waiting requests that would go before this one.
auto countAhead(const permit_queue &queue, const permit_request &request, instant now)
        -> std::size_t
{
    const auto own = urgencyOf(request, now);
    const auto ahead =
            std::count_if(queue.waiting.begin(), queue.waiting.end(), [&](const auto &one) {
                const auto sameLane = request.owner.empty() || one.second.owner == request.owner;
                return sameLane && urgencyOf(one.second, now) < own;
            });
    return static_cast<std::size_t>(ahead);
}

auto expiresAt(const permit_request &request) -> instant
{
    return request.deadline + returnGrace;
}

auto give(permit_queue &queue, const permit_request &request, permit_server &server, instant now)
        -> issued_permit
{
    ++server.running;
    if (isCold(server, now)) {
        while (!server.coldStarts.empty() && now - server.coldStarts.front() >= coldWindow)
            server.coldStarts.pop_front();
        server.coldStarts.push_back(now);
    }
    issued_permit permit{request.number, server.id, request.route, expiresAt(request)};
    queue.outstanding[request.number] = permit;
    return permit;
}

auto learnLatency(permit_queue &queue, permit_server &server, const route_name &route,
                  duration latency, instant now) -> void
{
    auto &typical = queue.typical.try_emplace(route, latency).first->second;
    const auto ratio = static_cast<double>(latency.count())
            / std::max<double>(1, static_cast<double>(typical.count()));
    const auto known = slownessOf(server, now);
    server.slowness =
            std::clamp(known + slownessWeight * (ratio - known), leastSlowness, mostSlowness);
    server.slownessAt = now;
    typical += scaled(latency - typical, latencyWeight);
    queue.meanRun += scaled(latency - queue.meanRun, latencyWeight);
}

auto learnFailure(permit_server &server, bool failed) -> void
{
    server.failures += failureWeight * ((failed ? 1.0 : 0.0) - server.failures);
}

auto avoid(permit_server &server, instant now) -> void
{
    const auto doublings = std::min(server.avoidedInRow, mostPauseDoublings);
    const auto pause = std::min(firstUnreachablePause * (1 << doublings), longestUnreachablePause);
    server.pausedUntil = std::max(server.pausedUntil, now + pause);
    ++server.avoidedInRow;
}

auto learnLoad(permit_server &server, const load_report &load, instant now) -> void
{
    const auto told = load.running + load.waiting;
    server.foreignWork = told > server.running ? told - server.running : 0;
    server.foreignUntil = now + reportAge;
    server.noise = std::max(1.0, load.noise);
    server.noiseUntil = now + reportAge;
}

auto learnEnd(permit_queue &queue, permit_server &server, const route_name &route,
              const permit_return &returned, instant now) -> void
{
    switch (returned.result) {
    case permit_result::Answered:
        server.avoidedInRow = 0;
        learnFailure(server, false);
        learnLatency(queue, server, route, returned.latency, now);
        break;
    case permit_result::Failed:
    case permit_result::Lost:
        learnFailure(server, true);
        break;
    case permit_result::TimedOut:
        learnFailure(server, true);
        learnLatency(queue, server, route, returned.latency, now);
        break;
    case permit_result::Shed:
        server.pausedUntil = std::max(server.pausedUntil, now + shedPause);
        break;
    case permit_result::Unreachable:
    case permit_result::Misdirected:
        avoid(server, now);
        break;
    case permit_result::Unused:
        break;
    }
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
    std::erase_if(queue.outstanding,
                  [&](const auto &one) { return !queue.servers.contains(one.second.server); });
}

auto expectedPermitWait(const permit_queue &queue, const server_id &owner, instant now) -> duration
{
    const auto ahead =
            std::count_if(queue.waiting.begin(), queue.waiting.end(), [&](const auto &one) {
                return owner.empty() || one.second.owner == owner;
            });
    return waitBehind(queue, owner, static_cast<std::size_t>(ahead), now);
}

auto admit(permit_queue &queue, permit_request request, instant now) -> refusal
{
    setTimes(queue, request);
    if (now - queue.lastAsked > keeperGap)
        queue.coldFrom = now + coldWindow;
    queue.lastAsked = now;
    const auto any = std::any_of(queue.servers.begin(), queue.servers.end(),
                                 [&](const auto &one) { return mayRun(one.second, request); });
    if (!any)
        return refusal::NoServer;
    const auto wait = waitBehind(queue, request.owner, countAhead(queue, request, now), now);
    // A request that has another group to go to waits only where it will surely be in time.
    const auto counted = request.acceptLate ? wait : surenessFactor * wait;
    if (wait > 0us && now + counted > request.heldUntil)
        return refusal::WouldBeLate;
    queue.waiting[request.number] = std::move(request);
    return refusal::None;
}

auto issuePermits(permit_queue &queue, instant now) -> std::vector<issued_permit>
{
    std::vector<issued_permit> permits;
    // Most calls come while requests wait and no server has room.
    if (queue.waiting.empty() || !anyRoom(queue, now))
        return permits;
    for (const auto number : urgencyOrder(queue, now)) {
        const auto &request = queue.waiting.at(number);
        auto *server = bestServer(queue, request, now);
        if (server == nullptr)
            continue;
        permits.push_back(give(queue, request, *server, now));
        queue.waiting.erase(number);
        if (!anyRoom(queue, now))
            break;
    }
    return permits;
}

auto removeExpired(permit_queue &queue, instant now) -> std::vector<refused_request>
{
    std::vector<refused_request> refused;
    for (const auto &[number, request] : queue.waiting) {
        if (now >= request.heldUntil)
            refused.push_back({number, refusal::Expired});
        else if (now >= request.answerBy)
            refused.push_back({number, refusal::StillWaiting});
    }
    for (const auto &one : refused)
        queue.waiting.erase(one.number);
    std::vector<permit_number> expired;
    for (const auto &[number, permit] : queue.outstanding) {
        if (now >= permit.expires)
            expired.push_back(number);
    }
    for (const auto number : expired)
        returnPermit(queue, {number, permit_result::Unused, 0us, std::nullopt}, now);
    return refused;
}

auto withdrawRequest(permit_queue &queue, permit_number number) -> bool
{
    return queue.waiting.erase(number) > 0;
}

auto returnPermit(permit_queue &queue, const permit_return &returned, instant now) -> bool
{
    const auto found = queue.outstanding.find(returned.number);
    if (found == queue.outstanding.end())
        return false;
    const auto permit = found->second;
    queue.outstanding.erase(found);
    auto &server = queue.servers.at(permit.server);
    server.running = server.running > 0 ? server.running - 1 : 0;
    learnEnd(queue, server, permit.route, returned, now);
    if (returned.load)
        learnLoad(server, *returned.load, now);
    return true;
}

auto nextWakeup(const permit_queue &queue, instant now) -> std::optional<instant>
{
    std::optional<instant> next;
    const auto consider = [&](instant at) {
        if (!next || at < *next)
            next = at;
    };
    for (const auto &[number, request] : queue.waiting)
        consider(std::min(request.heldUntil, request.answerBy));
    if (!queue.waiting.empty()) {
        for (const auto &[id, server] : queue.servers) {
            if (server.pausedUntil > now)
                consider(server.pausedUntil);
            if (server.foreignUntil > now)
                consider(server.foreignUntil);
            if (isCold(server, now) && now < queue.coldFrom)
                consider(queue.coldFrom);
            else if (isCold(server, now) && !server.coldStarts.empty())
                consider(server.coldStarts.front() + coldWindow);
        }
    }
    if (!queue.outstanding.empty())
        consider(now + expiryLook);
    if (next)
        next = std::max(*next, now + duration(1ms));
    return next;
}

} // namespace parsleyloft
