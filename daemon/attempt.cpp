// One attempt to run a request at one backend server, from its start to its outcome.
#include "daemon/attempt.h"

#include "daemon/dispatch.h"

namespace parsleyloft {

namespace {

// Time after the deadline in which a response may still arrive.
constexpr duration responseGrace = 20ms;
constexpr duration cancelTimeout = 200ms;

constexpr auto requestIdHeader = "Request-Id";

struct attempt_conclusion
{
    request_outcome reported;
    attempt_result result = attempt_result::Failed;
};

// The statuses beside which a server states that it refused a request.
auto isRefusalStatus(unsigned status) -> bool
{
    return status == 400 || status == 409 || status == 429 || status == 503 || status == 504;
}

// Classifies the result of an attempt. Once the request was sent, the outcome is "not run" only if
// the server states that in the Run header of a refusal.
auto classifyOutcome(http_outcome &&httpResult) -> attempt_conclusion
{
    switch (httpResult.failure) {
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
    auto &response = httpResult.response;
    const auto statesNotRun = headerValue(response.headers, "Run") == "no";
    if (response.status == 200 && !statesNotRun)
        return {{outcome::Answered, reason::None, std::move(response.body)},
                attempt_result::Answered};
    if (!statesNotRun || !isRefusalStatus(response.status))
        return {unknownOutcome(reason::ServerFailed), attempt_result::Failed};
    if (response.status == 409)
        return {notRun(reason::NoOwner), attempt_result::Failed};
    if (response.status == 504)
        return {notRun(reason::DeadlinePassed), attempt_result::Failed};
    return {notRun(reason::ServerRefused), attempt_result::Refused};
}

auto toRequest(const attempt &current) -> http_request
{
    http_request request;
    request.method = "POST";
    request.target = "/run";
    request.body = current.request->body;
    request.headers[requestIdHeader] = current.request->id;
    request.headers["Class"] = current.request->work.name;
    if (current.request->work.mayRepeat)
        request.headers["May-Repeat"] = "yes";
    if (!current.request->key.empty())
        request.headers["Key"] = current.request->key;
    if (current.keyed) {
        request.headers["Shard"] = std::to_string(current.request->shard);
        request.headers["Epoch"] = toString(current.shardEpoch);
    }
    if (current.serverDeadline)
        request.headers["Deadline-Clock-Us"] = std::to_string(*current.serverDeadline);
    return request;
}

// Frees the server's slot. Called with the group locked.
auto freeSlot(group_table &table, const attempt &current, attempt_result result, duration latency)
        -> void
{
    finish(table.queue, current.server, result, latency);
    --table.running;
    if (!current.keyed)
        return;
    const auto running = table.runningPerShard.find(current.request->shard);
    if (--running->second == 0)
        table.runningPerShard.erase(running);
}

// Records the end of an attempt. Returns the outcome of the request when this attempt decides
// it: the first answered attempt does, otherwise the last one to end.
auto recordConclusion(group_table &table, pending_request &request,
                      const attempt_conclusion &conclusion, instant now)
        -> std::optional<request_outcome>
{
    --request.attempts;
    if (conclusion.reported.result == outcome::Unknown)
        request.mayHaveRun = true;
    const auto last = request.attempts == 0;
    if (request.ended || (conclusion.reported.result != outcome::Answered && !last))
        return std::nullopt;
    request.ended = true;
    auto reported = conclusion.reported;
    if (reported.result == outcome::NotRun && request.mayHaveRun)
        reported = unknownOutcome(reported.cause);
    if (!request.work.mayRepeat)
        endAtMostOnce(table.history, request.id, reported, now);
    return reported;
}

// Cancels a request whose deadline has passed, since the server may still be running it. The slot
// is freed when the server has answered the cancellation or the cancellation has timed out.
auto cancelAtServer(daemon_process &daemon, const attempt &current) -> void
{
    http_request request;
    request.method = "POST";
    request.target = "/cancel";
    request.headers[requestIdHeader] = current.request->id;
    sendHttp(daemon.serverClient, current.address, std::move(request), {cancelTimeout, {}},
             [&daemon, current](const http_outcome &) {
                 const auto table = groupTable(daemon, current.group);
                 {
                     const std::lock_guard guard(table->lock);
                     freeSlot(*table, current, attempt_result::Failed, 0us);
                 }
                 dispatchGroup(daemon, current.group);
             });
}

auto finishAttempt(daemon_process &daemon, const attempt &current, http_outcome &&httpResult)
        -> void
{
    const auto timedOut = httpResult.failure == http_failure::TimedOut;
    const auto conclusion = classifyOutcome(std::move(httpResult));
    const auto now = monotonicNow();
    const auto table = groupTable(daemon, current.group);
    std::optional<request_outcome> reported;
    {
        const std::lock_guard guard(table->lock);
        if (!timedOut)
            freeSlot(*table, current, conclusion.result, now - current.startedAt);
        reported = recordConclusion(*table, *current.request, conclusion, now);
    }
    if (reported)
        current.request->respond(std::move(*reported));
    if (timedOut)
        cancelAtServer(daemon, current);
    else
        dispatchGroup(daemon, current.group);
}

// Starts a second attempt, at another server, of an idempotent request that takes unusually long.
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

auto scheduleHedge(daemon_process &daemon, const attempt &current) -> void
{
    if (current.keyed || current.hedged || !current.request->work.mayRepeat)
        return;
    const auto table = groupTable(daemon, current.group);
    duration delay = 0us;
    {
        const std::lock_guard guard(table->lock);
        earnRetry(table->hedges);
        delay = hedgeDelay(medianLatency(table->queue));
    }
    if (delay > 0us)
        postAfter(*daemon.workers, delay, [&daemon, current] { startHedge(daemon, current); });
}

} // namespace

auto beginAttempt(daemon_process &daemon, group_table &table, const group_id &group,
                  const shared_request &request, const server_id &server, instant now) -> attempt
{
    const auto &state = daemon.holdings.state;
    attempt current{group, request,           server,       {},   {}, !request->owner.empty(),
                    now,   request->deadline, std::nullopt, false};
    const auto listed = state.table.servers.find(server);
    if (listed != state.table.servers.end())
        current.address = parseEndpoint(listed->second.address).value_or(endpoint{});
    if (current.keyed) {
        current.shardEpoch = findShard(state.table, {group.service, request->shard})->grantEpoch;
        current.deadline = std::min(current.deadline, state.leaseEnds);
        ++table.runningPerShard[request->shard];
    }
    const auto grant = daemon.holdings.grants.find(server);
    if (grant != daemon.holdings.grants.end() && grant->second.clockKnown) {
        const auto left = current.deadline - grant->second.clockReadAt;
        current.serverDeadline =
                grant->second.serverClock + shortenedForDrift(left, state.limits).count();
    }
    ++table.running;
    ++request->attempts;
    return current;
}

auto sendAttempt(daemon_process &daemon, attempt current) -> void
{
    scheduleHedge(daemon, current);
    const auto left = std::max(current.deadline - monotonicNow(), duration::zero());
    auto request = toRequest(current);
    const auto address = current.address;
    sendHttp(daemon.serverClient, address, std::move(request),
             {left + responseGrace, requestIdHeader},
             [&daemon, current = std::move(current)](http_outcome httpResult) {
                 finishAttempt(daemon, current, std::move(httpResult));
             });
}

} // namespace parsleyloft
