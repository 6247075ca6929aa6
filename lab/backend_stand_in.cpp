// A stand-in for a backend server that owns keys under fenced grants.
#include "lab/backend_stand_in.h"

#include "codec/assignment_codec.h"
#include "codec/json.h"
#include "generated/server.pb.h"
#include "lab/stand_in_process.h"
#include "telemetry/journal.h"

#include <cmath>
#include <iostream>
#include <mutex>
#include <pcg_random.hpp>
#include <random>

namespace parsleyloft {

namespace {

// How long an overloaded cold server rejects all requests.
constexpr duration overrunRecovery = 500ms;

// A load report is refreshed no more often than this, so that it may be this old.
constexpr duration reportPeriod = 1s;

struct held_grant
{
    epoch groupEpoch;
    std::uint64_t sequence = 0;
    instant until{};
    std::map<shard_index, epoch> shards;
};

// The response of a request that is running, and where to send it.
struct running_work
{
    http_responder respond;
    http_response response;
};

} // namespace

struct backend_stand_in::internals
{
    worker_pool *pool = nullptr;
    backend_options options;
    start_number start = 0;
    http_server server;
    journal events;
    std::mutex lock;
    // All guarded by lock.
    held_grant grant;
    // Invariant: the epoch of a shard never decreases. Grants under a lower epoch are rejected.
    std::map<shard_index, epoch> highestEpochs;
    std::map<request_id, running_work> running;
    std::uint32_t answered = 0;
    // Requests are rejected until this time.
    instant overrunUntil{};
    wire::ServerFaults faults;
    // Crossed answers fault: the work whose response waits to be swapped with the next one.
    std::optional<running_work> crossed;
    wire::LoadReport lastReport;
    instant reportedAt{};
    pcg32 random;
    bool draining = false;
};

namespace {

using backend_state = backend_stand_in::internals;
using shared_backend = std::shared_ptr<backend_state>;

auto plainResponse(unsigned status, std::string body) -> http_response
{
    http_response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

// A response that states that the request was not run.
auto refusal(unsigned status, const std::string &reason) -> http_response
{
    auto response = plainResponse(status, reason);
    response.headers["Run"] = "no";
    return response;
}

auto shardEvent(const backend_state &state, wire::JournalKind kind, shard_index shard,
                const epoch &grantEpoch, instant time) -> wire::JournalEvent
{
    wire::JournalEvent event;
    event.set_kind(kind);
    event.set_at_us(toMicroseconds(time));
    event.set_service(state.options.service);
    event.set_failure_domain(state.options.domain);
    event.set_server_id(state.options.id);
    event.set_shard(shard);
    *event.mutable_epoch() = toWire(grantEpoch);
    return event;
}

auto recordRelease(backend_state &state, shard_index shard, const epoch &grantEpoch, instant time)
        -> void
{
    recordEvent(state.events,
                shardEvent(state, wire::JOURNAL_KIND_GRANT_RELEASED, shard, grantEpoch, time));
}

// Releases all shards if the grant has expired.
auto releaseIfExpired(backend_state &state, instant now) -> void
{
    if (now < state.grant.until)
        return;
    for (const auto &[shard, grantEpoch] : state.grant.shards)
        recordRelease(state, shard, grantEpoch, state.grant.until);
    state.grant.shards.clear();
}

// Replaces the held shards by those of the message, without those under an outdated epoch.
auto holdShards(backend_state &state, const wire::GrantRequest &message, instant now) -> void
{
    std::map<shard_index, epoch> next;
    for (const auto &shard : message.shards()) {
        const auto grantEpoch = fromWire(shard.epoch());
        auto &highestEpoch = state.highestEpochs[shard.shard()];
        if (grantEpoch < highestEpoch)
            continue;
        highestEpoch = grantEpoch;
        next[shard.shard()] = grantEpoch;
    }
    for (const auto &[shard, grantEpoch] : state.grant.shards) {
        const auto kept = next.find(shard);
        if (kept == next.end() || kept->second != grantEpoch)
            recordRelease(state, shard, grantEpoch, now);
    }
    state.grant.shards = std::move(next);
    for (const auto &[shard, grantEpoch] : state.grant.shards) {
        auto event = shardEvent(state, wire::JOURNAL_KIND_GRANT_HELD, shard, grantEpoch, now);
        event.set_until_us(toMicroseconds(state.grant.until));
        recordEvent(state.events, std::move(event));
    }
}

// Applies a grant message. Returns false if it is outdated, expired, or addressed to an earlier
// incarnation of the server.
auto applyGrant(backend_state &state, const wire::GrantRequest &message, instant now) -> bool
{
    releaseIfExpired(state, now);
    const auto grantEpoch = fromWire(message.group_epoch());
    if (grantEpoch < state.grant.groupEpoch)
        return false;
    const auto outdated =
            grantEpoch == state.grant.groupEpoch && message.sequence() <= state.grant.sequence;
    if (outdated)
        return false;
    const auto until = fromMicroseconds(message.until_us());
    if (message.server_start() != state.start || until <= now)
        return false;
    state.grant.groupEpoch = grantEpoch;
    state.grant.sequence = message.sequence();
    state.grant.until = std::max(state.grant.until, until);
    holdShards(state, message, now);
    return true;
}

auto handleGrant(backend_state &state, const http_request &request) -> http_response
{
    wire::GrantRequest message;
    const auto parsed = readJson(request.body, message);
    if (!parsed)
        return plainResponse(400, parsed.error().detail);
    const auto now = monotonicNow();
    wire::GrantReply reply;
    // A request without an end time only reads the clock.
    reply.set_accepted(message.until_us() == 0 || applyGrant(state, message, now));
    reply.set_clock_us(toMicroseconds(now));
    reply.set_start_number(state.start);
    *reply.mutable_group_epoch() = toWire(state.grant.groupEpoch);
    return plainResponse(200, toJson(reply));
}

auto isCold(const backend_state &state) -> bool
{
    return state.answered < state.options.coldAnswers;
}

// The number of requests that the server can run at a time. It grows from one to all slots while
// the server warms up.
auto capacity(const backend_state &state) -> std::uint32_t
{
    if (!isCold(state))
        return state.options.slots;
    const auto warmSlots = state.answered * state.options.slots / state.options.coldAnswers;
    return std::max(1U, warmSlots);
}

// True if the request needs no grant, or the server holds its shard under the request's epoch.
auto isGranted(backend_state &state, const http_request &request, instant now) -> bool
{
    const auto shard = headerValue(request.headers, "Shard");
    if (!state.options.checksGrants || shard.empty())
        return true;
    releaseIfExpired(state, now);
    const auto held = state.grant.shards.find(static_cast<shard_index>(std::stoul(shard)));
    return held != state.grant.shards.end()
            && toString(held->second) == headerValue(request.headers, "Epoch");
}

auto isDeadlinePassed(const http_request &request, instant now) -> bool
{
    const auto deadline = headerValue(request.headers, "Deadline-Clock-Us");
    return !deadline.empty() && toMicroseconds(now) >= std::stoll(deadline);
}

// Returns a refusal if the request must not run now.
auto checkRefusal(backend_state &state, const http_request &request, instant now)
        -> std::optional<http_response>
{
    if (state.draining)
        return refusal(503, "draining");
    if (now < state.overrunUntil)
        return refusal(503, "restarting");
    if (!isGranted(state, request, now))
        return refusal(409, "the server does not own the shard under this epoch");
    if (isDeadlinePassed(request, now))
        return refusal(504, "the deadline has passed");
    const auto running = static_cast<std::uint32_t>(state.running.size());
    if (running < capacity(state))
        return std::nullopt;
    if (!isCold(state))
        return refusal(503, "no free slot");
    // A cold server fails temporarily when it receives more requests than it can run.
    state.overrunUntil = now + overrunRecovery;
    wire::JournalEvent event;
    event.set_kind(wire::JOURNAL_KIND_OVERRUN);
    event.set_server_id(state.options.id);
    event.set_limit(capacity(state));
    event.set_running(running + 1);
    recordEvent(state.events, std::move(event));
    return refusal(503, "overloaded while cold");
}

auto runEvent(const backend_state &state, const http_request &request, wire::JournalKind kind)
        -> wire::JournalEvent
{
    wire::JournalEvent event;
    event.set_kind(kind);
    event.set_server_id(state.options.id);
    event.set_service(state.options.service);
    event.set_failure_domain(state.options.domain);
    event.set_request_id(headerValue(request.headers, "Request-Id"));
    event.set_class_name(headerValue(request.headers, "Class"));
    event.set_key(headerValue(request.headers, "Key"));
    event.set_may_repeat(headerValue(request.headers, "May-Repeat") == "yes");
    const auto shard = headerValue(request.headers, "Shard");
    if (!shard.empty())
        event.set_shard(static_cast<std::uint32_t>(std::stoul(shard)));
    return event;
}

auto drawServiceTime(backend_state &state) -> duration
{
    const auto mean = state.faults.service_time_us() > 0 ? duration(state.faults.service_time_us())
                                                         : state.options.serviceTime;
    constexpr double spread = 0.3;
    std::lognormal_distribution<double> draw(-spread * spread / 2, spread);
    const auto slowdown = 1.0 + state.faults.slowdown_permille() / 1000.0;
    return duration(
            std::llround(static_cast<double>(mean.count()) * draw(state.random) * slowdown));
}

// Swaps the responses of two requests, so that each is sent on the other's connection.
auto respondCrossed(backend_state &state, running_work work) -> void
{
    if (!state.crossed) {
        state.crossed = std::move(work);
        return;
    }
    auto other = std::move(*state.crossed);
    state.crossed.reset();
    other.respond(std::move(work.response));
    work.respond(std::move(other.response));
}

// Sends the response, subject to the configured faults.
auto sendResponse(backend_state &state, running_work work) -> void
{
    if (state.faults.close_mid_answer() || state.faults.short_body())
        work.response.truncateAfterBytes =
                state.faults.short_body() ? work.response.body.size() / 2 : 0;
    if (state.faults.crossed_answers())
        respondCrossed(state, std::move(work));
    else
        work.respond(std::move(work.response));
}

auto endWork(const shared_backend &state, const http_request &request) -> void
{
    const std::lock_guard guard(state->lock);
    const auto found = state->running.find(headerValue(request.headers, "Request-Id"));
    if (found == state->running.end())
        return;
    auto work = std::move(found->second);
    state->running.erase(found);
    ++state->answered;
    recordEvent(state->events, runEvent(*state, request, wire::JOURNAL_KIND_RUN_ENDED));
    const auto delay = std::chrono::milliseconds(state->faults.delay_answers_ms());
    if (delay == delay.zero()) {
        sendResponse(*state, std::move(work));
        return;
    }
    auto shared = std::make_shared<running_work>(std::move(work));
    postAfter(*state->pool, delay, [state, shared] {
        const std::lock_guard delayedGuard(state->lock);
        sendResponse(*state, std::move(*shared));
    });
}

auto handleRun(const shared_backend &state, const http_request &request,
               const http_responder &respond) -> void
{
    const auto id = headerValue(request.headers, "Request-Id");
    const auto now = monotonicNow();
    auto refused = checkRefusal(*state, request, now);
    if (refused) {
        refused->headers["Request-Id"] = id;
        respond(std::move(*refused));
        return;
    }
    recordEvent(state->events, runEvent(*state, request, wire::JOURNAL_KIND_RUN_STARTED));
    auto response = plainResponse(200, id + " " + request.body);
    response.headers["Request-Id"] = id;
    state->running[id] = {respond, std::move(response)};
    postAfter(*state->pool, drawServiceTime(*state), [state, request] { endWork(state, request); });
}

auto handleCancel(backend_state &state, const http_request &request) -> http_response
{
    const auto found = state.running.find(headerValue(request.headers, "Request-Id"));
    if (found == state.running.end())
        return plainResponse(200, "not running");
    found->second.respond(plainResponse(499, "cancelled"));
    state.running.erase(found);
    return plainResponse(200, "cancelled");
}

// Returns a load report, which is up to reportPeriod old and may be falsified by a fault.
auto handleLoad(backend_state &state) -> http_response
{
    const auto now = monotonicNow();
    if (now >= state.reportedAt + reportPeriod) {
        state.reportedAt = now;
        state.lastReport.set_running(static_cast<std::uint32_t>(state.running.size()));
        state.lastReport.set_slots(state.options.slots);
        state.lastReport.set_cold(isCold(state));
    }
    auto report = state.lastReport;
    if (state.faults.false_load())
        report.set_running(0);
    return plainResponse(200, toJson(report));
}

auto handleFaults(backend_state &state, const http_request &request) -> http_response
{
    wire::ServerFaults faults;
    const auto parsed = readJson(request.body, faults);
    if (!parsed)
        return plainResponse(400, parsed.error().detail);
    state.faults = faults;
    state.draining = faults.drain();
    if (faults.turn_cold())
        state.answered = 0;
    return plainResponse(200, toJson(faults));
}

auto handle(const shared_backend &state, const http_request &request, const http_responder &respond)
        -> void
{
    const std::lock_guard guard(state->lock);
    const auto path = targetPath(request.target);
    if (path == "/run")
        handleRun(state, request, respond);
    else if (path == "/grants")
        respond(handleGrant(*state, request));
    else if (path == "/cancel")
        respond(handleCancel(*state, request));
    else if (path == "/load")
        respond(handleLoad(*state));
    else if (path == "/test/faults")
        respond(handleFaults(*state, request));
    else
        respond(plainResponse(404, "no such resource"));
}

auto addOptions(boost::program_options::options_description &description, backend_options &options,
                std::string &address) -> void
{
    namespace library = boost::program_options;
    description.add_options()("help", "show this help");
    description.add_options()("listen", library::value(&address)->required(),
                              "ip:port to listen on");
    description.add_options()("id", library::value(&options.id)->required(), "server id");
    description.add_options()("service", library::value(&options.service)->required(), "service");
    description.add_options()("domain", library::value(&options.domain)->required(),
                              "failure domain");
    description.add_options()("slots", library::value(&options.slots),
                              "maximum number of concurrent requests");
    description.add_options()("cold-answers", library::value(&options.coldAnswers),
                              "number of answers until the server is warm");
    description.add_options()("checks-grants", library::value(&options.checksGrants),
                              "reject work under an outdated epoch");
    description.add_options()("seed", library::value(&options.seed),
                              "seed of the random service times");
    description.add_options()("journal", library::value(&options.journalPath),
                              "journal file for events");
    description.add_options()("service-time-us",
                              library::value<std::int64_t>()->notifier(
                                      [&](auto value) { options.serviceTime = duration(value); }),
                              "mean service time");
    description.add_options()("connection-cost-us",
                              library::value<std::int64_t>()->notifier([&](auto value) {
                                  options.connectionCost = duration(value);
                              }),
                              "delay before the first request of a new connection");
}

} // namespace

auto startBackend(worker_pool &pool, const endpoint &address, const backend_options &options)
        -> result<backend_stand_in>
{
    auto state = std::make_shared<backend_state>();
    state->pool = &pool;
    state->options = options;
    state->random.seed(options.seed);
    std::random_device source;
    state->start = (start_number(source()) << 32U) | source();
    auto events = openJournal(options.journalPath, options.id);
    if (!events)
        return tl::unexpected(events.error());
    state->events = std::move(*events);
    constexpr std::size_t bodyLimit = std::size_t(1024) * 1024;
    auto server =
            startHttpServer(pool, address, {bodyLimit, options.connectionCost},
                            [state](const http_request &request, const http_responder &respond) {
                                handle(state, request, respond);
                            });
    if (!server)
        return tl::unexpected(server.error());
    state->server = std::move(*server);
    return backend_stand_in{std::move(state)};
}

auto runBackend(const arguments &args) -> exit_code
{
    backend_options options;
    std::string address;
    boost::program_options::options_description description("options");
    addOptions(description, options, address);
    boost::program_options::variables_map values;
    const auto exitCode = parseOptions(args, description, {}, values);
    if (exitCode)
        return *exitCode;
    return runStandIn(address, 1, [&](worker_pool &pool, const endpoint &parsedAddress) {
        return startBackend(pool, parsedAddress, options);
    });
}

} // namespace parsleyloft
