// The requests that wait for one server, because only it holds their keys.
#include "decisions/owner_lane.h"

#include <algorithm>
#include <cmath>

namespace parsleyloft {

namespace {

// What was requested this long ago counts 1/e. Over 1 s the requests of an owner at half of its
// capacity vary so much that it often seemed short.
constexpr duration demandPeriod = 3s;
// Work requested beyond this share of the server's time makes it short.
constexpr double shortLoad = 1.1;
// A level that was refused within this time has more demand than it is served.
constexpr duration refusalMemory = 500ms;
// Each level has this share of the previous one's weight, both in proportion to their demand,
// so that no level is served worse than a less urgent one. The least is above a twentieth, the
// share of its demand that each level gets.
constexpr double levelRatio = 0.25;
constexpr double minLevelShare = 0.08;
// A more urgent level counts as waiting for a slot for this long after its last request.
constexpr duration reserveTime = 300ms;
// A running request that has taken longer than expected is expected to take this share of its
// expected time more.
constexpr double overdueShare = 0.4;
// Requests that are late by the time they are sent come after all others.
constexpr std::uint64_t lateLevel = std::uint64_t{1} << 32;
// A key with this many requests waiting uses what other keys leave.
constexpr std::size_t hotKeyRequests = 3;
// A request that will miss its target waits for this fraction of the target at most.
constexpr int lateWaitDivisor = 3;

// Callers that are refused return after at most this part of their remaining time, and not before
// minReturnDelay.
constexpr int callerPatience = 3;
constexpr duration minReturnDelay = 50ms;

auto secondsBetween(instant from, instant to) -> double
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

auto currentDemand(const level_demand &demand, instant now) -> double
{
    const auto period = std::chrono::duration<double>(demandPeriod).count();
    return demand.work * std::exp(-secondsBetween(demand.updatedAt, now) / period);
}

auto recordDemand(owner_lane &lane, std::uint32_t level, duration work, instant now) -> void
{
    auto &demand = lane.levels[level];
    const auto decayed = currentDemand(demand, now);
    demand.admitted *= demand.work > 0 ? decayed / demand.work : 0;
    demand.work = decayed + static_cast<double>(work.count());
    demand.updatedAt = now;
    demand.askedAt = now;
}

// The share of the server's time that its callers request.
auto requestedLoad(const owner_lane &lane, const permit_server &server, instant now) -> double
{
    double work = 0;
    for (const auto &[level, demand] : lane.levels)
        work += currentDemand(demand, now);
    return work / (static_cast<double>(demandPeriod.count()) * std::max(1U, server.slots));
}

auto isShort(const owner_lane &lane, const permit_server &server, instant now) -> bool
{
    return requestedLoad(lane, server, now) > shortLoad;
}

// Sets the levels' weights in proportion to their demand, less for each more urgent level.
auto weighLevels(owner_lane &lane, instant now) -> void
{
    double total = 0;
    for (const auto &[level, demand] : lane.levels)
        total += currentDemand(demand, now);
    double share = 1;
    for (const auto &[level, demand] : lane.levels) {
        const auto part = currentDemand(demand, now) / std::max(1.0, total);
        setWeight(lane.waiting, {level, {}}, std::max(1e-3, part * share));
        share = std::max(minLevelShare, share * levelRatio);
    }
}

auto fairPath(const permit_request &request, bool late) -> fair_path
{
    const auto level = request.priority + (late ? lateLevel : 0);
    return {{level, {}}, {0, request.account}, {request.key.value_or(0), {}}};
}

auto fairItem(const permit_request &request) -> fair_item
{
    return {request.targetEnds, request.number};
}

// The levels that have more demand than they are served.
auto pressingLevels(const owner_lane &lane, instant now) -> std::set<fair_class>
{
    std::set<fair_class> pressing;
    for (const auto &[level, demand] : lane.levels) {
        if (now < demand.refusedAt + refusalMemory)
            pressing.insert({level, {}});
    }
    return pressing;
}

// The share of a level's work that was admitted lately.
auto admittedShare(const level_demand &demand) -> double
{
    return demand.work > 0 ? std::min(1.0, demand.admitted / demand.work) : 0;
}

// True when a more urgent level was refused lately and the level has had as much beside it as it
// may.
auto hasHadItsShare(const owner_lane &lane, std::uint32_t level, instant now) -> bool
{
    const auto own = admittedShare(lane.levels.at(level));
    return std::any_of(lane.levels.begin(), lane.levels.find(level), [&](const auto &entry) {
        const auto allowed = std::max(minLevelShare, levelRatio * admittedShare(entry.second));
        return now < entry.second.refusedAt + refusalMemory && own > allowed;
    });
}

// How long each request at the server is still expected to run.
auto remainingWork(const permit_server &server, duration typical, instant now)
        -> std::vector<duration>
{
    std::vector<duration> running;
    for (const auto &permit : server.runningPermits) {
        const auto left = permit.expectedLatency - (now - permit.sentAt);
        running.push_back(std::max(left, scaleDuration(permit.expectedLatency, overdueShare)));
    }
    const auto foreign = now < server.externalWorkUntil ? server.externalWork : 0;
    running.insert(running.end(), foreign, typical / 2);
    return running;
}

auto describeBacklog(const permit_server &server, double workBefore, duration typical, instant now)
        -> server_backlog
{
    server_backlog backlog;
    backlog.slots = server.slots;
    backlog.running = remainingWork(server, typical, now);
    const auto requestsBefore = workBefore / std::max(1.0, static_cast<double>(typical.count()));
    backlog.pause = std::max(
            {duration(0), server.pausedUntil - now, coldDelay(server, requestsBefore, now)});
    backlog.workBefore = workBefore;
    backlog.typicalWork = typical;
    return backlog;
}

// True when a more urgent level has recently requested the server, and less urgent ones use all its
// slots but the last.
auto isReservedFor(const owner_lane &lane, const permit_server &server, std::uint32_t level,
                   instant now) -> bool
{
    const auto first = lane.levels.begin();
    const auto urgent = std::find_if(first, lane.levels.end(), [now](const auto &entry) {
        return now < entry.second.askedAt + reserveTime;
    });
    if (server.slots < 2 || urgent == lane.levels.end() || urgent->first >= level)
        return false;
    const auto lessUrgent =
            std::count_if(server.runningPermits.begin(), server.runningPermits.end(),
                          [&](const auto &running) { return running.priority > urgent->first; });
    return static_cast<std::size_t>(lessUrgent) + 1 >= server.slots;
}

auto startsAtOnce(const owner_lane &lane, const permit_server &server,
                  const server_backlog &backlog) -> bool
{
    return lane.waiting.backlog <= 0 && backlog.pause <= 0us
            && backlog.running.size() < server.slots;
}

// Without a place the caller returns at some time that may still lead to an answer in time.
auto spreadOver(instant from, instant until, permit_number number) -> instant
{
    // A prime far from the numbers of concurrent requests.
    constexpr std::int64_t step = 7919;
    const auto length = std::max<std::int64_t>(1, (until - from).count());
    return from + duration(static_cast<std::int64_t>(number) * step % length);
}

// True when the key has no request waiting beside another one with many. Without that one the
// request would find a free slot, so it is judged by its expected start alone.
auto isBesideHotKey(const owner_lane &lane, const permit_request &request) -> bool
{
    const auto path = fairPath(request, false);
    const auto level = lane.waiting.children.find(path[0]);
    if (level == lane.waiting.children.end())
        return false;
    const auto account = level->second.children.find(path[1]);
    if (account == level->second.children.end())
        return false;
    const auto &keys = account->second.children;
    const auto own = keys.find(path[2]);
    if (own != keys.end() && !own->second.items.empty())
        return false;
    return std::any_of(keys.begin(), keys.end(), [](const auto &entry) {
        return entry.second.items.size() >= hotKeyRequests;
    });
}

// True when the requests of the same key already use the part of the server that is theirs: a place
// for a return would be taken from other keys.
auto waitsBehindItself(const owner_lane &lane, const permit_request &request) -> bool
{
    const auto *node = &lane.waiting;
    for (const auto &name : fairPath(request, false)) {
        const auto child = node->children.find(name);
        if (child == node->children.end())
            return false;
        node = &child->second;
    }
    return node->items.size() >= 2;
}

auto enterLane(owner_lane &lane, permit_request &request, duration work, bool late) -> void
{
    request.lane = fairPath(request, late);
    if (late)
        setWeight(lane.waiting, request.lane.front(), 1e-3);
    if (!request.askedAgain)
        lane.levels[request.priority].admitted += static_cast<double>(work.count());
    addItem(lane.waiting, request.lane, fairItem(request), static_cast<double>(work.count()));
}

} // namespace

auto admitToLane(owner_lane &lane, const latency_statistics &latencies, const permit_server &server,
                 permit_request &request, instant now) -> refusal
{
    const auto work = expectedWork(latencies, server, request.route, now);
    const auto target = request.targetEnds - request.arrived;
    request.lateAfter = request.targetEnds - work;
    const auto lateSince = std::max(request.lateAfter, request.arrived);
    request.refuseAt = std::min(request.deadline, lateSince + target / lateWaitDivisor);
    if (!request.askedAgain)
        recordDemand(lane, request.priority, work, now);
    weighLevels(lane, now);
    if (!request.askedAgain && hasHadItsShare(lane, request.priority, now))
        return refusal::WouldBeLate;
    const auto before = workBefore(lane.waiting, fairPath(request, false), request.targetEnds,
                                   static_cast<double>(work.count()), pressingLevels(lane, now));
    auto backlog = describeBacklog(server, before, work, now);
    auto start = expectedStart(backlog);
    // Refused callers that return before this request starts were promised room.
    if (start > 0us && !request.askedAgain) {
        backlog.workBefore += plannedWork(lane.returns, request.priority, now, now + start);
        start = expectedStart(backlog);
    }
    const auto margin = request.askedAgain ? 0 : latencies.deviation;
    const auto inTime = isSafelyInTime(backlog, start, {work, request.targetEnds - now, margin});
    if (inTime) {
        enterLane(lane, request, work, false);
        return refusal::None;
    }
    const auto needsNoMargin = !isShort(lane, server, now) || isBesideHotKey(lane, request);
    const auto isSpare = needsNoMargin && now + start <= request.refuseAt;
    if (startsAtOnce(lane, server, backlog) || isSpare) {
        enterLane(lane, request, work, now > request.lateAfter);
        return refusal::None;
    }
    lane.levels[request.priority].refusedAt = now;
    return refusal::WouldBeLate;
}

auto takeFromLane(owner_lane &lane, const permit_server &server, instant now) -> permit_number
{
    const auto serverIsShort = isShort(lane, server, now);
    return takeNextItem(lane.waiting, [&](const fair_class &level) {
        const auto priority = static_cast<std::uint32_t>(level.number % lateLevel);
        return !serverIsShort || !isReservedFor(lane, server, priority, now);
    });
}

auto removeFromLane(owner_lane &lane, const permit_request &request) -> void
{
    removeItem(lane.waiting, request.lane, fairItem(request));
}

auto mustGiveWay(owner_lane &lane, const permit_server &server, const permit_request &request,
                 instant now) -> bool
{
    const auto own = static_cast<double>((request.targetEnds - request.lateAfter).count());
    return now > request.lateAfter && lane.waiting.backlog > own && isShort(lane, server, now);
}

auto planLaneReturn(owner_lane &lane, const latency_statistics &latencies,
                    const permit_server &server, const permit_request &request, instant now)
        -> duration
{
    const auto work = expectedWork(latencies, server, request.route, now);
    const auto latest = now + std::max(duration(0), (request.deadline - now) / callerPatience);
    const auto earliest = std::min(now + minReturnDelay, latest);
    // A place later than this would not lead to an answer in time.
    const auto lastUseful = std::min(latest, request.targetEnds - work);
    const return_request wanted{request.priority, work, earliest, lastUseful};
    if (lastUseful < earliest || waitsBehindItself(lane, request))
        return latest - now;
    if (const auto planned = planReturn(lane.returns, wanted, server.slots, now))
        return *planned - now;
    return spreadOver(earliest, lastUseful, request.number) - now;
}

auto expectedLaneWait(const owner_lane &lane, const latency_statistics &latencies,
                      const permit_server &server, instant now) -> duration
{
    const auto typical = scaleDuration(latencies.meanLatency, server.pace);
    return expectedStart(describeBacklog(server, lane.waiting.backlog, typical, now));
}

} // namespace parsleyloft
