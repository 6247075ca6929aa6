// A queueing model that drives a dispatch policy with arrivals and service times.
#include "support/queue_harness.h"

#include <pcg_random.hpp>

#include <queue>
#include <random>

namespace parsleyloft {

namespace {

enum class event_kind { Arrival, Done, Wakeup };

struct event
{
    instant at{};
    std::uint64_t order = 0;
    event_kind kind = event_kind::Arrival;
    permit_number request = 0;
    server_id server;

    auto operator>(const event &other) const -> bool
    {
        return std::pair(at, order) > std::pair(other.at, other.order);
    }
};

struct model_request
{
    instant arrived{};
    duration work{};
    instant sentAt{};
};

struct model_server
{
    modelled_server options;
    std::uint32_t running = 0;
    std::deque<permit_number> waiting;
    std::vector<instant> coldSends;
};

struct model
{
    modelled_load load;
    std::map<server_id, model_server> servers;
    std::map<permit_number, model_request> requests;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t nextOrder = 0;
    permit_number nextRequest = 1;
    pcg64 random;
    model_result result;
};

const instant modelStart{1h};

auto schedule(model &world, instant at, event_kind kind, permit_number request = 0,
              const server_id &server = {}) -> void
{
    world.events.push({at, world.nextOrder++, kind, request, server});
}

auto makeModel(const std::vector<modelled_server> &servers, const modelled_load &load) -> model
{
    model world;
    world.load = load;
    world.random.seed(load.seed);
    for (const auto &server : servers)
        world.servers[server.id] = {server, 0, {}, {}};
    auto at = modelStart;
    while (at < modelStart + load.length) {
        std::exponential_distribution<double> gap(load.rate(at));
        at += duration(static_cast<std::int64_t>(gap(world.random) * 1e6));
        schedule(world, at, event_kind::Arrival, world.nextRequest++);
    }
    return world;
}

auto drawServiceTime(model &world) -> duration
{
    std::lognormal_distribution<double> spread(-0.125, 0.5);
    return duration(static_cast<std::int64_t>(static_cast<double>(world.load.meanWork.count())
                                              * spread(world.random)));
}

auto startRequest(model &world, model_server &server, permit_number request, instant now) -> void
{
    ++server.running;
    const auto work = static_cast<double>(world.requests.at(request).work.count());
    schedule(world, now + duration(static_cast<std::int64_t>(work * server.options.slowness(now))),
             event_kind::Done, request, server.options.id);
}

auto sendTo(model &world, model_server &server, permit_number request, instant now) -> void
{
    world.requests.at(request).sentAt = now;
    if (now < server.options.coldUntil)
        server.coldSends.push_back(now);
    const auto load = server.running + static_cast<std::uint32_t>(server.waiting.size()) + 1;
    world.result.maxAtServer = std::max(world.result.maxAtServer, load);
    if (server.running < server.options.slots)
        startRequest(world, server, request, now);
    else if (server.waiting.size() < server.options.queue)
        server.waiting.push_back(request);
    else
        ++world.result.lost;
}

auto recordAnswer(model &world, permit_number request, instant now) -> duration
{
    const auto &served = world.requests.at(request);
    const auto elapsed = now - served.arrived;
    if (elapsed <= world.load.target)
        ++world.result.inTarget;
    else if (elapsed <= world.load.deadline)
        ++world.result.late;
    else
        ++world.result.lost;
    return now - served.sentAt;
}

// Ends a request at its server and starts the next one there. Returns its latency.
auto finishRequest(model &world, const event &done) -> duration
{
    auto &server = world.servers.at(done.server);
    --server.running;
    const auto latency = recordAnswer(world, done.request, done.at);
    if (!server.waiting.empty()) {
        const auto next = server.waiting.front();
        server.waiting.pop_front();
        startRequest(world, server, next, done.at);
    }
    return latency;
}

auto findMaxColdSends(model &world) -> void
{
    for (const auto &[id, server] : world.servers) {
        for (std::size_t from = 0; from < server.coldSends.size(); ++from) {
            int inside = 0;
            for (auto at = from;
                 at < server.coldSends.size() && server.coldSends[at] < server.coldSends[from] + 1s;
                 ++at)
                ++inside;
            world.result.maxColdSends = std::max(world.result.maxColdSends, inside);
        }
    }
}

auto refuse(model &world, permit_number request, instant now) -> void
{
    ++world.result.refused;
    world.result.longestRefusal =
            std::max(world.result.longestRefusal, now - world.requests.at(request).arrived);
}

auto dispatch(model &world, permit_queue &queue, instant now) -> void
{
    for (const auto &permit : issuePermits(queue, now))
        sendTo(world, world.servers.at(permit.server), permit.number, now);
    for (const auto &refused : removeExpired(queue, now))
        refuse(world, refused.number, now);
    if (const auto next = nextWakeup(queue, now))
        schedule(world, *next, event_kind::Wakeup);
}

auto handleArrival(model &world, permit_queue &queue, const event &arrival) -> void
{
    world.requests[arrival.request] = {arrival.at, drawServiceTime(world), {}};
    ++world.result.offered;
    permit_request request;
    request.number = arrival.request;
    request.route = "route";
    request.arrived = arrival.at;
    request.targetEnds = arrival.at + world.load.target;
    request.deadline = arrival.at + world.load.deadline;
    if (admit(queue, request, arrival.at) != refusal::None)
        refuse(world, arrival.request, arrival.at);
}

auto toPermitServer(const modelled_server &server) -> permit_server
{
    permit_server listed;
    listed.id = server.id;
    listed.slots = server.slots;
    listed.coldUntil = server.coldUntil;
    listed.coldPerSecond = server.coldPerSecond;
    return listed;
}

} // namespace

auto runPermits(const std::vector<modelled_server> &servers, const modelled_load &load)
        -> model_result
{
    auto world = makeModel(servers, load);
    permit_queue queue;
    std::vector<permit_server> listed;
    for (const auto &server : servers)
        listed.push_back(toPermitServer(server));
    setPermitServers(queue, listed);
    auto lastServed = modelStart;
    while (!world.events.empty()) {
        const auto now = world.events.top().at;
        const auto next = world.events.top();
        world.events.pop();
        if (next.kind == event_kind::Arrival) {
            handleArrival(world, queue, next);
        } else if (next.kind == event_kind::Done) {
            const auto latency = finishRequest(world, next);
            returnPermit(queue, {next.request, permit_result::Answered, latency, std::nullopt},
                         now);
        } else if (now < lastServed + 1ms) {
            continue;
        }
        lastServed = now;
        dispatch(world, queue, now);
        if (now > modelStart + load.length + load.deadline * 4)
            break;
    }
    findMaxColdSends(world);
    return world.result;
}

auto runBaseline(baseline policy, std::size_t hosts, const std::vector<modelled_server> &servers,
                 const modelled_load &load) -> model_result
{
    auto world = makeModel(servers, load);
    std::vector<std::map<server_id, int>> inFlight(hosts);
    std::map<permit_number, std::size_t> sentBy;
    std::vector<server_id> ids;
    for (const auto &[id, server] : world.servers)
        ids.push_back(id);
    while (!world.events.empty()) {
        const auto next = world.events.top();
        world.events.pop();
        if (next.kind == event_kind::Done) {
            finishRequest(world, next);
            --inFlight[sentBy.at(next.request)][next.server];
            continue;
        }
        world.requests[next.request] = {next.at, drawServiceTime(world), {}};
        ++world.result.offered;
        const auto host = next.request % hosts;
        auto &own = inFlight[host];
        std::shuffle(ids.begin(), ids.end(), world.random);
        const auto considered =
                policy == baseline::BetterOfTwo ? std::min<std::size_t>(2, ids.size()) : ids.size();
        const auto best = *std::min_element(
                ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(considered),
                [&](const auto &left, const auto &right) { return own[left] < own[right]; });
        ++own[best];
        sentBy[next.request] = host;
        sendTo(world, world.servers.at(best), next.request, next.at);
    }
    findMaxColdSends(world);
    return world.result;
}

} // namespace parsleyloft
