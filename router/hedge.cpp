// The second attempt of a request beside a running one.
#include "router/hedge.h"

#include "router/flow_account.h"
#include "router/group_choice.h"
#include "router/request_answer.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// What the second attempt needs of a request that another worker may change meanwhile.
struct hedge_plan
{
    std::vector<server_id> excluded;
    hedge_request request;
    instant targetEnds{};
    instant deadline{};
    attempt_handler handle = nullptr;
};

// A keyed request has one server that may run it.
auto isHedgeable(const request_flow &flow) -> bool
{
    return flow.router.hedgingPercent > 0 && !flow.keyed && flow.matchedRoute->maxAttempts > 1
            && flow.matchedRoute->kind == repeatability::Idempotent;
}

auto denyHedge(const shared_flow &flow, hedge_denial denial) -> void
{
    countHedgeDenial(flow->router.metrics, flow->service, denial);
    if (!isLogLevelEnabled(log_level::Debug))
        return;
    logEvent(log_level::Debug, "hedge_denied",
             {{"request", flow->callerRequest.id},
              {"route", flow->matchedRoute->name},
              {"service", flow->service},
              {"reason", std::string(nameIn(hedgeDenialNames, denial))}});
}

// Takes one attempt from the share and one from the repeat budget.
auto takeBudgets(const shared_flow &flow) -> hedge_denial
{
    auto &hedging = flow->router.hedging;
    {
        const std::lock_guard guard(hedging.lock);
        if (!takeHedge(hedging.routes[flow->matchedRoute->name]))
            return hedge_denial::ShareSpent;
    }
    if (takeRepeatBudget(flow->router, flow->service))
        return hedge_denial::None;
    const std::lock_guard guard(hedging.lock);
    returnHedge(hedging.routes[flow->matchedRoute->name]);
    return hedge_denial::BudgetSpent;
}

// Returns false when the request has been decided meanwhile.
auto startSecond(const shared_flow &flow, const held_permit &permit) -> bool
{
    const std::lock_guard guard(flow->lock);
    if (flow->finished || !startSecondAttempt(flow->hedge->progress))
        return false;
    flow->hedge->second.permit = permit;
    flow->hedge->firstServer = flow->attempt.permit.server;
    return true;
}

auto sendSecond(const shared_flow &flow, const hedge_plan &plan, const held_permit &permit) -> void
{
    const auto now = monotonicNow();
    const auto target = findTarget(*flow, permit.server, now);
    auto denial = target ? hedge_denial::None : hedge_denial::NoServer;
    if (plan.deadline - now < minAttemptTime)
        denial = hedge_denial::NoTimeLeft;
    if (denial == hedge_denial::None)
        denial = takeBudgets(flow);
    if (denial != hedge_denial::None || !startSecond(flow, permit)) {
        returnUnused(flow->router, permit);
        if (denial != hedge_denial::None)
            denyHedge(flow, denial);
        return;
    }
    countHedgeSent(flow->router.metrics, flow->service);
    logEvent(log_level::Debug, "hedge_sent",
             {{"request", flow->callerRequest.id},
              {"server", permit.server},
              {"first_server", flow->hedge->firstServer}});
    sendAttempt(flow, flow->hedge->second, *target, now, plan.handle);
}

// Requests a permit that is refused at once if there is none.
auto requestSecondPermit(const shared_flow &flow, const group_id &group, hedge_plan plan) -> void
{
    const auto &route = *flow->matchedRoute;
    group_permit_request request;
    request.group = group;
    request.request = flow->callerRequest.id;
    request.route = route.name;
    request.priority = priorityOf(*flow);
    request.account = accountOf(*flow);
    request.excluded = plan.excluded;
    request.target = route.target;
    request.targetEnds = plan.targetEnds;
    request.deadline = plan.deadline;
    request.immediate = true;
    {
        const std::lock_guard guard(flow->router.directory.lock);
        const auto paused = pausedServers(flow->router.directory.pauses, monotonicNow());
        request.excluded.insert(request.excluded.end(), paused.begin(), paused.end());
    }
    requestPermit(flow->router, std::move(request),
                  [flow, plan = std::move(plan)](const permit_outcome &outcome) {
                      if (outcome.permit)
                          sendSecond(flow, plan, *outcome.permit);
                      else
                          denyHedge(flow, denialOfRefusal(outcome.reason));
                  });
}

// Copies what the second attempt needs. Empty when the request has been decided meanwhile.
auto startPlan(request_flow &flow, attempt_handler handle) -> std::optional<hedge_plan>
{
    const std::lock_guard guard(flow.lock);
    if (flow.finished || !startHedgeRequest(flow.hedge->progress))
        return std::nullopt;
    hedge_plan plan{flow.excluded, {}, flow.targetEnds, flow.deadline, handle};
    plan.excluded.push_back(flow.attempt.permit.server);
    plan.request = {flow.history.sends + 1, flow.matchedRoute->maxAttempts,
                    flow.deadline - monotonicNow(), minAttemptTime, flow.router.draining};
    return plan;
}

// Called when the second attempt is due.
auto tryHedge(const shared_flow &flow, attempt_handler handle) -> void
{
    auto plan = startPlan(*flow, handle);
    if (!plan)
        return;
    auto denial = hedge_denial::None;
    {
        const std::lock_guard guard(flow->router.hedging.lock);
        denial = checkHedge(flow->router.hedging.routes[flow->matchedRoute->name], plan->request);
    }
    if (denial != hedge_denial::None) {
        denyHedge(flow, denial);
        return;
    }
    const auto group = chooseHedgeGroup(flow->router, flow->service, plan->excluded, flow->seed);
    if (group)
        requestSecondPermit(flow, *group, std::move(*plan));
    else
        denyHedge(flow, group.error());
}

// A second attempt runs only beside a slow first one, so its latency is not typical of the route.
auto recordFirstLatency(request_flow &flow, const server_attempt &attempt, const attempt_end &end)
        -> void
{
    const auto known = end.result == permit_result::Answered
            || end.result == permit_result::TimedOut || end.result == permit_result::Superseded;
    if (!known || &attempt != &flow.attempt || !isHedgeable(flow))
        return;
    const std::lock_guard guard(flow.router.hedging.lock);
    recordHedgeableLatency(flow.router.hedging.routes[flow.matchedRoute->name], end.latency);
}

auto logHedgeEnd(const request_flow &flow, const attempt_end &end, hedge_result result) -> void
{
    countHedgeEnd(flow.router.metrics, flow.service, result);
    logEvent(log_level::Info, "hedge_ended",
             {{"request", flow.callerRequest.id},
              {"server", flow.hedge->second.permit.server},
              {"first_server", flow.hedge->firstServer},
              {"result", std::string(nameIn(hedgeResultNames, result))},
              {"ended", std::string(nameIn(permitResultNames, end.result))},
              {"delay_ms", std::to_string(toMilliseconds(flow.hedge->delay))},
              {"took_ms", std::to_string(toMilliseconds(end.latency))}});
}

// Keeps the failure of one attempt while the other runs. Called with the request's lock held.
auto keepFailure(request_flow &flow, const server_attempt &attempt, attempt_end &end) -> void
{
    flow.excluded.push_back(attempt.permit.server);
    if (end.result == permit_result::Failed && !end.response.rest)
        flow.serverFailure = encodeCallerResponse(std::move(end.response));
}

struct recorded_end
{
    hedge_step step = hedge_step::Proceed;
    bool callerGone = false;
    // The exchange to cancel.
    http_exchange loser;
};

auto recordHedgedEnd(request_flow &flow, const server_attempt &attempt, attempt_end &end)
        -> recorded_end
{
    auto &hedge = *flow.hedge;
    const auto answered = end.result == permit_result::Answered;
    const auto isSecond = &attempt == &hedge.second;
    const std::lock_guard guard(flow.lock);
    const auto bothRan = hedge.progress.phase == hedge_phase::BothRun;
    recorded_end recorded{endHedgeAttempt(hedge.progress, answered), flow.finished, {}};
    if (recorded.step == hedge_step::Drop)
        return recorded;
    if (answered && bothRan) {
        // The other attempt counts as a send too.
        recordAttempt(flow.history, permit_result::Superseded);
        recorded.loser = isSecond ? flow.attempt.exchange : hedge.second.exchange;
    }
    hedge.secondAnswered = answered && isSecond;
    recordAttempt(flow.history, end.result);
    if (recorded.step == hedge_step::Await)
        keepFailure(flow, attempt, end);
    return recorded;
}

auto resultOfSecond(const recorded_end &recorded, const attempt_end &end) -> hedge_result
{
    if (recorded.step == hedge_step::Drop || recorded.callerGone)
        return hedge_result::Cancelled;
    return end.result == permit_result::Answered ? hedge_result::Won : hedge_result::Failed;
}

} // namespace

auto planHedge(const shared_flow &flow, instant now, attempt_handler handle) -> void
{
    const double percent = flow->router.hedgingPercent;
    const auto firstSend = flow->history.sends == 0 && flow->history.unsentPermits == 0;
    if (!firstSend || !isHedgeable(*flow))
        return;
    std::optional<duration> delay;
    {
        const std::lock_guard guard(flow->router.hedging.lock);
        auto &route = flow->router.hedging.routes[flow->matchedRoute->name];
        recordHedgeableSend(route, percent);
        delay = hedgeDelay(route, percent);
    }
    if (!delay || now + *delay + minAttemptTime > flow->deadline)
        return;
    auto hedge = std::make_unique<hedge_state>();
    hedge->delay = *delay;
    {
        const std::lock_guard guard(flow->lock);
        flow->hedge = std::move(hedge);
    }
    // A request that has been answered by then is not kept until then.
    postAfter(*flow->router.workers, *delay, [waiting = std::weak_ptr(flow), handle] {
        if (const auto running = waiting.lock())
            tryHedge(running, handle);
    });
}

auto recordAttemptEnd(request_flow &flow, const server_attempt &attempt, attempt_end &end)
        -> hedge_step
{
    recordFirstLatency(flow, attempt, end);
    const auto isFirst = &attempt == &flow.attempt;
    if (!flow.hedge) {
        recordAttempt(flow.history, end.result);
        return hedge_step::Proceed;
    }
    // Once the end is recorded, another worker may use flow.attempt for a further attempt.
    const server_attempt ended{
            attempt.permit, attempt.serverAddress, attempt.serverStartMs, attempt.sentAt, {}};
    const auto recorded = recordHedgedEnd(flow, attempt, end);
    cancelHttp(recorded.loser);
    if (recorded.step == hedge_step::Await && !recorded.callerGone)
        logFailedAttempt(flow, ended, end, nameIn(hedgeStepNames, recorded.step));
    if (!isFirst)
        logHedgeEnd(flow, end, resultOfSecond(recorded, end));
    return recorded.step;
}

} // namespace parsleyloft
