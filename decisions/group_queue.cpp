// The request queue of one group of backend servers, at the host that may send to them.
#include "decisions/group_queue.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// The most requests that wait in one lane, whatever their deadlines.
constexpr std::size_t maxLaneLength = 2000;

// The counts of a class are halved when its offered requests reach this number.
constexpr double countWindow = 1000;

auto refusalsLeft(const refusal_budget &budget) -> double
{
    const auto allowed = budget.offered * budget.maxRefusedPermille / 1000.0;
    return allowed - budget.refused;
}

auto countOffer(refusal_budget &budget, std::uint32_t maxRefusedPermille) -> void
{
    budget.maxRefusedPermille = maxRefusedPermille;
    ++budget.offered;
    if (budget.offered < countWindow)
        return;
    budget.offered /= 2;
    budget.refused /= 2;
}

auto enqueue(group_queue &queue, const queued_request &request) -> void
{
    queue.waiting[request.number] = request;
    queue.lanes[request.owner].insert({request.deadline, request.number});
}

auto remove(group_queue &queue, ticket number) -> queued_request
{
    const auto found = queue.waiting.find(number);
    auto request = std::move(found->second);
    queue.waiting.erase(found);
    queue.lanes[request.owner].erase({request.deadline, number});
    return request;
}

// The waiting request to shed for the arrival, from the same lane. It is the one with the latest
// deadline of the class that has the most refusals left. That class needs at least one, and more
// than the class of the arrival.
auto chooseVictim(const group_queue &queue, const queued_request &arrival) -> std::optional<ticket>
{
    const auto lane = queue.lanes.find(arrival.owner);
    if (lane == queue.lanes.end())
        return std::nullopt;
    auto most = refusalsLeft(queue.refusalBudgets.at(arrival.className));
    std::optional<ticket> victim;
    for (auto order = lane->second.rbegin(); order != lane->second.rend(); ++order) {
        const auto &waiting = queue.waiting.at(order->number);
        const auto left = refusalsLeft(queue.refusalBudgets.at(waiting.className));
        if (waiting.className != arrival.className && left >= 1 && left > most) {
            most = left;
            victim = order->number;
        }
    }
    return victim;
}

// The server with the least expected work. A straggler with room is due for a probe and goes first.
auto chooseServer(group_queue &queue, const server_id &excluded, instant now) -> server_load *
{
    server_load *best = nullptr;
    const auto cost = [](const server_load &server) {
        const auto latency = std::max<std::int64_t>(server.latency.count(), 1);
        return static_cast<double>(latency) * (server.running + 1) / server.limit;
    };
    for (auto &[id, server] : queue.servers) {
        if (id == excluded || !hasRoom(server, now))
            continue;
        if (server.phase == server_phase::Straggling)
            return &server;
        if (best == nullptr || cost(server) < cost(*best))
            best = &server;
    }
    return best;
}

template<typename predicate>
auto removeMatching(group_queue &queue, predicate &&matches) -> std::vector<ticket>
{
    std::vector<ticket> numbers;
    for (const auto &[number, request] : queue.waiting) {
        if (matches(request))
            numbers.push_back(number);
    }
    for (const auto number : numbers)
        remove(queue, number);
    return numbers;
}

auto serverForRequest(group_queue &queue, const queued_request &request, instant now)
        -> server_load *
{
    if (request.owner.empty())
        return chooseServer(queue, {}, now);
    const auto owner = queue.servers.find(request.owner);
    if (owner == queue.servers.end() || owner->second.phase == server_phase::Unreachable)
        return nullptr;
    // Only the owner can serve its keys, so it gets their requests even when it is a straggler.
    const auto room = owner->second.running < owner->second.limit;
    return room ? &owner->second : nullptr;
}

} // namespace

auto setServers(group_queue &queue, const std::vector<server_load> &listed) -> void
{
    std::map<server_id, server_load> next;
    for (const auto &server : listed) {
        const auto known = queue.servers.find(server.id);
        next[server.id] = known == queue.servers.end() ? server : known->second;
        next[server.id].slots = server.slots;
    }
    queue.servers = std::move(next);
}

auto offer(group_queue &queue, const queued_request &request, std::uint32_t maxRefusedPermille,
           instant now) -> offer_result
{
    auto &budget = queue.refusalBudgets[request.className];
    countOffer(budget, maxRefusedPermille);
    const auto refuse = [&](reason refusal) {
        ++budget.refused;
        return offer_result{false, refusal, std::nullopt};
    };
    if (queue.lanes[request.owner].size() >= maxLaneLength)
        return refuse(reason::QueueFull);
    if (now + expectedWait(queue, request.owner) <= request.deadline) {
        enqueue(queue, request);
        return {true, reason::None, std::nullopt};
    }
    const auto victim = chooseVictim(queue, request);
    if (!victim)
        return refuse(reason::WaitTooLong);
    const auto removed = remove(queue, *victim);
    ++queue.refusalBudgets[removed.className].refused;
    enqueue(queue, request);
    return {true, reason::None, victim};
}

auto startRequests(group_queue &queue, instant now) -> std::vector<started_request>
{
    std::vector<started_request> starts;
    for (auto &[owner, lane] : queue.lanes) {
        while (!lane.empty()) {
            const auto &request = queue.waiting.at(lane.begin()->number);
            auto *server = serverForRequest(queue, request, now);
            if (server == nullptr)
                break;
            recordStart(*server, now);
            starts.push_back({remove(queue, request.number), server->id});
        }
    }
    return starts;
}

auto removeExpired(group_queue &queue, instant now) -> std::vector<ticket>
{
    std::vector<ticket> expired;
    for (auto &[owner, lane] : queue.lanes) {
        while (!lane.empty() && lane.begin()->deadline <= now) {
            const auto number = lane.begin()->number;
            ++queue.refusalBudgets[remove(queue, number).className].refused;
            expired.push_back(number);
        }
    }
    return expired;
}

auto withdraw(group_queue &queue, ticket number) -> bool
{
    if (!queue.waiting.contains(number))
        return false;
    remove(queue, number);
    return true;
}

auto reserveHedgeServer(group_queue &queue, const server_id &first, instant now)
        -> std::optional<server_id>
{
    auto *server = chooseServer(queue, first, now);
    if (server == nullptr)
        return std::nullopt;
    recordStart(*server, now);
    return server->id;
}

auto removeShardRequests(group_queue &queue, shard_index shard) -> std::vector<ticket>
{
    return removeMatching(queue, [&](const queued_request &request) {
        return !request.owner.empty() && request.shard == shard;
    });
}

auto removeOwnerRequests(group_queue &queue, const server_id &owner) -> std::vector<ticket>
{
    return removeMatching(queue,
                          [&](const queued_request &request) { return request.owner == owner; });
}

auto removeAllRequests(group_queue &queue) -> std::vector<ticket>
{
    return removeMatching(queue, [](const queued_request &) { return true; });
}

auto finish(group_queue &queue, const server_id &server, attempt_result result, duration latency)
        -> void
{
    const auto found = queue.servers.find(server);
    if (found != queue.servers.end())
        recordEnd(found->second, result, latency, medianLatency(queue));
}

auto medianLatency(const group_queue &queue) -> duration
{
    std::vector<duration> known;
    for (const auto &[id, server] : queue.servers) {
        if (server.samples > 0)
            known.push_back(server.latency);
    }
    if (known.size() < 2)
        return 0us;
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

auto expectedWait(const group_queue &queue, const server_id &owner) -> duration
{
    std::int64_t ahead = 0;
    std::int64_t room = 0;
    duration latency = 0us;
    for (const auto &[id, server] : queue.servers) {
        if (!owner.empty() && id != owner)
            continue;
        if (server.phase == server_phase::Unreachable)
            continue;
        ahead += server.running;
        room += server.limit;
        latency = std::max(latency, server.latency);
    }
    const auto lane = queue.lanes.find(owner);
    ahead += lane == queue.lanes.end() ? 0 : static_cast<std::int64_t>(lane->second.size());
    if (owner.empty() && medianLatency(queue) > 0us)
        latency = medianLatency(queue);
    if (room == 0 || ahead < room)
        return latency;
    return latency + latency * (ahead - room + 1) / room;
}

} // namespace parsleyloft
