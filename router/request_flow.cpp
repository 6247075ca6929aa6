// Serves a caller's request from its arrival to its answer.
#include "router/request_flow.h"

#include "core/hash.h"
#include "router/accounts.h"
#include "router/attempt.h"
#include "router/flow_account.h"
#include "router/group_choice.h"
#include "router/hedge.h"
#include "router/request_answer.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// Before the first answer a route's latency is estimated as target / initialLatencyDivisor.
constexpr int initialLatencyDivisor = 3;
// How long a permit is kept while its request gets another token.
constexpr duration replacementWait = 100ms;
// Retry-After for callers while no configuration is known.
constexpr duration noConfigurationRetry = 300ms;
// Retry-After for callers whose body was evicted. Bodies that stand still are evicted first, so
// memory is free again soon.
constexpr duration memoryRetry = 1s;

auto dispatch(const shared_flow &flow) -> void;

// The usual time of the route's requests.
auto expectedLatency(request_flow &flow) -> duration
{
    const std::lock_guard guard(flow.router.work.lock);
    const auto known = flow.router.work.smoothedLatency.find(flow.matchedRoute->name);
    return known == flow.router.work.smoothedLatency.end()
            ? flow.matchedRoute->target / initialLatencyDivisor
            : known->second;
}

// While this host stops, ends the request's time with it. Returns false when the request would not
// be answered by then.
auto fitsIntoStop(request_flow &flow) -> bool
{
    if (!flow.router.draining)
        return true;
    const instant answersBy = flow.router.answersBy;
    const stopping_request request{flow.matchedRoute->kind, flow.deadline, expectedLatency(flow),
                                   flow.router.listeningStopped};
    if (!mayTakeWhileStopping(request, answersBy, monotonicNow()))
        return false;
    flow.endsWithHost = flow.endsWithHost || flow.deadline > answersBy;
    flow.deadline = std::min(flow.deadline, answersBy);
    flow.targetEnds = std::min(flow.targetEnds, flow.deadline);
    return true;
}

// Adds the expected work of a request to the load of its key, whether or not it will be served.
auto recordRequestedWork(request_flow &flow) -> void
{
    if (!flow.keyed)
        return;
    const auto latency = expectedLatency(flow);
    const std::lock_guard guard(flow.router.work.lock);
    flow.router.work.requested[flow.service][*flow.callerRequest.key] +=
            static_cast<double>(latency.count());
}

// Answers that the request has not run, and when the caller may retry.
auto answerRefusal(const shared_flow &flow, request_result result) -> void
{
    const auto left = std::max(flow->deadline - monotonicNow(), duration(0));
    const auto retry = flow->returnAfter > 0us ? std::min(flow->returnAfter, left)
                                               : retryAfter(flow->expectedWait, left, flow->seed);
    const auto status = result == request_result::BeyondQuota ? 429 : 503;
    answerCaller(flow, encodeOwnResponse(status, flow->callerRequest.id, retry), result);
}

// Answers a request that gets no further attempt: with the failure response of a server if there is
// one, with a refusal if the request cannot have run, otherwise with a gateway error.
auto finishRequest(const shared_flow &flow, request_result result) -> void
{
    if (flow->serverFailure) {
        answerCaller(flow, std::move(*flow->serverFailure), request_result::Answered);
        return;
    }
    if (!flow->history.mayHaveRun) {
        answerRefusal(flow, result);
        return;
    }
    const auto timedOut = flow->history.lastResult == permit_result::TimedOut;
    answerCaller(flow,
                 encodeOwnResponse(timedOut ? 504 : 502, flow->callerRequest.id, std::nullopt),
                 timedOut ? request_result::ServerTimedOut : request_result::ServerLost);
}

// Answers a request that gets no token.
auto refuseToken(const shared_flow &flow, const token_outcome &outcome) -> void
{
    flow->expectedWait = outcome.retryAfter;
    finishRequest(flow,
                  outcome.result == token_result::BeyondQuota ? request_result::BeyondQuota
                                                              : request_result::NoQuotaHost);
}

// Holds the request back until the service's ownership table changes. Answers it when it has waited
// for as long as it may.
auto parkRequest(const shared_flow &flow) -> void
{
    const auto now = monotonicNow();
    const auto until =
            std::min(flow->arrived + ownerWaitLimit(*flow), flow->deadline - minAttemptTime);
    if (now >= until) {
        finishRequest(flow, request_result::NoOwner);
        return;
    }
    const std::lock_guard guard(flow->router.ownership.lock);
    flow->router.ownership.parked.push_back({until, [flow] { dispatch(flow); }});
}

auto handleAttemptOutcome(const shared_flow &flow, server_attempt &attempt, http_outcome &&outcome)
        -> void;

auto sendToServer(const shared_flow &flow, const held_permit &permit) -> void;

// Gets another token before the request is sent. The permit is kept meanwhile: the request would
// wait for the next one so long that its new token expired too.
auto replaceToken(const shared_flow &flow, const held_permit &permit) -> void
{
    const auto until = monotonicNow() + replacementWait;
    acquireToken(flow, until, [flow, permit](const token_outcome &outcome) {
        if (isFinished(*flow)) {
            returnUnused(flow->router, permit);
            releaseToken(*flow);
        } else if (outcome.result == token_result::Granted) {
            sendToServer(flow, permit);
        } else {
            returnUnused(flow->router, permit);
            refuseToken(flow, outcome);
        }
    });
}

auto sendToServer(const shared_flow &flow, const held_permit &permit) -> void
{
    if (!fitsIntoStop(*flow)) {
        returnUnused(flow->router, permit);
        finishRequest(flow, request_result::Stopping);
        return;
    }
    const auto now = monotonicNow();
    const auto target = findTarget(*flow, permit.server, now);
    const auto left = flow->deadline - now;
    if (!target || left < minAttemptTime) {
        returnUnused(flow->router, permit);
        recordAttempt(flow->history, permit_result::Unused);
        flow->excluded.push_back(permit.server);
        if (left < minAttemptTime || flow->history.unsentPermits > flow->matchedRoute->maxAttempts)
            finishRequest(flow, request_result::NoServer);
        else
            dispatch(flow);
        return;
    }
    if (isFinished(*flow)) {
        returnUnused(flow->router, permit);
        return;
    }
    // The token has expired while the request waited.
    if (!spendToken(*flow)) {
        replaceToken(flow, permit);
        return;
    }
    if (flow->history.sends > 0 && !takeRepeatBudget(flow->router, flow->service)) {
        returnUnused(flow->router, permit);
        finishRequest(flow, request_result::BudgetSpent);
        return;
    }
    flow->attempt.permit = permit;
    planHedge(flow, now, handleAttemptOutcome);
    sendAttempt(flow, flow->attempt, *target, now, handleAttemptOutcome);
}

// Requests the permit again after the owner of the request's key, which alone may run it, has
// refused it.
auto retryAtOwner(const shared_flow &flow, std::optional<duration> pause,
                  const attempt_limits &limits) -> void
{
    const auto delay = ownerRetryDelay(pause, limits, flow->deadline - monotonicNow());
    if (!delay) {
        flow->expectedWait = std::max(flow->expectedWait, pause.value_or(0us));
        finishRequest(flow, request_result::ServerRefused);
        return;
    }
    postAfter(*flow->router.workers, *delay, [flow] { dispatch(flow); });
}

auto handleAttemptOutcome(const shared_flow &flow, server_attempt &attempt, http_outcome &&outcome)
        -> void
{
    auto end = endAttempt(*flow, attempt, std::move(outcome));
    if (recordAttemptEnd(*flow, attempt, end) != hedge_step::Proceed || isFinished(*flow))
        return;
    const attempt_limits limits{flow->matchedRoute->kind, flow->matchedRoute->maxAttempts,
                                minAttemptTime};
    const auto action = nextAction(flow->history, limits, flow->deadline - end.at);
    if (end.result != permit_result::Answered)
        logFailedAttempt(*flow, attempt, end, nameIn(attemptActionNames, action));
    auto &response = end.response;
    if (action == attempt_action::Respond) {
        if (response.rest)
            logBrokenStream(*flow, attempt, *response.rest);
        answerCaller(flow, encodeCallerResponse(std::move(response)), request_result::Answered);
        return;
    }
    // A failure whose body is not complete may break off, so it is not kept for later.
    if (end.result == permit_result::Failed && !response.rest)
        flow->serverFailure = encodeCallerResponse(std::move(response));
    if (action != attempt_action::Retry) {
        finishRequest(flow, request_result::ServerRefused);
        return;
    }
    flow->excluded.push_back(attempt.permit.server);
    // The owner does not hold the key. The request waits for the next ownership table, in which
    // this server or another one holds it.
    if (flow->keyed && end.result == permit_result::Misdirected)
        parkRequest(flow);
    else if (flow->keyed && end.result == permit_result::Shed)
        retryAtOwner(flow, end.report.pause, limits);
    else
        dispatch(flow);
}

auto handlePermitOutcome(const shared_flow &flow, const group_choice &choice,
                         const permit_outcome &outcome) -> void
{
    flow->permitWait += monotonicNow() - flow->permitRequestedAt;
    if (isFinished(*flow)) {
        if (outcome.permit)
            returnUnused(flow->router, *outcome.permit);
        return;
    }
    if (outcome.permit) {
        sendToServer(flow, *outcome.permit);
        return;
    }
    flow->expectedWait = std::max(flow->expectedWait, outcome.expectedWait);
    flow->returnAfter = outcome.returnAfter;
    flow->refusedBy.insert(choice.group);
    if (flow->keyed || choice.acceptLate)
        finishRequest(flow, request_result::Overloaded);
    else
        dispatch(flow);
}

auto requestGroupPermit(const shared_flow &flow, const group_choice &choice) -> void
{
    flow->permitRequestedAt = monotonicNow();
    std::vector<server_id> excluded;
    // Only the owner can run a keyed request. Its pause has been checked.
    if (!flow->keyed) {
        excluded = flow->excluded;
        const std::lock_guard guard(flow->router.directory.lock);
        const auto paused = pausedServers(flow->router.directory.pauses, flow->permitRequestedAt);
        excluded.insert(excluded.end(), paused.begin(), paused.end());
    }
    group_permit_request request{choice.group,
                                 flow->callerRequest.id,
                                 flow->matchedRoute->name,
                                 priorityOf(*flow),
                                 flow->keyed ? flow->callerRequest.key : std::nullopt,
                                 accountOf(*flow),
                                 choice.owner,
                                 std::move(excluded),
                                 flow->matchedRoute->target,
                                 flow->targetEnds,
                                 flow->deadline,
                                 choice.acceptLate,
                                 false};
    requestPermit(flow->router, std::move(request), [flow, choice](const permit_outcome &outcome) {
        handlePermitOutcome(flow, choice, outcome);
    });
}

// How long the owner of the request's key accepts no requests from this host.
auto ownerPause(request_flow &flow, const server_id &owner) -> duration
{
    const std::lock_guard guard(flow.router.directory.lock);
    const auto &entries = flow.router.directory.directory.entries;
    const auto entry = entries.find(owner);
    if (entry == entries.end())
        return 0us;
    return remainingPause(flow.router.directory.pauses, owner, entry->second.record.startTimeMs,
                          monotonicNow());
}

// Requests a permit for the next attempt. Called again after each refusal, failed attempt and wait
// for an owner.
auto dispatch(const shared_flow &flow) -> void
{
    if (isFinished(*flow))
        return;
    if (flow->keyed) {
        const auto choice = findOwnerGroup(*flow);
        if (!choice) {
            parkRequest(flow);
        } else if (const auto pause = ownerPause(*flow, choice->owner); pause > 0us) {
            // Only the owner could serve the request, and it accepts none.
            flow->expectedWait = pause;
            finishRequest(flow, request_result::Overloaded);
        } else {
            requestGroupPermit(flow, *choice);
        }
        return;
    }
    auto anyUsable = false;
    if (const auto choice = chooseGroup(*flow, anyUsable))
        requestGroupPermit(flow, *choice);
    else
        finishRequest(flow, anyUsable ? request_result::Overloaded : request_result::NoServer);
}

auto handleCallerGone(const shared_flow &flow) -> void
{
    http_exchange exchange;
    http_exchange second;
    {
        const std::lock_guard guard(flow->lock);
        if (flow->finished)
            return;
        flow->callerGone = true;
        exchange = flow->attempt.exchange;
        if (flow->hedge)
            second = flow->hedge->second.exchange;
    }
    // Work that must not run twice is not cancelled: cut midway, it could neither be completed nor
    // repeated.
    if (flow->matchedRoute->kind == repeatability::Idempotent) {
        cancelHttp(exchange);
        cancelHttp(second);
    }
    // It gets no bytes of this answer, whose status promises nothing: an order may be running.
    answerCaller(flow, encodeOwnResponse(502, flow->callerRequest.id, std::nullopt),
                 request_result::CallerGone);
}

// Sets the flow's account. Returns false when it has answered the request.
auto identifyAccount(const shared_flow &flow) -> bool
{
    const auto found =
            findCallerAccount(*flow->routes, *flow->matchedRoute, flow->callerRequest.accountKey);
    flow->account = found.account;
    if (found.decision == account_decision::Unauthorized) {
        answerCaller(flow, encodeUnauthorized(flow->callerRequest.id), request_result::UnknownKey);
        return false;
    }
    auto refused = request_result::AccountsUnreadable;
    if (found.decision == account_decision::Open)
        return true;
    if (found.decision == account_decision::Known) {
        if (mayAcceptKeys(flow->router))
            return true;
        refused = request_result::AccountsOutdated;
    }
    flow->expectedWait = noConfigurationRetry;
    answerRefusal(flow, refused);
    return false;
}

// Sets the flow's route, account, service and deadlines. Returns false when it has answered the
// request.
auto prepareRequest(const shared_flow &flow) -> bool
{
    const auto incomplete = flow->request.incomplete;
    auto decoded = decodeCallerRequest(flow->request);
    if (!decoded && !incomplete) {
        auto response = encodeOwnResponse(400, {}, std::nullopt);
        response.closeConnection = true;
        answerCaller(flow, std::move(response), request_result::BadRequest);
        return false;
    }
    flow->callerRequest = std::move(decoded).value_or(caller_request());
    flow->routes = currentRoutes(flow->router);
    flow->deadline = flow->arrived + flow->callerRequest.wait.value_or(1min);
    if (flow->request.evicted) {
        flow->expectedWait = memoryRetry;
        answerRefusal(flow, request_result::MemoryShort);
        return false;
    }
    // An incomplete request exceeds the limits of before the configuration, which may have come
    // meanwhile.
    if (!flow->routes || incomplete) {
        flow->expectedWait = noConfigurationRetry;
        answerRefusal(flow, request_result::NoConfiguration);
        return false;
    }
    flow->matchedRoute = findRoute(*flow->routes, flow->callerRequest.host, flow->request.target);
    if (flow->matchedRoute == nullptr) {
        answerCaller(flow, encodeOwnResponse(404, flow->callerRequest.id, std::nullopt),
                     request_result::NoRoute);
        return false;
    }
    // The configuration may have changed since the request was allowed to overlap.
    if (flow->request.overlaps && flow->matchedRoute->kind != repeatability::Idempotent) {
        flow->expectedWait = noConfigurationRetry;
        answerRefusal(flow, request_result::RouteChanged);
        return false;
    }
    flow->deadline = std::min(flow->deadline, flow->arrived + flow->matchedRoute->timeout);
    flow->targetEnds = std::min(flow->arrived + flow->matchedRoute->target, flow->deadline);
    if (!identifyAccount(flow))
        return false;
    if (flow->matchedRoute->services.empty()) {
        flow->expectedWait = noConfigurationRetry;
        answerRefusal(flow, request_result::RouteUnusable);
        return false;
    }
    flow->seed = stableHash(flow->callerRequest.id);
    flow->service = chooseService(*flow->matchedRoute, flow->seed);
    const auto service = flow->routes->configuration.services.find(flow->service);
    flow->keyed = service != flow->routes->configuration.services.end() && service->second.keyed;
    if (flow->keyed && !flow->callerRequest.key) {
        answerCaller(flow, encodeOwnResponse(400, flow->callerRequest.id, std::nullopt),
                     request_result::BadRequest);
        return false;
    }
    return true;
}

// Starts the attempts of a request within its account's quota.
auto admitRequest(const shared_flow &flow) -> void
{
    addToRepeatBudget(*flow);
    recordRequestedWork(*flow);
    dispatch(flow);
}

} // namespace

auto serveRequest(router_process &router, http_request request, http_responder respond) -> void
{
    const auto caller = request.caller;
    const auto flow =
            std::make_shared<request_flow>(router, std::move(request), std::move(respond));
    flow->arrived = monotonicNow();
    if (!prepareRequest(flow))
        return;
    if (!fitsIntoStop(*flow)) {
        answerRefusal(flow, request_result::Stopping);
        return;
    }
    onCallerDisconnect(caller, [flow] { handleCallerGone(flow); });
    acquireToken(flow, flow->deadline, [flow](const token_outcome &outcome) {
        if (isFinished(*flow))
            releaseToken(*flow);
        else if (outcome.result == token_result::Granted)
            admitRequest(flow);
        else
            refuseToken(flow, outcome);
    });
}

} // namespace parsleyloft
