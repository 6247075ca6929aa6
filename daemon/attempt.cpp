// One attempt of a request at one backend server, from its start to its end.
#include "daemon/attempt.h"

#include "daemon/dispatch.h"

namespace parsleyloft {

namespace {

// Time beyond the deadline in which an answer may still arrive.
constexpr duration responseGrace = 20ms;
constexpr duration cancelTimeout = 200ms;

constexpr auto requestIdHeader = "Request-Id";

struct attempt_conclusion
{
    request_outcome told;
    attempt_result result = attempt_result::Failed;
};

// What a server's answer means. Only the server's own word makes it "not run".
auto classifyOutcome(http_outcome &&ended) -> attempt_conclusion
{
    switch (ended.failure) {
    case http_failure::NotSent:
        return {notRun(reason::ServerFailed), attempt_result::Failed};
    case http_failure::TimedOut:
        return {unknownOutcome(reason::DeadlinePassed), attempt_result::Failed};
    case http_failure::ResponseLost:
    case http_failure::Cancelled:
        return {unknownOutcome(reason::ServerFailed), attempt_result::Failed};
    case http_failure::Mismatch:
        return {unknownOutcome(reason::AnswerMismatch), attempt_result::Failed};
    case http_failure::None:
        break;
    }
    auto &response = ended.response;
    if (response.status == 200)
        return {{outcome::Answered, reason::None, std::move(response.body)},
                attempt_result::Answered};
    if (headerValue(response.headers, "Run") != "no")
        return {unknownOutcome(reason::ServerFailed), attempt_result::Failed};
    if (response.status == 409)
        return {notRun(reason::NoOwner), attempt_result::Failed};
    if (response.status == 504)
        return {notRun(reason::DeadlinePassed), attempt_result::Failed};
    return {notRun(reason::ServerRefused), attempt_result::Refused};
}

auto toRequest(const attempt &one) -> http_request
{
    http_request request;
    request.method = "POST";
    request.target = "/run";
    request.body = one.request->body;
    request.headers[requestIdHeader] = one.request->id;
    request.headers["Class"] = one.request->work.name;
    if (one.request->work.mayRepeat)
        request.headers["May-Repeat"] = "yes";
    if (!one.request->key.empty())
        request.headers["Key"] = one.request->key;
    if (one.keyed) {
        request.headers["Shard"] = std::to_string(one.request->shard);
        request.headers["Epoch"] = toString(one.shardEpoch);
    }
    if (one.serverDeadline)
        request.headers["Deadline-Clock-Us"] = std::to_string(*one.serverDeadline);
    return request;
}

// Frees the server's slot. Called with the group locked.
auto freeSlot(group_table &table, const attempt &one, attempt_result result, duration latency)
        -> void
{
    finish(table.queue, one.server, result, latency);
    --table.running;
    if (!one.keyed)
        return;
    const auto running = table.runningPerShard.find(one.request->shard);
    if (--running->second == 0)
        table.runningPerShard.erase(running);
}

// Notes the end of an attempt. Returns the verdict when it is the request's own.
auto recordConclusion(group_table &table, pending_request &request, const attempt_conclusion &end)
        -> std::optional<request_outcome>
{
    --request.attempts;
    if (end.told.result == outcome::Unknown)
        request.mayHaveRun = true;
    const auto last = request.attempts == 0;
    if (request.ended || (end.told.result != outcome::Answered && !last))
        return std::nullopt;
    request.ended = true;
    auto told = end.told;
    if (told.result == outcome::NotRun && request.mayHaveRun)
        told = unknownOutcome(told.cause);
    if (!request.work.mayRepeat)
        endAtMostOnce(table.history, request.id, told);
    return told;
}

// A server may go on with a request that is out of time; its slot is free once the
// server has answered the cancellation, or did not in time.
auto cancelAtServer(daemon_process &daemon, const attempt &one) -> void
{
    http_request request;
    request.method = "POST";
    request.target = "/cancel";
    request.headers[requestIdHeader] = one.request->id;
    sendHttp(daemon.serverClient, one.address, std::move(request), {cancelTimeout, {}},
             [&daemon, one](const http_outcome &) {
                 const auto table = groupTable(daemon, one.group);
                 {
                     const std::lock_guard guard(table->lock);
                     freeSlot(*table, one, attempt_result::Failed, 0us);
                 }
                 dispatchGroup(daemon, one.group);
             });
}

auto finishAttempt(daemon_process &daemon, const attempt &one, http_outcome &&ended) -> void
{
    const auto timedOut = ended.failure == http_failure::TimedOut;
    const auto end = classifyOutcome(std::move(ended));
    const auto latency = monotonicNow() - one.startedAt;
    const auto table = groupTable(daemon, one.group);
    std::optional<request_outcome> told;
    {
        const std::lock_guard guard(table->lock);
        if (!timedOut)
            freeSlot(*table, one, end.result, latency);
        told = recordConclusion(*table, *one.request, end);
    }
    if (told)
        one.request->respond(std::move(*told));
    if (timedOut)
        cancelAtServer(daemon, one);
    else
        dispatchGroup(daemon, one.group);
}

// Starts a second attempt of an idempotent request that takes unusually long.
auto startHedge(daemon_process &daemon, const attempt &first) -> void
{
    const auto table = groupTable(daemon, first.group);
    std::optional<attempt> second;
    {
        const std::scoped_lock guard(daemon.holdings.lock, table->lock);
        const auto now = monotonicNow();
        if (first.request->ended || first.request->attempts != 1 || now >= first.deadline)
            return;
        if (!spendRetry(table->hedges))
            return;
        const auto server = reserveHedgeServer(table->queue, first.server, now);
        if (!server)
            return;
        second = beginAttempt(daemon, *table, first.group, first.request, *server, now);
        second->hedged = true;
    }
    sendAttempt(daemon, std::move(*second));
}

auto scheduleHedge(daemon_process &daemon, const attempt &one) -> void
{
    if (one.keyed || one.hedged || !one.request->work.mayRepeat)
        return;
    const auto table = groupTable(daemon, one.group);
    duration delay = 0us;
    {
        const std::lock_guard guard(table->lock);
        earnRetry(table->hedges);
        delay = hedgeDelay(medianLatency(table->queue));
    }
    if (delay > 0us)
        postAfter(*daemon.workers, delay, [&daemon, one] { startHedge(daemon, one); });
}

} // namespace

auto beginAttempt(daemon_process &daemon, group_table &table, const group_id &group,
                  const shared_request &request, const server_id &server, instant now) -> attempt
{
    const auto &state = daemon.holdings.state;
    attempt one{group, request,           server,       {},   {}, !request->owner.empty(),
                now,   request->deadline, std::nullopt, false};
    const auto listed = state.table.servers.find(server);
    if (listed != state.table.servers.end())
        one.address = parseEndpoint(listed->second.address).value_or(endpoint{});
    if (one.keyed) {
        one.shardEpoch = findShard(state.table, {group.service, request->shard})->grantEpoch;
        one.deadline = std::min(one.deadline, state.leaseEnds);
        ++table.runningPerShard[request->shard];
    }
    const auto grant = daemon.holdings.grants.find(server);
    if (grant != daemon.holdings.grants.end() && grant->second.clockKnown) {
        const auto left = one.deadline - grant->second.clockReadAt;
        one.serverDeadline =
                grant->second.serverClock + shortenedForDrift(left, state.limits).count();
    }
    ++table.running;
    ++request->attempts;
    return one;
}

auto sendAttempt(daemon_process &daemon, attempt one) -> void
{
    scheduleHedge(daemon, one);
    const auto left = std::max(one.deadline - monotonicNow(), duration::zero());
    auto request = toRequest(one);
    const auto address = one.address;
    sendHttp(daemon.serverClient, address, std::move(request),
             {left + responseGrace, requestIdHeader},
             [&daemon, one = std::move(one)](http_outcome ended) {
                 finishAttempt(daemon, one, std::move(ended));
             });
}

} // namespace parsleyloft
