// Requests of callers at the host where they enter: checks, routing, forwarding, repeats.
#include "daemon/entry.h"

#include "core/hash.h"
#include "daemon/dispatch.h"

namespace parsleyloft {

namespace {

// How long a request without a holder waits before the table is asked again.
constexpr duration parkDelay = 10ms;
constexpr std::size_t maxParked = 5000;

// Time that a forwarded request's answer gets beyond the deadline.
constexpr duration forwardGrace = 50ms;

// A request that is refused at one group may be offered to so many others.
constexpr std::uint32_t maxSpills = 1;

struct entry_state
{
    caller_request request;
    class_of_work work;
    instant arrived{};
    instant deadline{};
    std::optional<group_id> avoidedGroup;
    std::uint32_t spills = 0;
    // True once an attempt ended without knowledge of whether it ran.
    bool mayHaveRun = false;
    reason lastReason = reason::NoServer;
    std::function<void(request_outcome)> respond;
};

using shared_entry = std::shared_ptr<entry_state>;

auto routeEntry(daemon_process &daemon, const shared_entry &entry) -> void;

auto recordOutcome(daemon_process &daemon, const entry_state &entry, const request_outcome &told)
        -> void
{
    const auto wait = monotonicNow() - entry.arrived;
    countRequest(daemon.counters, entry.work.name, told, wait);
    const std::lock_guard guard(daemon.statistics.lock);
    auto &counts = daemon.statistics.classes[entry.work.name];
    constexpr int smoothing = 64;
    counts.meanWait += (wait - counts.meanWait) / smoothing;
    if (wait > entry.work.maxWait)
        ++counts.late;
    switch (told.result) {
    case outcome::Answered:
        ++counts.answered;
        break;
    case outcome::NotRun:
        ++counts.refused;
        counts.lastRefusal = told.cause;
        break;
    case outcome::Unknown:
        ++counts.unknown;
        break;
    }
}

auto finishEntry(daemon_process &daemon, const shared_entry &entry, request_outcome told) -> void
{
    if (told.result == outcome::NotRun && entry->mayHaveRun)
        told = unknownOutcome(told.cause);
    recordOutcome(daemon, *entry, told);
    entry->respond(std::move(told));
}

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

auto maySpill(const entry_state &entry, const request_outcome &told) -> bool
{
    const auto full = told.cause == reason::QueueFull || told.cause == reason::WaitTooLong
            || told.cause == reason::ShedForOthers;
    return told.result == outcome::NotRun && full && entry.spills < maxSpills;
}

auto chooseNextStep(daemon_process &daemon, const shared_entry &entry, const request_outcome &told)
        -> next_step
{
    const std::lock_guard guard(daemon.retryLock);
    const auto left = entry->deadline - monotonicNow();
    return decideNextStep(told, entry->work.mayRepeat, daemon.retries, left);
}

auto handleVerdict(daemon_process &daemon, const shared_entry &entry, const route_target &target,
                   request_outcome told) -> void
{
    if (told.result == outcome::Unknown)
        entry->mayHaveRun = true;
    if (target.owner.empty() && maySpill(*entry, told)) {
        ++entry->spills;
        entry->avoidedGroup = target.group;
        routeEntry(daemon, entry);
        return;
    }
    switch (chooseNextStep(daemon, entry, told)) {
    case next_step::Finish:
        finishEntry(daemon, entry, std::move(told));
        return;
    case next_step::RouteAgain:
        park(daemon, entry, told.cause);
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
    request->respond = [&daemon, entry, target](request_outcome told) {
        handleVerdict(daemon, entry, target, std::move(told));
    };
    acceptRequest(daemon, target.group, request, entry->request.repeated);
}

auto toVerdict(const result<wire::ForwardReply> &ended) -> request_outcome
{
    if (!ended && ended.error().code == error_code::Unreachable)
        return notRun(reason::HolderUnreachable);
    if (!ended)
        return unknownOutcome(reason::HostLost);
    return {static_cast<outcome>(ended->outcome()), static_cast<reason>(ended->reason()),
            ended->body()};
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
        handleVerdict(daemon, entry, target, notRun(reason::HolderUnreachable));
        return;
    }
    const auto left = entry->deadline - monotonicNow();
    callForward(daemon.peerClient, address, toForward(daemon, *entry, target, left),
                left + forwardGrace, [&daemon, entry, target](result<wire::ForwardReply> ended) {
                    updateHint(daemon, target.group, ended ? ended->queued() : 0, !ended);
                    post(*daemon.workers, [&daemon, entry, target, told = toVerdict(ended)] {
                        handleVerdict(daemon, entry, target, told);
                    });
                });
}

struct route_result
{
    tl::expected<route_target, reason> target = tl::unexpected(reason::NoServer);
    // True when this host's lease has lapsed: it may be cut off with its failure domain.
    bool lapsed = false;
};

auto chooseRoute(daemon_process &daemon, const entry_state &entry) -> route_result
{
    const std::scoped_lock guard(daemon.configured.lock, daemon.holdings.lock);
    const auto now = monotonicNow();
    const auto &state = daemon.holdings.state;
    const routing_view view{state.table, daemon.configured.current, daemon.services,
                            daemon.holdings.hints, daemon.self.domain};
    const route_request wanted{entry.work, entry.request.key, entry.avoidedGroup,
                               stableHash(daemon.self.id)};
    return {chooseTarget(view, wanted, now), now >= state.leaseEnds};
}

auto routeEntry(daemon_process &daemon, const shared_entry &entry) -> void
{
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
    // A host that is cut off sends idempotent work without keys itself.
    const auto alone = found.lapsed && target.owner.empty() && entry->work.mayRepeat
            && target.group.domain == daemon.self.domain;
    if (alone && entry->lastReason == reason::HolderUnreachable)
        target.holder = daemon.self.id;
    if (target.holder == daemon.self.id)
        sendLocally(daemon, entry, target);
    else
        sendToHolder(daemon, entry, target);
}

// The class of a request, or why it can't be taken.
auto checkRequest(daemon_process &daemon, const caller_request &request)
        -> tl::expected<class_of_work, reason>
{
    const auto wanted = currentConfiguration(daemon);
    const auto found = wanted.classes.find(request.className);
    if (found == wanted.classes.end())
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

auto toReply(daemon_process &daemon, const group_id &group, const request_outcome &told)
        -> wire::ForwardReply
{
    wire::ForwardReply reply;
    reply.set_outcome(static_cast<std::uint32_t>(told.result));
    reply.set_reason(static_cast<std::uint32_t>(told.cause));
    reply.set_body(told.body);
    const auto table = groupTable(daemon, group);
    const std::lock_guard guard(table->lock);
    reply.set_queued(static_cast<std::uint32_t>(table->waiting.size()));
    return reply;
}

} // namespace

auto handleCallerRequest(daemon_process &daemon, caller_request request,
                         std::function<void(request_outcome)> respond) -> void
{
    const auto work = checkRequest(daemon, request);
    if (!work) {
        respond(notRun(work.error()));
        return;
    }
    auto entry = std::make_shared<entry_state>();
    entry->work = *work;
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
    const auto wanted = currentConfiguration(daemon);
    const auto work = wanted.classes.find(message.class_name());
    auto request = std::make_shared<pending_request>();
    request->respond = [&daemon, group, respond = std::move(respond)](const request_outcome &told) {
        respond(toReply(daemon, group, told));
    };
    if (work == wanted.classes.end() || isCutFrom(daemon, message.entry_host())) {
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
