// A small queue model that drives a policy with arrivals and service times.
#include "support/queue_harness.h"

#include <pcg_random.hpp>

#include <queue>
#include <random>

namespace parsleyloft {

namespace {

enum class event_kind { Arrival, Done, Look };

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

struct request_in_model
{
    instant arrived{};
    duration work{};
    instant sentAt{};
};

struct server_in_model
{
    modelled_server of;
    std::uint32_t running = 0;
    std::deque<permit_number> waiting;
    std::vector<instant> coldSends;
};

struct model
{
    modelled_load load;
    std::map<server_id, server_in_model> servers;
    std::map<permit_number, request_in_model> requests;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t nextOrder = 0;
    permit_number nextRequest = 1;
    pcg64 random;
    model_result result;
};

const instant modelStart{1h};

auto plan(model &world, instant at, event_kind kind, permit_number request = 0,
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
        plan(world, at, event_kind::Arrival, world.nextRequest++);
    }
    return world;
}

auto drawWork(model &world) -> duration
{
    std::lognormal_distribution<double> spread(-0.125, 0.5);
    return duration(static_cast<std::int64_t>(static_cast<double>(world.load.meanWork.count())
                                              * spread(world.random)));
}

auto begin(model &world, server_in_model &server, permit_number request, instant now) -> void
{
    ++server.running;
    const auto work = static_cast<double>(world.requests.at(request).work.count());
    plan(world, now + duration(static_cast<std::int64_t>(work * server.of.slowness(now))),
         event_kind::Done, request, server.of.id);
}

auto sendTo(model &world, server_in_model &server, permit_number request, instant now) -> void
{
    world.requests.at(request).sentAt = now;
    if (now < server.of.coldUntil)
        server.coldSends.push_back(now);
    const auto here = server.running + static_cast<std::uint32_t>(server.waiting.size()) + 1;
    world.result.mostAtAServer = std::max(world.result.mostAtAServer, here);
    if (server.running < server.of.slots)
        begin(world, server, request, now);
    else if (server.waiting.size() < server.of.queue)
        server.waiting.push_back(request);
    else
        ++world.result.lost;
}

auto countAnswer(model &world, permit_number request, instant now) -> duration
{
    const auto &one = world.requests.at(request);
    const auto took = now - one.arrived;
    if (took <= world.load.target)
        ++world.result.inTarget;
    else if (took <= world.load.deadline)
        ++world.result.late;
    else
        ++world.result.lost;
    return now - one.sentAt;
}

// Ends a request at its server and starts the next one there. Returns its latency.
auto finishAt(model &world, const event &ended) -> duration
{
    auto &server = world.servers.at(ended.server);
    --server.running;
    const auto latency = countAnswer(world, ended.request, ended.at);
    if (!server.waiting.empty()) {
        const auto next = server.waiting.front();
        server.waiting.pop_front();
        begin(world, server, next, ended.at);
    }
    return latency;
}

auto countColdSends(model &world) -> void
{
    for (const auto &[id, server] : world.servers) {
        for (std::size_t from = 0; from < server.coldSends.size(); ++from) {
            int inside = 0;
            for (auto at = from;
                 at < server.coldSends.size() && server.coldSends[at] < server.coldSends[from] + 1s;
                 ++at)
                ++inside;
            world.result.mostColdSends = std::max(world.result.mostColdSends, inside);
        }
    }
}

auto refuse(model &world, permit_number request, instant now) -> void
{
    ++world.result.refused;
    world.result.longestRefusal =
            std::max(world.result.longestRefusal, now - world.requests.at(request).arrived);
}

auto serve(model &world, permit_queue &queue, instant now) -> void
{
    for (const auto &permit : issuePermits(queue, now))
        sendTo(world, world.servers.at(permit.server), permit.number, now);
    for (const auto &refused : removeExpired(queue, now))
        refuse(world, refused.number, now);
    if (const auto next = nextWakeup(queue, now))
        plan(world, *next, event_kind::Look);
}

auto arrive(model &world, permit_queue &queue, const event &arrival) -> void
{
    world.requests[arrival.request] = {arrival.at, drawWork(world), {}};
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
    auto lastLook = modelStart;
    while (!world.events.empty()) {
        const auto now = world.events.top().at;
        const auto next = world.events.top();
        world.events.pop();
        if (next.kind == event_kind::Arrival) {
            arrive(world, queue, next);
        } else if (next.kind == event_kind::Done) {
            const auto latency = finishAt(world, next);
            returnPermit(queue, {next.request, permit_result::Answered, latency, std::nullopt},
                         now);
        } else if (now < lastLook + 1ms) {
            continue;
        }
        lastLook = now;
        serve(world, queue, now);
        if (now > modelStart + load.length + load.deadline * 4)
            break;
    }
    countColdSends(world);
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
            finishAt(world, next);
            --inFlight[sentBy.at(next.request)][next.server];
            continue;
        }
        world.requests[next.request] = {next.at, drawWork(world), {}};
        ++world.result.offered;
        const auto host = next.request % hosts;
        auto &own = inFlight[host];
        std::shuffle(ids.begin(), ids.end(), world.random);
        const auto seen =
                policy == baseline::BetterOfTwo ? std::min<std::size_t>(2, ids.size()) : ids.size();
        const auto best = *std::min_element(
                ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(seen),
                [&](const auto &left, const auto &right) { return own[left] < own[right]; });
        ++own[best];
        sentBy[next.request] = host;
        sendTo(world, world.servers.at(best), next.request, next.at);
    }
    countColdSends(world);
    return world.result;
}

} // namespace parsleyloft
