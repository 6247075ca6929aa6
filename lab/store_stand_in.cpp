// A stand-in for the platform's metadata store that implements its interface.
#include "lab/store_stand_in.h"

#include "codec/json.h"
#include "generated/site.pb.h"
#include "platform/wire_names.h"

#include <algorithm>
#include <charconv>
#include <mutex>
#include <random>

namespace parsleyloft {

namespace {

constexpr std::size_t maxItemsPerPage = 500;
constexpr duration leaseCheckPeriod = 50ms;
constexpr std::size_t maxBodyBytes = 2UL * 1024 * 1024;

struct stored_item
{
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
};

struct stored_event
{
    std::uint64_t revision = 0;
    std::string key;
    std::string value;
    bool deleted = false;
};

struct waiting_watch
{
    std::string target;
    std::string prefix;
    std::uint64_t after = 0;
    instant until{};
    http_responder respond;
};

struct held_lease
{
    duration ttl{};
    instant expiresAt{};
};

// The initial state of a store has no revision 0 and no era 0.
constexpr std::uint64_t firstRevision = 100;
constexpr std::uint64_t firstEra = 3;

} // namespace

struct store_copy::contents
{
    std::map<std::string, stored_item> items;
    std::map<std::uint64_t, held_lease> leases;
    std::uint64_t revision = 0;
    std::uint64_t nextLease = 0;
    instant takenAt{};
};

struct store_stand_in::internals
{
    std::mutex lock;
    // All guarded by lock.
    std::map<std::string, stored_item> items;
    std::vector<stored_event> events;
    std::map<std::uint64_t, held_lease> leases;
    std::vector<waiting_watch> watches;
    std::map<std::string, std::uint64_t> calls;
    store_faults faults;
    std::mt19937 lossDraws;
    // Responders of lost answers. Their connections stay open until the client closes them.
    std::vector<http_responder> lost;
    // Rises with each return from a copy.
    std::uint64_t era = firstEra;
    std::uint64_t revision = firstRevision;
    // The oldest revision that watches can start from. Older ones get 410, and so do later ones
    // than the store's.
    std::uint64_t oldestRevision = firstRevision;
    std::uint64_t nextLease = 1;
    http_server server;
};

namespace {

using shared_store = std::shared_ptr<store_stand_in::internals>;

// A response that is sent once the lock has been released.
struct due_response
{
    http_responder respond;
    http_response response;
};

// All responses of the store state its era.
auto answer(const store_stand_in::internals &store, http_responder respond, http_response response)
        -> due_response
{
    response.headers[storeEraName] = std::to_string(store.era);
    return {std::move(respond), std::move(response)};
}

auto emptyResponse(unsigned status) -> http_response
{
    http_response response;
    response.status = status;
    return response;
}

// Closes the connection.
auto noResponse() -> http_response
{
    auto response = emptyResponse(0);
    response.truncateAfterBytes = 0;
    return response;
}

auto jsonResponse(const google::protobuf::Message &message) -> http_response
{
    http_response response;
    response.headers["Content-Type"] = "application/json";
    response.body = toJson(message);
    return response;
}

auto parseNumber(std::string_view text) -> std::uint64_t
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

auto fill(wire::StoreItem &message, const std::string &key, const stored_item &item) -> void
{
    message.set_key(key);
    message.set_value(item.value);
    message.set_revision(static_cast<double>(item.revision));
    message.set_lease_id(static_cast<double>(item.lease));
}

auto eventsAfter(const store_stand_in::internals &store, const std::string &prefix,
                 std::uint64_t after) -> wire::StoreEvents
{
    wire::StoreEvents message;
    for (const auto &event : store.events) {
        if (event.revision <= after || !event.key.starts_with(prefix))
            continue;
        auto *added = message.add_events();
        added->set_key(event.key);
        added->set_value(event.value);
        added->set_revision(static_cast<double>(event.revision));
        added->set_deleted(event.deleted);
    }
    message.set_at(static_cast<double>(store.revision));
    return message;
}

// Keeps the responder unused if the fault in force loses the answer. Returns true in that case.
auto loseAnswer(store_stand_in::internals &store, const std::string &target,
                http_responder &respond) -> bool
{
    auto &faults = store.faults;
    const auto affected =
            std::any_of(faults.loseAnswersTo.begin(), faults.loseAnswersTo.end(),
                        [&](const auto &beginning) { return target.starts_with(beginning); });
    if (!affected || faults.loseAtMost == 0
        || std::uniform_real_distribution<>()(store.lossDraws) >= faults.lossShare)
        return false;
    --faults.loseAtMost;
    store.lost.push_back(std::move(respond));
    return true;
}

// Removes the watches that have new events or have reached their time limit, and returns their
// responses.
auto takeDueWatches(store_stand_in::internals &store, instant now) -> std::vector<due_response>
{
    std::vector<due_response> due;
    std::erase_if(store.watches, [&](auto &watch) {
        const auto events = eventsAfter(store, watch.prefix, watch.after);
        if (events.events_size() == 0 && now < watch.until)
            return false;
        if (events.events_size() == 0 || !loseAnswer(store, watch.target, watch.respond))
            due.push_back(answer(store, std::move(watch.respond), jsonResponse(events)));
        return true;
    });
    return due;
}

// Removes all watches and returns their responses.
auto endWatches(store_stand_in::internals &store, const http_response &response)
        -> std::vector<due_response>
{
    std::vector<due_response> due;
    for (auto &watch : std::exchange(store.watches, {}))
        due.push_back(answer(store, std::move(watch.respond), response));
    return due;
}

auto sendAll(std::vector<due_response> due) -> void
{
    for (auto &entry : due)
        entry.respond(std::move(entry.response));
}

auto writeItem(store_stand_in::internals &store, const std::string &key, const std::string &value,
               std::uint64_t lease) -> void
{
    store.items[key] = {value, store.revision, lease};
    store.events.push_back({store.revision, key, value, false});
}

auto deleteItem(store_stand_in::internals &store, const std::string &key) -> void
{
    if (store.items.erase(key) > 0)
        store.events.push_back({store.revision, key, {}, true});
}

// Ends a lease and deletes its items under one new revision.
auto endLease(store_stand_in::internals &store, std::uint64_t lease) -> void
{
    store.leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : store.items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    if (!keys.empty())
        ++store.revision;
    for (const auto &key : keys)
        deleteItem(store, key);
}

auto endExpiredLeases(const shared_store &store) -> void
{
    std::vector<due_response> due;
    {
        const std::lock_guard guard(store->lock);
        const auto now = monotonicNow();
        std::vector<std::uint64_t> expired;
        for (const auto &[id, lease] : store->leases) {
            const auto ended = now >= lease.expiresAt && !store->faults.pauseLeases;
            if (ended || store->faults.expireLeases)
                expired.push_back(id);
        }
        for (const auto id : expired)
            endLease(*store, id);
        due = takeDueWatches(*store, now);
    }
    sendAll(std::move(due));
}

auto readKey(store_stand_in::internals &store, const http_request &request) -> http_response
{
    const auto key = queryParameter(request.target, "key");
    const auto found = store.items.find(key);
    if (found == store.items.end())
        return emptyResponse(404);
    wire::StoreItem message;
    fill(message, key, found->second);
    return jsonResponse(message);
}

auto readRange(store_stand_in::internals &store, const http_request &request) -> http_response
{
    const auto prefix = queryParameter(request.target, "prefix");
    const auto after = queryParameter(request.target, "after");
    wire::StoreItems page;
    page.set_at(static_cast<double>(store.revision));
    for (const auto &[key, item] : store.items) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        if (static_cast<std::size_t>(page.items_size()) == maxItemsPerPage) {
            page.set_more(true);
            break;
        }
        fill(*page.add_items(), key, item);
    }
    return jsonResponse(page);
}

// Applies a transaction if all expected revisions match.
auto applyChange(store_stand_in::internals &store, const http_request &request) -> http_response
{
    wire::StoreChange transaction;
    if (!readLenientJson(request.body, transaction))
        return emptyResponse(400);
    for (const auto &expected : transaction.expect()) {
        const auto found = store.items.find(expected.key());
        const auto revision = found == store.items.end() ? 0 : found->second.revision;
        if (revision != static_cast<std::uint64_t>(expected.revision()))
            return emptyResponse(412);
    }
    for (const auto &write : transaction.writes()) {
        const auto lease = static_cast<std::uint64_t>(write.lease_id());
        if (lease != 0 && !store.leases.contains(lease))
            return emptyResponse(404);
    }
    ++store.revision;
    for (const auto &write : transaction.writes())
        writeItem(store, write.key(), write.value(), static_cast<std::uint64_t>(write.lease_id()));
    for (const auto &key : transaction.deletes())
        deleteItem(store, key);
    wire::StoreChanged changed;
    changed.set_revision(static_cast<double>(store.revision));
    return jsonResponse(changed);
}

auto openLease(store_stand_in::internals &store, const http_request &request) -> http_response
{
    wire::StoreLease lease;
    if (!readLenientJson(request.body, lease) || lease.ttl_ms() <= 0)
        return emptyResponse(400);
    const auto id = store.nextLease++;
    const auto ttl = duration(static_cast<std::int64_t>(lease.ttl_ms() * 1000));
    store.leases[id] = {ttl, monotonicNow() + ttl};
    lease.set_lease_id(static_cast<double>(id));
    return jsonResponse(lease);
}

auto keepLease(store_stand_in::internals &store, std::uint64_t id) -> http_response
{
    const auto found = store.leases.find(id);
    if (found == store.leases.end())
        return emptyResponse(404);
    found->second.expiresAt = monotonicNow() + found->second.ttl;
    wire::StoreLease lease;
    lease.set_ttl_ms(static_cast<double>(toMilliseconds(found->second.ttl)));
    return jsonResponse(lease);
}

// Executes a request that is answered immediately, without waiting for events.
auto execute(store_stand_in::internals &store, const std::string &path, const http_request &request)
        -> http_response
{
    if (path == "/kv-key")
        return readKey(store, request);
    if (path == "/kv-range")
        return readRange(store, request);
    if (path == "/kv-txn")
        return applyChange(store, request);
    if (path == "/kv-lease")
        return openLease(store, request);
    static constexpr std::string_view keep = "/kv-keep/";
    static constexpr std::string_view end = "/kv-lease-end/";
    if (path.starts_with(keep))
        return keepLease(store, parseNumber(std::string_view(path).substr(keep.size())));
    if (path.starts_with(end)) {
        endLease(store, parseNumber(std::string_view(path).substr(end.size())));
        return emptyResponse(200);
    }
    return emptyResponse(404);
}

// Adds a watch. Returns a response if the watch cannot wait.
auto addWatch(store_stand_in::internals &store, const http_request &request, http_responder respond)
        -> std::optional<due_response>
{
    waiting_watch watch;
    watch.target = request.target;
    watch.prefix = queryParameter(request.target, "prefix");
    watch.after = parseNumber(queryParameter(request.target, "after"));
    watch.until = monotonicNow()
            + std::chrono::milliseconds(parseNumber(queryParameter(request.target, "wait_ms")));
    if (watch.after < store.oldestRevision || watch.after > store.revision)
        return answer(store, std::move(respond), emptyResponse(410));
    watch.respond = std::move(respond);
    store.watches.push_back(std::move(watch));
    return std::nullopt;
}

auto handle(const shared_store &store, const http_request &request, http_responder respond) -> void
{
    std::vector<due_response> due;
    {
        const std::lock_guard guard(store->lock);
        const std::string path(targetPath(request.target));
        ++store->calls[path];
        if (store->faults.unavailable) {
            due.push_back(answer(*store, std::move(respond), emptyResponse(503)));
        } else if (path == "/kv-watch") {
            if (auto rejected = addWatch(*store, request, std::move(respond)))
                due.push_back(std::move(*rejected));
        } else {
            auto response = execute(*store, path, request);
            if (store->faults.dropResponses)
                response = noResponse();
            if (!loseAnswer(*store, request.target, respond))
                due.push_back(answer(*store, std::move(respond), std::move(response)));
        }
        auto watches = takeDueWatches(*store, monotonicNow());
        std::move(watches.begin(), watches.end(), std::back_inserter(due));
    }
    sendAll(std::move(due));
}

} // namespace

auto startStore(worker_pool &pool, const endpoint &address) -> result<store_stand_in>
{
    auto impl = std::make_shared<store_stand_in::internals>();
    auto server = startHttpServer(
            pool, address, {maxBodyBytes, 0us},
            [weak = std::weak_ptr(impl)](const http_request &request, http_responder respond) {
                if (const auto store = weak.lock())
                    handle(store, request, std::move(respond));
            });
    if (!server)
        return tl::unexpected(server.error());
    impl->server = std::move(*server);
    postEvery(pool, leaseCheckPeriod, [impl] {
        endExpiredLeases(impl);
        return true;
    });
    return store_stand_in{std::move(impl)};
}

auto setStoreFaults(store_stand_in &store, const store_faults &faults) -> void
{
    std::vector<due_response> due;
    {
        const std::lock_guard guard(store.impl->lock);
        store.impl->faults = faults;
        store.impl->lossDraws.seed(faults.lossSeed);
        if (faults.unavailable)
            due = endWatches(*store.impl, emptyResponse(503));
    }
    sendAll(std::move(due));
}

auto compactHistory(store_stand_in &store) -> void
{
    std::vector<due_response> due;
    {
        const std::lock_guard guard(store.impl->lock);
        store.impl->oldestRevision = ++store.impl->revision;
        store.impl->events.clear();
        due = endWatches(*store.impl, emptyResponse(410));
    }
    sendAll(std::move(due));
}

auto copyStore(store_stand_in &store) -> store_copy
{
    const std::lock_guard guard(store.impl->lock);
    const auto &state = *store.impl;
    return {std::make_shared<const store_copy::contents>(store_copy::contents{
            state.items, state.leases, state.revision, state.nextLease, monotonicNow()})};
}

auto restoreStore(store_stand_in &store, const store_copy &copy) -> void
{
    std::vector<due_response> due;
    {
        const std::lock_guard guard(store.impl->lock);
        auto &state = *store.impl;
        due = endWatches(state, noResponse());
        ++state.era;
        state.items = copy.impl->items;
        state.events.clear();
        state.revision = copy.impl->revision;
        state.oldestRevision = state.revision;
        state.nextLease = copy.impl->nextLease;
        state.leases = copy.impl->leases;
        const auto age = monotonicNow() - copy.impl->takenAt;
        for (auto &[id, lease] : state.leases)
            lease.expiresAt += age;
    }
    sendAll(std::move(due));
}

auto putItem(store_stand_in &store, const std::string &key, const std::string &value) -> void
{
    std::vector<due_response> due;
    {
        const std::lock_guard guard(store.impl->lock);
        ++store.impl->revision;
        if (value.empty())
            deleteItem(*store.impl, key);
        else
            writeItem(*store.impl, key, value, 0);
        due = takeDueWatches(*store.impl, monotonicNow());
    }
    sendAll(std::move(due));
}

auto findItem(store_stand_in &store, const std::string &key) -> std::optional<std::string>
{
    const std::lock_guard guard(store.impl->lock);
    const auto found = store.impl->items.find(key);
    return found == store.impl->items.end() ? std::nullopt : std::optional(found->second.value);
}

auto countLostAnswers(store_stand_in &store) -> std::uint64_t
{
    const std::lock_guard guard(store.impl->lock);
    return store.impl->lost.size();
}

auto countCalls(store_stand_in &store, const std::string &path) -> std::uint64_t
{
    const std::lock_guard guard(store.impl->lock);
    return store.impl->calls[path];
}

} // namespace parsleyloft
