// A small stand-in for a backend server that owns keys by fenced grants.
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

// How long a server that fell over answers nothing but errors.
constexpr duration fallenLength = 500ms;

// A load report is as old as this.
constexpr duration reportLag = 1s;

struct held_grant
{
    epoch groupEpoch;
    std::uint64_t sequence = 0;
    instant until{};
    std::map<shard_index, epoch> shards;
};

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
    // Invariant: never falls. Grants of a shard under a lower epoch are refused.
    std::map<shard_index, epoch> highest;
    std::map<request_id, running_work> running;
    std::uint32_t answered = 0;
    instant fallenUntil{};
    wire::ServerFaults faults;
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

auto refusal(unsigned status, const std::string &why) -> http_response
{
    auto response = plainResponse(status, why);
    response.headers["Run"] = "no";
    return response;
}

auto shardEvent(const backend_state &state, wire::JournalKind kind, shard_index shard,
                const epoch &given, instant at) -> wire::JournalEvent
{
    wire::JournalEvent event;
    event.set_kind(kind);
    event.set_at_us(toMicroseconds(at));
    event.set_service(state.options.service);
    event.set_failure_domain(state.options.domain);
    event.set_server_id(state.options.id);
    event.set_shard(shard);
    *event.mutable_epoch() = toWire(given);
    return event;
}

auto noteReleased(backend_state &state, shard_index shard, const epoch &given, instant at) -> void
{
    recordEvent(state.events,
                shardEvent(state, wire::JOURNAL_KIND_GRANT_RELEASED, shard, given, at));
}

auto noteExpiry(backend_state &state, instant now) -> void
{
    if (now < state.grant.until)
        return;
    for (const auto &[shard, given] : state.grant.shards)
        noteReleased(state, shard, given, state.grant.until);
    state.grant.shards.clear();
}

auto holdShards(backend_state &state, const wire::GrantRequest &message, instant now) -> void
{
    std::map<shard_index, epoch> next;
    for (const auto &shard : message.shards()) {
        const auto given = fromWire(shard.epoch());
        auto &highest = state.highest[shard.shard()];
        if (given < highest)
            continue;
        highest = given;
        next[shard.shard()] = given;
    }
    for (const auto &[shard, given] : state.grant.shards) {
        const auto kept = next.find(shard);
        if (kept == next.end() || kept->second != given)
            noteReleased(state, shard, given, now);
    }
    state.grant.shards = std::move(next);
    for (const auto &[shard, given] : state.grant.shards) {
        auto event = shardEvent(state, wire::JOURNAL_KIND_GRANT_HELD, shard, given, now);
        event.set_until_us(toMicroseconds(state.grant.until));
        recordEvent(state.events, std::move(event));
    }
}

auto takeGrant(backend_state &state, const wire::GrantRequest &message, instant now) -> bool
{
    noteExpiry(state, now);
    const auto given = fromWire(message.group_epoch());
    if (given < state.grant.groupEpoch)
        return false;
    const auto overtaken =
            given == state.grant.groupEpoch && message.sequence() <= state.grant.sequence;
    if (overtaken)
        return false;
    const auto until = fromMicroseconds(message.until_us());
    if (message.server_start() != state.start || until <= now)
        return false;
    state.grant.groupEpoch = given;
    state.grant.sequence = message.sequence();
    state.grant.until = std::max(state.grant.until, until);
    holdShards(state, message, now);
    return true;
}

auto handleGrant(backend_state &state, const http_request &request) -> http_response
{
    wire::GrantRequest message;
    const auto read = readJson(request.body, message);
    if (!read)
        return plainResponse(400, read.error().detail);
    const auto now = monotonicNow();
    wire::GrantReply reply;
    // A request without an end only asks for the clock.
    reply.set_accepted(message.until_us() == 0 || takeGrant(state, message, now));
    reply.set_clock_us(toMicroseconds(now));
    reply.set_start_number(state.start);
    *reply.mutable_group_epoch() = toWire(state.grant.groupEpoch);
    return plainResponse(200, toJson(reply));
}

auto isCold(const backend_state &state) -> bool
{
    return state.answered < state.options.coldAnswers;
}

// What a server bears: one request when cold, and one more for each part of its warming.
auto bearable(const backend_state &state) -> std::uint32_t
{
    if (!isCold(state))
        return state.options.slots;
    const auto warmed = state.answered * state.options.slots / state.options.coldAnswers;
    return std::max(1U, warmed);
}

auto mayRun(backend_state &state, const http_request &request, instant now) -> bool
{
    const auto shard = headerValue(request.headers, "Shard");
    if (!state.options.checksGrants || shard.empty())
        return true;
    noteExpiry(state, now);
    const auto held = state.grant.shards.find(static_cast<shard_index>(std::stoul(shard)));
    return held != state.grant.shards.end()
            && toString(held->second) == headerValue(request.headers, "Epoch");
}

auto deadlinePassed(const http_request &request, instant now) -> bool
{
    const auto deadline = headerValue(request.headers, "Deadline-Clock-Us");
    return !deadline.empty() && toMicroseconds(now) >= std::stoll(deadline);
}

// Why the request isn't run, if so.
auto refuse(backend_state &state, const http_request &request, instant now)
        -> std::optional<http_response>
{
    if (state.draining)
        return refusal(503, "draining");
    if (now < state.fallenUntil)
        return refusal(503, "restarting");
    if (!mayRun(state, request, now))
        return refusal(409, "not the owner under this epoch");
    if (deadlinePassed(request, now))
        return refusal(504, "the deadline has passed");
    const auto running = static_cast<std::uint32_t>(state.running.size());
    if (running < bearable(state))
        return std::nullopt;
    if (!isCold(state))
        return refusal(503, "no free slot");
    // A cold server falls over under more than it bears.
    state.fallenUntil = now + fallenLength;
    wire::JournalEvent event;
    event.set_kind(wire::JOURNAL_KIND_OVERRUN);
    event.set_server_id(state.options.id);
    event.set_limit(bearable(state));
    event.set_running(running + 1);
    recordEvent(state.events, std::move(event));
    return refusal(503, "overrun while cold");
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

// Two answers that change places, each on the other's connection.
auto answerCrossed(backend_state &state, running_work work) -> void
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

auto answer(backend_state &state, running_work work) -> void
{
    if (state.faults.close_mid_answer() || state.faults.short_body())
        work.response.truncateAfterBytes =
                state.faults.short_body() ? work.response.body.size() / 2 : 0;
    if (state.faults.crossed_answers())
        answerCrossed(state, std::move(work));
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
        answer(*state, std::move(work));
        return;
    }
    auto shared = std::make_shared<running_work>(std::move(work));
    postAfter(*state->pool, delay, [state, shared] {
        const std::lock_guard later(state->lock);
        answer(*state, std::move(*shared));
    });
}

auto handleRun(const shared_backend &state, const http_request &request,
               const http_responder &respond) -> void
{
    const auto id = headerValue(request.headers, "Request-Id");
    const auto now = monotonicNow();
    auto refused = refuse(*state, request, now);
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

// The report lags behind, and may be false.
auto handleLoad(backend_state &state) -> http_response
{
    const auto now = monotonicNow();
    if (now >= state.reportedAt + reportLag) {
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
    const auto read = readJson(request.body, faults);
    if (!read)
        return plainResponse(400, read.error().detail);
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

auto addOptions(boost::program_options::options_description &known, backend_options &options,
                std::string &at) -> void
{
    namespace library = boost::program_options;
    known.add_options()("help", "show this text");
    known.add_options()("listen", library::value(&at)->required(), "ip:port to listen at");
    known.add_options()("id", library::value(&options.id)->required(), "server id");
    known.add_options()("service", library::value(&options.service)->required(), "service");
    known.add_options()("domain", library::value(&options.domain)->required(), "failure domain");
    known.add_options()("slots", library::value(&options.slots), "requests at a time");
    known.add_options()("cold-answers", library::value(&options.coldAnswers), "answers until warm");
    known.add_options()("checks-grants", library::value(&options.checksGrants),
                        "refuse work under an old epoch");
    known.add_options()("seed", library::value(&options.seed), "of the service times");
    known.add_options()("journal", library::value(&options.journalPath), "file for events");
    known.add_options()("service-time-us",
                        library::value<std::int64_t>()->notifier(
                                [&](auto value) { options.serviceTime = duration(value); }),
                        "mean service time");
    known.add_options()("connection-cost-us",
                        library::value<std::int64_t>()->notifier(
                                [&](auto value) { options.connectionCost = duration(value); }),
                        "time that a new connection takes");
}

} // namespace

auto startBackend(worker_pool &pool, const endpoint &at, const backend_options &options)
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
            startHttpServer(pool, at, {bodyLimit, options.connectionCost},
                            [state](const http_request &request, const http_responder &respond) {
                                handle(state, request, respond);
                            });
    if (!server)
        return tl::unexpected(server.error());
    state->server = std::move(*server);
    return backend_stand_in{std::move(state)};
}

auto runBackend(const arguments &rest) -> exit_code
{
    backend_options options;
    std::string at;
    boost::program_options::options_description known("options");
    addOptions(known, options, at);
    boost::program_options::variables_map values;
    const auto ended = parseOptions(rest, known, {}, values);
    if (ended)
        return *ended;
    return runStandIn(at, 1, [&](worker_pool &pool, const endpoint &where) {
        return startBackend(pool, where, options);
    });
}

} // namespace parsleyloft
