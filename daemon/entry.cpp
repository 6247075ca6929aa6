// Caller requests at the host that received them: checks, routing, forwarding and repeats.
#include "daemon/entry.h"

#include "core/hash.h"
#include "daemon/dispatch.h"

namespace parsleyloft {

namespace {

// A request that can't be routed is routed again after this delay.
constexpr duration parkDelay = 10ms;
constexpr std::size_t maxParked = 5000;

// Time after the deadline in which the reply to a forwarded request may still arrive.
constexpr duration forwardGrace = 50ms;

// How many other groups are tried after a full group has refused a request.
constexpr std::uint32_t maxSpills = 1;

// A caller's request until its outcome is delivered.
struct entry_state
{
    class_request request;
    class_of_work work;
    instant arrived{};
    instant deadline{};
    // The group of the last failed attempt: another group is preferred.
    std::optional<group_id> avoidedGroup;
    std::uint32_t spills = 0;
    // True once the outcome of an attempt was unknown, also of one before this request.
    bool mayHaveRun = false;
    reason lastReason = reason::NoServer;
    std::function<void(request_outcome)> respond;
};

using shared_entry = std::shared_ptr<entry_state>;

auto routeEntry(daemon_process &daemon, const shared_entry &entry) -> void;

auto recordOutcome(daemon_process &daemon, const entry_state &entry,
                   const request_outcome &reported) -> void
{
    const auto wait = monotonicNow() - entry.arrived;
    countRequest(daemon.counters, entry.work.name, reported, wait);
    const std::lock_guard guard(daemon.statistics.lock);
    auto &counts = daemon.statistics.classes[entry.work.name];
    // Weight of the past values in the moving average of the wait.
    constexpr int smoothing = 64;
    counts.meanWait += (wait - counts.meanWait) / smoothing;
    if (wait > entry.work.maxWait)
        ++counts.late;
    switch (reported.result) {
    case outcome::Answered:
        ++counts.answered;
        break;
    case outcome::NotRun:
        ++counts.refused;
        counts.lastRefusal = reported.cause;
        break;
    case outcome::Unknown:
        ++counts.unknown;
        break;
    }
}

auto finishEntry(daemon_process &daemon, const shared_entry &entry, request_outcome reported)
        -> void
{
    if (reported.result == outcome::NotRun && entry->mayHaveRun)
        reported = unknownOutcome(reported.cause);
    recordOutcome(daemon, *entry, reported);
    entry->respond(std::move(reported));
}

// Routes a request again after a delay. Ends it as not run when its time is up or too many
// requests are waiting already.
auto park(daemon_process &daemon, const shared_entry &entry, reason why) -> void
{
    entry->lastReason = why;
    const auto left = entry->deadline - monotonicNow();
    if (left <= duration::zero() || daemon.parkedRequests >= maxParked) {
        finishEntry(daemon, entry, notRun(why));
        return;
    }
    ++daemon.parkedRequests;
    postAfter(*daemon.workers, std::min(parkDelay, left), [&daemon, entry] {
        --daemon.parkedRequests;
        routeEntry(daemon, entry);
    });
}

auto updateHint(daemon_process &daemon, const group_id &group, std::uint32_t queued, bool failed)
        -> void
{
    const std::lock_guard guard(daemon.holdings.lock);
    auto &hint = daemon.holdings.hints[group];
    hint.queued = queued;
    hint.failedAt = failed ? monotonicNow() : instant{};
}

auto maySpill(const entry_state &entry, const request_outcome &reported) -> bool
{
    const auto groupFull = reported.cause == reason::QueueFull
            || reported.cause == reason::WaitTooLong || reported.cause == reason::ShedForOthers;
    return reported.result == outcome::NotRun && groupFull && entry.spills < maxSpills;
}

auto chooseNextStep(daemon_process &daemon, const shared_entry &entry,
                    const request_outcome &reported) -> next_step
{
    const std::lock_guard guard(daemon.retryLock);
    const auto left = entry->deadline - monotonicNow();
    return decideNextStep(reported, entry->work.mayRepeat, daemon.retries, left);
}

auto handleOutcome(daemon_process &daemon, const shared_entry &entry, const route_target &target,
                   request_outcome reported) -> void
{
    if (reported.result == outcome::Unknown)
        entry->mayHaveRun = true;
    if (target.owner.empty() && maySpill(*entry, reported)) {
        ++entry->spills;
        entry->avoidedGroup = target.group;
        routeEntry(daemon, entry);
        return;
    }
    switch (chooseNextStep(daemon, entry, reported)) {
    case next_step::Finish:
        finishEntry(daemon, entry, std::move(reported));
        return;
    case next_step::RouteAgain:
        park(daemon, entry, reported.cause);
        return;
    case next_step::Repeat:
        entry->avoidedGroup = target.group;
        routeEntry(daemon, entry);
        return;
    }
}

auto sendLocally(daemon_process &daemon, const shared_entry &entry, const route_target &target)
        -> void
{
    auto request = std::make_shared<pending_request>();
    request->id = entry->request.id;
    request->work = entry->work;
    request->key = entry->request.key;
    request->body = entry->request.body;
    request->shard = target.shard;
    request->owner = target.owner;
    request->arrived = monotonicNow();
    request->deadline = entry->deadline;
    request->respond = [&daemon, entry, target](request_outcome reported) {
        handleOutcome(daemon, entry, target, std::move(reported));
    };
    acceptRequest(daemon, target.group, request, entry->request.repeated);
}

// Decodes a value of an enumeration. Nothing when this host does not know the value.
template<typename enumeration, std::size_t count>
auto fromWire(const name_table<enumeration, count> &table, std::uint32_t value)
        -> std::optional<enumeration>
{
    for (const auto &entry : table) {
        if (static_cast<std::uint32_t>(entry.value) == value)
            return entry.value;
    }
    return std::nullopt;
}

auto toOutcome(const result<wire::ForwardReply> &reply) -> request_outcome
{
    if (!reply && reply.error().code == error_code::Unreachable)
        return notRun(reason::HolderUnreachable);
    if (!reply)
        return unknownOutcome(reason::HostLost);
    const auto decoded = fromWire(outcomeNames, reply->outcome());
    if (!decoded)
        return unknownOutcome(reason::HostLost);
    return {*decoded, fromWire(reasonNames, reply->reason()).value_or(reason::None), reply->body()};
}

auto toForward(const daemon_process &daemon, const entry_state &entry, const route_target &target,
               duration left) -> wire::ForwardRequest
{
    wire::ForwardRequest message;
    message.set_request_id(entry.request.id);
    message.set_class_name(entry.work.name);
    message.set_key(entry.request.key);
    message.set_body(entry.request.body);
    message.set_remaining_us(left.count());
    message.set_entry_host(daemon.self.id);
    message.set_service(target.group.service);
    message.set_failure_domain(target.group.domain);
    message.set_repeated_by_caller(entry.request.repeated);
    return message;
}

auto sendToHolder(daemon_process &daemon, const shared_entry &entry, const route_target &target)
        -> void
{
    const auto address = addressOfPeer(daemon, target.holder);
    if (address.empty() || isCutFrom(daemon, target.holder)) {
        updateHint(daemon, target.group, 0, true);
        handleOutcome(daemon, entry, target, notRun(reason::HolderUnreachable));
        return;
    }
    const auto left = entry->deadline - monotonicNow();
    callForward(daemon.peerClient, address, toForward(daemon, *entry, target, left),
                left + forwardGrace, [&daemon, entry, target](result<wire::ForwardReply> reply) {
                    updateHint(daemon, target.group, reply ? reply->queued() : 0, !reply);
                    post(*daemon.workers, [&daemon, entry, target, reported = toOutcome(reply)] {
                        handleOutcome(daemon, entry, target, reported);
                    });
                });
}

struct route_result
{
    tl::expected<route_target, reason> target = tl::unexpected(reason::NoServer);
    // True when this host's lease has lapsed: its failure domain may be cut off from the leader.
    bool lapsed = false;
};

auto chooseRoute(daemon_process &daemon, const entry_state &entry) -> route_result
{
    const std::scoped_lock guard(daemon.configured.lock, daemon.holdings.lock);
    const auto now = monotonicNow();
    const auto &state = daemon.holdings.state;
    const routing_view view{state.table, daemon.configured.current, daemon.services,
                            daemon.holdings.hints, daemon.self.domain};
    const route_request request{entry.work, entry.request.key, entry.avoidedGroup,
                                stableHash(daemon.self.id)};
    return {chooseTarget(view, request, now), now >= state.leaseEnds};
}

auto isGivenUp(const class_request &request) -> bool
{
    return request.givenUp != nullptr && *request.givenUp;
}

auto routeEntry(daemon_process &daemon, const shared_entry &entry) -> void
{
    // The caller may have sent it again through another host, and it may have run there.
    if (isGivenUp(entry->request)) {
        finishEntry(daemon, entry, unknownOutcome(entry->lastReason));
        return;
    }
    if (monotonicNow() >= entry->deadline) {
        finishEntry(daemon, entry, notRun(reason::DeadlinePassed));
        return;
    }
    auto found = chooseRoute(daemon, *entry);
    if (!found.target) {
        park(daemon, entry, found.target.error());
        return;
    }
    auto &target = *found.target;
    // While this host has no lease, the holder of a group in its own failure domain may have
    // failed without replacement. This host then sends idempotent work without keys itself.
    const auto maySendItself = found.lapsed && target.owner.empty() && entry->work.mayRepeat
            && target.group.domain == daemon.self.domain;
    if (maySendItself && entry->lastReason == reason::HolderUnreachable)
        target.holder = daemon.self.id;
    if (target.holder == daemon.self.id)
        sendLocally(daemon, entry, target);
    else
        sendToHolder(daemon, entry, target);
}

// The class of a request, or the reason to refuse it.
auto checkRequest(daemon_process &daemon, const class_request &request)
        -> tl::expected<class_of_work, reason>
{
    const auto config = currentConfiguration(daemon);
    const auto found = config.classes.find(request.className);
    if (found == config.classes.end())
        return tl::unexpected(reason::UnknownClass);
    if (request.id.empty())
        return tl::unexpected(reason::MissingRequestId);
    const auto *service = findService(daemon.services, found->second.service);
    if (service == nullptr)
        return tl::unexpected(reason::NoServer);
    if (service->keyed && request.key.empty())
        return tl::unexpected(reason::MissingKey);
    return found->second;
}

// Sets the shard and owner of a keyed request. Returns false when the group does not own the key.
auto findOwner(daemon_process &daemon, const group_id &group, const std::string &key,
               pending_request &request) -> bool
{
    const auto *service = findService(daemon.services, group.service);
    if (service == nullptr || !service->keyed)
        return service != nullptr;
    const std::lock_guard guard(daemon.holdings.lock);
    request.shard = shardOf(key, service->shards);
    const auto *shard = findShard(daemon.holdings.state.table, {service->name, request.shard});
    if (shard == nullptr || shard->phase != assignment_phase::Held)
        return false;
    request.owner = shard->owner;
    return findGroupOfServer(daemon.holdings.state.table, shard->owner) == group;
}

auto toReply(daemon_process &daemon, const group_id &group, const request_outcome &reported)
        -> wire::ForwardReply
{
    wire::ForwardReply reply;
    reply.set_outcome(static_cast<std::uint32_t>(reported.result));
    reply.set_reason(static_cast<std::uint32_t>(reported.cause));
    reply.set_body(reported.body);
    const auto table = groupTable(daemon, group);
    const std::lock_guard guard(table->lock);
    reply.set_queued(static_cast<std::uint32_t>(table->waiting.size()));
    return reply;
}

} // namespace

auto refusalOf(bool repeated, reason cause) -> request_outcome
{
    return repeated ? unknownOutcome(cause) : notRun(cause);
}

auto handleCallerRequest(daemon_process &daemon, class_request request,
                         std::function<void(request_outcome)> respond) -> void
{
    const auto work = checkRequest(daemon, request);
    if (!work) {
        respond(refusalOf(request.repeated, work.error()));
        return;
    }
    auto entry = std::make_shared<entry_state>();
    entry->work = *work;
    entry->mayHaveRun = request.repeated;
    entry->arrived = monotonicNow();
    const auto limit = std::min(work->maxWait, request.limit.value_or(work->maxWait));
    entry->deadline = entry->arrived + limit;
    entry->request = std::move(request);
    entry->respond = std::move(respond);
    {
        const std::lock_guard guard(daemon.retryLock);
        earnRetry(daemon.retries);
    }
    routeEntry(daemon, entry);
}

auto handleForward(daemon_process &daemon, const wire::ForwardRequest &message,
                   peer_responder<wire::ForwardReply> respond) -> void
{
    const group_id group{message.service(), message.failure_domain()};
    const auto config = currentConfiguration(daemon);
    const auto work = config.classes.find(message.class_name());
    auto request = std::make_shared<pending_request>();
    request->respond = [&daemon, group,
                        respond = std::move(respond)](const request_outcome &reported) {
        respond(toReply(daemon, group, reported));
    };
    if (work == config.classes.end() || isCutFrom(daemon, message.entry_host())) {
        request->respond(notRun(reason::WrongHolder));
        return;
    }
    request->id = message.request_id();
    request->work = work->second;
    request->key = message.key();
    request->body = message.body();
    request->arrived = monotonicNow();
    request->deadline = request->arrived + duration(message.remaining_us());
    if (!findOwner(daemon, group, message.key(), *request)) {
        request->respond(notRun(reason::NoOwner));
        return;
    }
    acceptRequest(daemon, group, request, message.repeated_by_caller());
}

} // namespace parsleyloft
