// Answers a caller once, and logs and counts how its request ended.
#include "router/request_answer.h"

#include "router/flow_account.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// The server of the attempt that decided about the request.
auto decidingServer(const request_flow &flow) -> const server_id &
{
    const auto second = flow.hedge && flow.hedge->secondAnswered;
    return second ? flow.hedge->second.permit.server : flow.attempt.permit.server;
}

auto logResult(const request_flow &flow, unsigned status, request_result result, instant now)
        -> void
{
    const auto level = result == request_result::Answered ? log_level::Debug : log_level::Info;
    if (!isLogLevelEnabled(level))
        return;
    logEvent(level, "request_ended",
             {{"request", flow.callerRequest.id},
              {"route", flow.matchedRoute == nullptr ? std::string() : flow.matchedRoute->name},
              {"account", flow.account == nullptr ? account_name() : flow.account->name},
              {"service", flow.service},
              {"key",
               flow.callerRequest.key ? std::to_string(*flow.callerRequest.key) : std::string()},
              {"status", std::to_string(status)},
              {"reason", std::string(nameIn(requestResultNames, result))},
              {"last_result", std::string(nameIn(permitResultNames, flow.history.lastResult))},
              {"sends", std::to_string(flow.history.sends)},
              {"server", decidingServer(flow)},
              {"queue_host", flow.attempt.permit.queueHost},
              {"permit_wait_ms", std::to_string(toMilliseconds(flow.permitWait))},
              {"took_ms", std::to_string(toMilliseconds(now - flow.arrived))},
              {"deadline_left_ms", std::to_string(toMilliseconds(flow.deadline - now))},
              {"expected_wait_ms", std::to_string(toMilliseconds(flow.expectedWait))},
              {"return_after_ms", std::to_string(toMilliseconds(flow.returnAfter))},
              {"configuration",
               flow.routes ? std::to_string(flow.routes->configuration.version) : std::string()}});
}

// Logs that the caller is gone. Reads nothing that an attempt changes, because one may be going on
// at another worker.
auto logCallerGone(const request_flow &flow, unsigned status, instant now) -> void
{
    logEvent(log_level::Info, "request_ended",
             {{"request", flow.callerRequest.id},
              {"route", flow.matchedRoute->name},
              {"service", flow.service},
              {"status", std::to_string(status)},
              {"reason", std::string(nameIn(requestResultNames, request_result::CallerGone))},
              {"took_ms", std::to_string(toMilliseconds(now - flow.arrived))}});
}

// Returns false when the flow was finished before.
auto markFinished(request_flow &flow) -> bool
{
    const std::lock_guard guard(flow.lock);
    return !std::exchange(flow.finished, true);
}

} // namespace

auto isFinished(request_flow &flow) -> bool
{
    const std::lock_guard guard(flow.lock);
    return flow.finished;
}

auto answerCaller(const shared_flow &flow, http_response response, request_result result) -> void
{
    if (!markFinished(*flow))
        return;
    const auto now = monotonicNow();
    if (result == request_result::CallerGone)
        logCallerGone(*flow, response.status, now);
    else
        logResult(*flow, response.status, result, now);
    // An attempt of a request whose caller is gone may be going on at another worker.
    if (result != request_result::CallerGone)
        releaseToken(*flow);
    countRequest(flow->router.metrics,
                 flow->matchedRoute == nullptr ? route_name() : flow->matchedRoute->name,
                 response.status, nameIn(requestResultNames, result), now - flow->arrived);
    flow->respond(std::move(response));
}

} // namespace parsleyloft
