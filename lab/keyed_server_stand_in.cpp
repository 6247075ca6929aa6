// A stand-in for a backend server that implements the platform's server interface.
#include "lab/keyed_server_stand_in.h"

#include "codec/json.h"
#include "core/site.h"
#include "generated/site.pb.h"
#include "platform/wire_names.h"

#include <mutex>

namespace parsleyloft {

namespace {

constexpr std::size_t maxBodyBytes = 1024UL * 1024;

// Keys under a grant, or released keys, for which a lower fence is refused too.
struct held_range
{
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::uint64_t fence = 0;
    instant until{};
};

} // namespace

struct keyed_server_stand_in::internals
{
    worker_pool &pool;
    keyed_server_options options;
    endpoint address;

    std::mutex lock;
    // All guarded by lock.
    std::vector<held_range> held;
    std::vector<key_hold> holds;
    std::vector<served_request> requests;
    std::size_t arrivals = 0;
    std::uint32_t running = 0;
    std::uint32_t peakRunning = 0;
    std::uint32_t announcements = 0;
    keyed_server_faults faults;
    http_server server;
};

namespace {

using shared_server = std::shared_ptr<keyed_server_stand_in::internals>;

auto makeResponse(unsigned status, const http_request &request) -> http_response
{
    http_response response;
    response.status = status;
    response.headers[requestIdName] = headerValue(request.headers, requestIdName);
    return response;
}

// A response that states that the request was not run.
auto notExecuted(unsigned status, const http_request &request) -> http_response
{
    auto response = makeResponse(status, request);
    response.headers[notExecutedName] = "1";
    return response;
}

// The response to a request for another server.
auto misdirected(const keyed_server_stand_in::internals &server, const http_request &request)
        -> http_response
{
    auto response = notExecuted(421, request);
    response.headers[answeringServerName] = server.options.id;
    return response;
}

// A rejection of a request because of a fault, if there is one.
auto faultRejection(const keyed_server_faults &faults, const http_request &request)
        -> std::optional<http_response>
{
    if (!faults.rejectRequests && !faults.retryAfterSeconds)
        return std::nullopt;
    auto response = notExecuted(503, request);
    if (faults.retryAfterSeconds)
        response.headers[retryAfterName] = std::to_string(*faults.retryAfterSeconds);
    return response;
}

// Ends the holds of these keys now. Parts of a hold that are outside of the range go on.
auto endHolds(keyed_server_stand_in::internals &server, std::uint32_t from, std::uint32_t to,
              instant now) -> void
{
    std::vector<key_hold> remaining;
    for (auto &hold : server.holds) {
        if (hold.until <= now || hold.to < from || hold.from > to)
            continue;
        if (hold.from < from)
            remaining.push_back({hold.from, from - 1, hold.fence, hold.since, hold.until});
        if (hold.to > to)
            remaining.push_back({to + 1, hold.to, hold.fence, hold.since, hold.until});
        hold.from = std::max(hold.from, from);
        hold.to = std::min(hold.to, to);
        hold.until = now;
    }
    server.holds.insert(server.holds.end(), remaining.begin(), remaining.end());
}

auto grant(keyed_server_stand_in::internals &server, const http_request &request) -> http_response
{
    wire::KeyGrant message;
    if (!readLenientJson(request.body, message))
        return makeResponse(400, request);
    const auto now = monotonicNow();
    const auto fence = static_cast<std::uint64_t>(message.fence());
    for (const auto &range : server.held) {
        const auto overlaps = range.from <= message.to() && range.to >= message.from();
        if (overlaps && range.fence > fence)
            return makeResponse(409, request);
    }
    std::erase_if(server.held, [&](const auto &range) {
        return range.from >= message.from() && range.to <= message.to();
    });
    const auto until = now + std::chrono::milliseconds(message.hold_ms());
    server.held.push_back({message.from(), message.to(), fence, until});
    endHolds(server, message.from(), message.to(), now);
    server.holds.push_back({message.from(), message.to(), fence, now, until});
    return makeResponse(200, request);
}

auto release(keyed_server_stand_in::internals &server, const http_request &request) -> http_response
{
    wire::KeyRelease message;
    if (!readLenientJson(request.body, message))
        return makeResponse(400, request);
    std::vector<held_range> remaining;
    auto fence = static_cast<std::uint64_t>(message.fence());
    for (const auto &range : server.held) {
        if (range.to < message.from() || range.from > message.to()) {
            remaining.push_back(range);
            continue;
        }
        fence = std::max(fence, range.fence);
        if (range.from < message.from())
            remaining.push_back({range.from, message.from() - 1, range.fence, range.until});
        if (range.to > message.to())
            remaining.push_back({message.to() + 1, range.to, range.fence, range.until});
    }
    remaining.push_back({message.from(), message.to(), fence, {}});
    server.held = std::move(remaining);
    endHolds(server, message.from(), message.to(), monotonicNow());
    auto response = makeResponse(200, request);
    response.headers[handoverName] = "handover-of-" + server.options.id;
    return response;
}

auto holdsKeyOf(const keyed_server_stand_in::internals &server, const http_request &request) -> bool
{
    if (!server.options.keyed)
        return true;
    const auto key = std::stoul("0" + headerValue(request.headers, keyName));
    const auto now = monotonicNow();
    return std::any_of(server.held.begin(), server.held.end(), [&](const auto &range) {
        return key >= range.from && key <= range.to && now < range.until;
    });
}

// Sends the response of a request whose work has ended, subject to the configured faults.
auto finish(const shared_server &server, const http_request &request, const http_responder &respond)
        -> void
{
    keyed_server_faults faults;
    {
        const std::lock_guard guard(server->lock);
        --server->running;
        faults = server->faults;
    }
    auto response = makeResponse(faults.failRequests ? 500 : 200, request);
    response.headers[stampName] = server->options.id;
    response.headers[loadName] = "0,0,3,100";
    response.body = request.method + " " + request.target + " " + request.body;
    if (faults.dropResponses) {
        response.status = 0;
        response.truncateAfterBytes = 0;
    }
    if (faults.leaving)
        response.headers[leavingName] = "1";
    if (faults.wrongRequestId)
        response.headers[requestIdName] = "another-request";
    respond(std::move(response));
}

// Starts the work of a request, or rejects it.
auto run(const shared_server &server, const http_request &request, const http_responder &respond)
        -> void
{
    duration work = 0us;
    {
        const std::lock_guard guard(server->lock);
        ++server->arrivals;
        const auto expected = headerValue(request.headers, expectedServerName);
        if (!expected.empty() && expected != server->options.id) {
            respond(misdirected(*server, request));
            return;
        }
        if (!holdsKeyOf(*server, request)) {
            respond(notExecuted(421, request));
            return;
        }
        if (auto rejection = faultRejection(server->faults, request)) {
            respond(std::move(*rejection));
            return;
        }
        server->requests.push_back({headerValue(request.headers, requestIdName), request.method,
                                    request.target, request.body, request.headers});
        server->peakRunning = std::max(server->peakRunning, ++server->running);
        work = server->faults.serviceTime;
    }
    postAfter(server->pool, work, [server, request, respond] { finish(server, request, respond); });
}

auto handle(const shared_server &server, const http_request &request, const http_responder &respond)
        -> void
{
    const auto path = targetPath(request.target);
    if (path != "/grant" && path != "/release") {
        run(server, request, respond);
        return;
    }
    http_response response;
    {
        const std::lock_guard guard(server->lock);
        const auto expected = headerValue(request.headers, expectedServerName);
        if (!expected.empty() && expected != server->options.id)
            response = misdirected(*server, request);
        else
            response = path == "/grant" ? grant(*server, request) : release(*server, request);
    }
    respond(std::move(response));
}

} // namespace

auto startKeyedServer(worker_pool &pool, store_stand_in &store, const endpoint &address,
                      const keyed_server_options &options) -> result<keyed_server_stand_in>
{
    auto impl =
            std::shared_ptr<keyed_server_stand_in::internals>(new keyed_server_stand_in::internals{
                    pool, options, address, {}, {}, {}, {}, 0, 0, 0, 0, {}, {}});
    auto server = startHttpServer(pool, address, {maxBodyBytes, 0us},
                                  [weak = std::weak_ptr(impl)](const http_request &request,
                                                               const http_responder &respond) {
                                      if (const auto standIn = weak.lock())
                                          handle(standIn, request, respond);
                                  });
    if (!server)
        return tl::unexpected(server.error());
    impl->server = std::move(*server);
    keyed_server_stand_in started{std::move(impl)};
    publishServerState(started, store, false);
    return started;
}

auto setServerFaults(keyed_server_stand_in &server, const keyed_server_faults &faults) -> void
{
    const std::lock_guard guard(server.impl->lock);
    server.impl->faults = faults;
}

auto publishServerState(keyed_server_stand_in &server, store_stand_in &store, bool draining) -> void
{
    std::uint32_t sequence = 0;
    {
        const std::lock_guard guard(server.impl->lock);
        sequence = ++server.impl->announcements;
    }
    putServerEntry(store, server.impl->options, server.impl->address, sequence, draining);
}

auto putServerEntry(store_stand_in &store, const keyed_server_options &options,
                    const endpoint &address, std::uint32_t sequence, bool draining) -> void
{
    wire::SiteServer entry;
    entry.set_service(options.service);
    entry.set_address(formatEndpoint(address));
    entry.set_zone(options.domain);
    entry.set_slots(options.slots);
    entry.set_state(draining ? "draining" : "ready");
    entry.set_warmup_left_ms(0);
    entry.set_born(options.startTimeMs);
    entry.set_version("v1");
    entry.set_seq(sequence);
    putItem(store, "servers/" + options.id, toJson(entry));
}

auto addressOf(const keyed_server_stand_in &server) -> endpoint
{
    return server.impl->address;
}

auto servedRequests(keyed_server_stand_in &server) -> std::vector<served_request>
{
    const std::lock_guard guard(server.impl->lock);
    return server.impl->requests;
}

auto countHeldKeys(keyed_server_stand_in &server) -> std::size_t
{
    const std::lock_guard guard(server.impl->lock);
    const auto now = monotonicNow();
    std::size_t keys = 0;
    for (const auto &range : server.impl->held)
        keys += now < range.until ? range.to - range.from + 1 : 0;
    return keys;
}

auto heldKeys(keyed_server_stand_in &server) -> std::vector<key_hold>
{
    const std::lock_guard guard(server.impl->lock);
    return server.impl->holds;
}

auto countArrivals(keyed_server_stand_in &server) -> std::size_t
{
    const std::lock_guard guard(server.impl->lock);
    return server.impl->arrivals;
}

auto peakConcurrency(keyed_server_stand_in &server) -> std::uint32_t
{
    const std::lock_guard guard(server.impl->lock);
    return server.impl->peakRunning;
}

} // namespace parsleyloft
