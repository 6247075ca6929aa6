// A small stand-in for the platform: key-value service, leases, watches, host list.
#include "lab/platform_stand_in.h"

#include "codec/json.h"
#include "generated/platform.pb.h"
#include "lab/stand_in_process.h"
#include "telemetry/journal.h"

#include <charconv>
#include <iostream>
#include <mutex>
#include <pcg_random.hpp>

namespace parsleyloft {

namespace {

constexpr std::size_t maxValueBytes = std::size_t(1024) * 1024;
constexpr duration longestWatch = 60s;

struct key_entry
{
    std::string value;
    std::uint64_t index = 0;
    // The session that holds the key, empty for none.
    std::string session;
};

struct session_entry
{
    duration length = 10s;
    instant ends{};
};

struct watch
{
    std::string key;
    std::uint64_t index = 0;
    std::uint64_t number = 0;
    http_responder respond;
};

struct call_counts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
};

} // namespace

struct platform_stand_in::internals
{
    worker_pool *pool = nullptr;
    http_server server;
    journal events;
    std::mutex lock;
    // All guarded by lock.
    std::map<std::string, key_entry> keys;
    std::map<std::string, session_entry> sessions;
    std::map<std::string, wire::ListedService> services;
    std::vector<watch> watches;
    std::uint64_t nextIndex = 1;
    std::uint64_t nextNumber = 1;
    wire::PlatformFaults faults;
    call_counts calls;
    // Calls of the present second, for the limits on rates.
    instant secondBegan{};
    call_counts inSecond;
    pcg32 random{20261204};
};

namespace {

using platform_state = platform_stand_in::internals;
using shared_platform = std::shared_ptr<platform_state>;

constexpr std::string_view keyPrefix = "/v1/kv/";
constexpr std::string_view registerPath = "/v1/agent/service/register";
constexpr std::string_view deregisterPrefix = "/v1/agent/service/deregister/";
constexpr std::string_view renewPrefix = "/v1/session/renew/";

auto numberOf(const std::string &text) -> std::uint64_t
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

auto textResponse(unsigned status, std::string text) -> http_response
{
    http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = std::move(text);
    return response;
}

auto cutResponse() -> http_response
{
    http_response response;
    response.status = 0;
    response.truncateAfterBytes = 0;
    return response;
}

auto entryResponse(const std::string &key, const key_entry &entry) -> http_response
{
    wire::KeyValueEntry message;
    message.set_key(key);
    message.set_value(entry.value);
    message.set_modify_index(entry.index);
    // Consul's own field names are the JSON names of the schema.
    auto json = toJson(message);
    const auto rename = [&](const std::string &from, const std::string &to) {
        const auto at = json.find(from);
        if (at != std::string::npos)
            json.replace(at, from.size(), to);
    };
    rename("\"key\"", "\"Key\"");
    rename("\"value\"", "\"Value\"");
    rename("\"modify_index\"", "\"ModifyIndex\"");
    return textResponse(200, "[" + json + "]");
}

auto readNow(const platform_state &state, const std::string &key) -> http_response
{
    const auto found = state.keys.find(key);
    return found == state.keys.end() ? textResponse(404, "") : entryResponse(key, found->second);
}

// Answers the watches of a key that has changed. Called with the lock held.
auto wakeWatches(platform_state &state, const std::string &key) -> void
{
    std::erase_if(state.watches, [&](const watch &one) {
        if (one.key != key)
            return false;
        one.respond(readNow(state, key));
        return true;
    });
}

auto dropSession(platform_state &state, const std::string &session) -> void
{
    state.sessions.erase(session);
    for (auto &[key, entry] : state.keys) {
        if (entry.session == session)
            entry.session.clear();
    }
}

auto dropEndedSessions(platform_state &state) -> void
{
    std::vector<std::string> ended;
    for (const auto &[id, session] : state.sessions) {
        if (monotonicNow() >= session.ends)
            ended.push_back(id);
    }
    for (const auto &id : ended)
        dropSession(state, id);
}

auto mayWrite(platform_state &state, const http_request &request, const key_entry &entry) -> bool
{
    const auto expected = queryParameter(request.target, "cas");
    if (!expected.empty() && numberOf(expected) != entry.index)
        return false;
    const auto session = queryParameter(request.target, "acquire");
    if (session.empty())
        return true;
    dropEndedSessions(state);
    return state.sessions.contains(session) && (entry.session.empty() || entry.session == session);
}

auto writeKeyNow(platform_state &state, const std::string &key, http_request &request)
        -> http_response
{
    if (request.body.size() > maxValueBytes)
        return textResponse(413, "value exceeds 1 MiB");
    auto &entry = state.keys[key];
    if (!mayWrite(state, request, entry)) {
        if (entry.index == 0)
            state.keys.erase(key);
        return textResponse(200, "false");
    }
    entry.value = std::move(request.body);
    entry.index = state.nextIndex++;
    const auto session = queryParameter(request.target, "acquire");
    if (!session.empty())
        entry.session = session;
    wakeWatches(state, key);
    return textResponse(200, "true");
}

auto beginWatch(const shared_platform &state, const std::string &key, std::uint64_t index,
                const http_responder &respond) -> void
{
    const auto number = state->nextNumber++;
    state->watches.push_back({key, index, number, respond});
    postAfter(*state->pool, longestWatch, [state, number] {
        const std::lock_guard guard(state->lock);
        std::erase_if(state->watches, [&](const watch &one) {
            if (one.number != number)
                return false;
            one.respond(readNow(*state, one.key));
            return true;
        });
    });
}

// Counts a call against the limit of the present second.
auto overLimit(platform_state &state, bool isWrite) -> bool
{
    const auto now = monotonicNow();
    if (now >= state.secondBegan + 1s) {
        state.secondBegan = now;
        state.inSecond = {};
    }
    auto &count = isWrite ? state.inSecond.writes : state.inSecond.reads;
    const auto limit = isWrite ? state.faults.writes_per_second() : state.faults.reads_per_second();
    return limit != 0 && ++count > limit;
}

auto handleKey(const shared_platform &state, http_request &request, const http_responder &respond)
        -> void
{
    const auto key = std::string(targetPath(request.target).substr(keyPrefix.size()));
    if (overLimit(*state, request.method == "PUT")) {
        respond(textResponse(429, "over the rate"));
        return;
    }
    if (request.method == "PUT") {
        ++state->calls.writes;
        auto response = writeKeyNow(*state, key, request);
        const auto lost = state->random(1000) < state->faults.lost_answers_permille();
        respond(lost ? cutResponse() : std::move(response));
        return;
    }
    const auto index = numberOf(queryParameter(request.target, "index"));
    const auto found = state->keys.find(key);
    if (index != 0 && found != state->keys.end() && found->second.index <= index) {
        ++state->calls.watches;
        beginWatch(state, key, index, respond);
        return;
    }
    ++state->calls.reads;
    respond(readNow(*state, key));
}

auto listServices(const platform_state &state) -> http_response
{
    std::string text = "{";
    for (const auto &[id, service] : state.services) {
        std::string meta;
        for (const auto &[name, value] : service.meta())
            meta += (meta.empty() ? "" : ",") + ("\"" + name + "\":\"" + value + "\"");
        text += (text.size() == 1 ? "\"" : ",\"") + id + "\":{\"ID\":\"" + id + "\",\"Service\":\""
                + service.service() + "\",\"Address\":\"" + service.address()
                + "\",\"Port\":" + std::to_string(service.port()) + ",\"Meta\":{" + meta + "}}";
    }
    return textResponse(200, text + "}");
}

auto journalService(const platform_state &state, const wire::ListedService &service) -> void
{
    const auto found = service.meta().find("state");
    const auto leaving = found != service.meta().end() && found->second == "leaving";
    wire::JournalEvent event;
    event.set_kind(leaving ? wire::JOURNAL_KIND_SERVER_LEAVING : wire::JOURNAL_KIND_SERVER_LIVE);
    event.set_server_id(service.id());
    recordEvent(state.events, std::move(event));
}

auto registerService(platform_state &state, const http_request &request) -> http_response
{
    wire::ListedService service;
    const auto read = readLenientJson(request.body, service);
    if (!read || service.id().empty())
        return textResponse(400, "not a service");
    journalService(state, service);
    state.services[service.id()] = service;
    return textResponse(200, "");
}

auto createSession(platform_state &state) -> http_response
{
    const auto id = "session-" + std::to_string(state.nextNumber++);
    session_entry session;
    session.ends = monotonicNow() + session.length;
    state.sessions[id] = session;
    return textResponse(200, "{\"ID\":\"" + id + "\"}");
}

auto renewSession(platform_state &state, const std::string &id) -> http_response
{
    dropEndedSessions(state);
    const auto found = state.sessions.find(id);
    if (found == state.sessions.end())
        return textResponse(404, "");
    found->second.ends = monotonicNow() + found->second.length;
    return textResponse(200, "");
}

auto setFaults(platform_state &state, const http_request &request) -> http_response
{
    wire::PlatformFaults faults;
    const auto read = readJson(request.body, faults);
    if (!read)
        return textResponse(400, read.error().detail);
    state.faults = faults;
    return textResponse(200, toJson(faults));
}

auto countsResponse(const call_counts &calls) -> http_response
{
    return textResponse(200,
                        "{\"reads\":" + std::to_string(calls.reads)
                                + ",\"writes\":" + std::to_string(calls.writes)
                                + ",\"watches\":" + std::to_string(calls.watches)
                                + ",\"lists\":" + std::to_string(calls.lists) + "}");
}

// Carries out one call of the platform's own interface. Called with the lock held.
auto handlePlatformCall(const shared_platform &state, http_request &request,
                        const http_responder &respond) -> void
{
    const auto path = std::string(targetPath(request.target));
    if (path.starts_with(keyPrefix)) {
        handleKey(state, request, respond);
    } else if (path == "/v1/agent/services") {
        ++state->calls.lists;
        respond(listServices(*state));
    } else if (path == registerPath) {
        respond(registerService(*state, request));
    } else if (path.starts_with(deregisterPrefix)) {
        state->services.erase(path.substr(deregisterPrefix.size()));
        respond(textResponse(200, ""));
    } else if (path == "/v1/session/create") {
        respond(createSession(*state));
    } else if (path.starts_with(renewPrefix)) {
        respond(renewSession(*state, path.substr(renewPrefix.size())));
    } else {
        respond(textResponse(404, "no such resource"));
    }
}

auto handleAfterDelay(const shared_platform &state, http_request &request,
                      const http_responder &respond) -> void
{
    const std::lock_guard guard(state->lock);
    if (state->faults.down())
        respond(cutResponse());
    else
        handlePlatformCall(state, request, respond);
}

auto handle(const shared_platform &state, http_request request, const http_responder &respond)
        -> void
{
    duration delay = 0us;
    {
        const std::lock_guard guard(state->lock);
        const auto path = targetPath(request.target);
        if (path == "/test/faults") {
            respond(setFaults(*state, request));
            return;
        }
        if (path == "/test/calls") {
            respond(countsResponse(state->calls));
            return;
        }
        delay = std::chrono::milliseconds(state->faults.delay_ms());
    }
    if (delay == 0us) {
        handleAfterDelay(state, request, respond);
        return;
    }
    auto shared = std::make_shared<http_request>(std::move(request));
    postAfter(*state->pool, delay,
              [state, shared, respond] { handleAfterDelay(state, *shared, respond); });
}

} // namespace

auto startPlatform(worker_pool &pool, const endpoint &at, const std::string &journalPath)
        -> result<platform_stand_in>
{
    auto state = std::make_shared<platform_state>();
    state->pool = &pool;
    auto events = openJournal(journalPath, "platform");
    if (!events)
        return tl::unexpected(events.error());
    state->events = std::move(*events);
    constexpr std::size_t bodyLimit = 2 * maxValueBytes;
    auto server = startHttpServer(pool, at, {bodyLimit, 0us},
                                  [state](http_request request, const http_responder &respond) {
                                      handle(state, std::move(request), respond);
                                  });
    if (!server)
        return tl::unexpected(server.error());
    state->server = std::move(*server);
    return platform_stand_in{std::move(state)};
}

auto runPlatform(const arguments &rest) -> exit_code
{
    namespace options = boost::program_options;
    std::string at;
    std::string journalPath;
    options::options_description known("options");
    known.add_options()("help", "show this text");
    known.add_options()("listen", options::value(&at)->required(), "ip:port to listen at");
    known.add_options()("journal", options::value(&journalPath), "file for events");
    options::variables_map values;
    const auto ended = parseOptions(rest, known, {}, values);
    if (ended)
        return *ended;
    constexpr unsigned threads = 2;
    return runStandIn(at, threads, [&](worker_pool &pool, const endpoint &where) {
        return startPlatform(pool, where, journalPath);
    });
}

} // namespace parsleyloft
