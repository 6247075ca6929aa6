// One send of a request to a backend server.
#include "router/attempt.h"

#include "router/flow_account.h"
#include "router/site_sync.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// The server's deadline is this much earlier than this host's, so that its response still arrives.
constexpr duration serverDeadlineMargin = 10ms;
constexpr duration connectLimit = 300ms;
// How much longer the answer of a server is awaited whose deadline is the end of this host.
constexpr duration lastAnswerWait = 150ms;
// On a host short of processor time a send may start late. A send that has not started within this
// fails as not sent, and the conditions, such as the time left, are checked again before the next.
constexpr duration maxSendDelay = 320ms;
// Requests that must not run twice use only recently used connections. When a server closes an idle
// connection just as a request is sent, it is unknown whether the request ran.
constexpr duration maxIdleAgeAtMostOnce = 400ms;
constexpr duration maxIdleAgeIdempotent = 1h;
// A new latency counts 1/latencySmoothing in a route's smoothed latency.
constexpr int latencySmoothing = 16;

auto repeatLimits(const router_process &router) -> repeat_limits
{
    const auto settings = currentSettings(router);
    const auto &bounds = settings.bounds();
    return {bounds.repeat_ratio(), bounds.repeat_slack(),
            duration(static_cast<std::int64_t>(bounds.repeat_window_s() * 1e6))};
}

auto sendOptions(const request_flow &flow, duration left, std::shared_ptr<void> serverBytes)
        -> http_send_options
{
    http_send_options options;
    options.timeout = flow.endsWithHost ? left + lastAnswerWait : left;
    options.matchHeader = requestIdHeader();
    options.preserveHeaders = true;
    options.connectTimeout = connectLimit;
    options.maxSendDelay = maxSendDelay;
    options.heldBytes = flow.router.heldAnswerBytes;
    options.serverBytes = std::move(serverBytes);
    options.maxIdleAge = flow.matchedRoute->kind == repeatability::Idempotent
            ? maxIdleAgeIdempotent
            : maxIdleAgeAtMostOnce;
    return options;
}

auto updateSmoothedLatency(request_flow &flow, duration latency) -> void
{
    const std::lock_guard guard(flow.router.work.lock);
    auto &smoothed = flow.router.work.smoothedLatency.try_emplace(flow.matchedRoute->name, latency)
                             .first->second;
    smoothed += (latency - smoothed) / latencySmoothing;
}

// True when the attempt ended because the other attempt of the request had been answered. An
// exchange that is cancelled before it has sent anything ends as not sent.
auto wasSuperseded(request_flow &flow, attempt_report::transport_result transport) -> bool
{
    using ended = attempt_report::transport_result;
    if (!flow.hedge || (transport != ended::Cancelled && transport != ended::NotSent))
        return false;
    const std::lock_guard guard(flow.lock);
    return flow.hedge->progress.answered;
}

auto hasCallerGone(request_flow &flow) -> bool
{
    const std::lock_guard guard(flow.lock);
    return flow.callerGone;
}

// Records what the server stated about itself, so that later requests observe it.
auto recordServerStatements(request_flow &flow, const server_attempt &attempt,
                            const attempt_report &report, instant now) -> void
{
    // Another server may have answered at the address.
    if (report.otherServer)
        return;
    if (report.leaving)
        adoptLeavingServer(flow.router, attempt.permit.server, attempt.serverStartMs);
    if (!report.pause)
        return;
    {
        const std::lock_guard guard(flow.router.directory.lock);
        recordPause(flow.router.directory.pauses, attempt.permit.server, attempt.serverStartMs,
                    *report.pause, now);
    }
    logEvent(log_level::Info, "server_paused",
             {{"server", attempt.permit.server},
              {"request", flow.callerRequest.id},
              {"pause_ms", std::to_string(toMilliseconds(*report.pause))}});
}

// The server's address, if it is in use and has not requested a pause from this host.
auto findUsableServer(router_process &router, const server_id &server, instant now)
        -> std::optional<attempt_target>
{
    const std::lock_guard guard(router.directory.lock);
    const auto &directory = router.directory.directory;
    const auto entry = directory.entries.find(server);
    if (entry == directory.entries.end() || !isUsable(directory, entry->second))
        return std::nullopt;
    const auto &record = entry->second.record;
    if (remainingPause(router.directory.pauses, record.id, record.startTimeMs, now) != 0us)
        return std::nullopt;
    return attempt_target{record.address, record.startTimeMs, nullptr};
}

} // namespace

auto findTarget(request_flow &flow, const server_id &server, instant now)
        -> std::optional<attempt_target>
{
    auto target = findUsableServer(flow.router, server, now);
    if (!target)
        return std::nullopt;
    target->serverBytes =
            reserveServerBytes(flow.router.servers, target->address, bodySize(flow.request));
    return target->serverBytes ? target : std::nullopt;
}

auto returnUnused(router_process &router, const held_permit &permit) -> void
{
    returnHeldPermit(router, permit,
                     {permit.number, permit_result::Unused, 0us, std::nullopt, std::nullopt});
}

auto takeRepeatBudget(router_process &router, const service_name &service) -> bool
{
    const auto limits = repeatLimits(router);
    std::size_t hosts = 1;
    {
        const std::lock_guard guard(router.members.lock);
        hosts = router.members.hosts.size();
    }
    const std::lock_guard guard(router.repeats.lock);
    const auto allowed =
            takeRepeat(router.repeats.services[service], limits, hosts, monotonicNow());
    countRepeat(router.metrics, service, allowed);
    return allowed;
}

auto addToRepeatBudget(request_flow &flow) -> void
{
    const auto limits = repeatLimits(flow.router);
    const std::lock_guard guard(flow.router.repeats.lock);
    recordFirstSend(flow.router.repeats.services[flow.service], limits, monotonicNow());
}

auto sendAttempt(const shared_flow &flow, server_attempt &attempt, const attempt_target &target,
                 instant now, attempt_handler handle) -> void
{
    const auto left = flow->deadline - now;
    attempt.serverAddress = target.address;
    attempt.serverStartMs = target.startTimeMs;
    attempt.sentAt = now;
    const auto exchange =
            sendHttp(flow->router.servers, target.address,
                     encodeServerRequest(flow->request, left - serverDeadlineMargin,
                                         attempt.permit.server, forwardedAccount(*flow)),
                     sendOptions(*flow, left, target.serverBytes),
                     [flow, &attempt, handle](http_outcome outcome) {
                         handle(flow, attempt, std::move(outcome));
                     });
    auto callerGone = false;
    auto otherAnswered = false;
    {
        const std::lock_guard guard(flow->lock);
        attempt.exchange = exchange;
        callerGone = flow->callerGone;
        otherAnswered = flow->hedge && flow->hedge->progress.answered;
    }
    if ((callerGone && flow->matchedRoute->kind == repeatability::Idempotent) || otherAnswered)
        cancelHttp(exchange);
}

auto endAttempt(request_flow &flow, server_attempt &attempt, http_outcome &&outcome) -> attempt_end
{
    attempt_end end;
    end.at = monotonicNow();
    end.latency = end.at - attempt.sentAt;
    end.report = decodeAttempt(outcome, attempt.permit.server);
    end.result = classifyAttempt(end.report);
    if (wasSuperseded(flow, end.report.transport))
        end.result = permit_result::Superseded;
    end.reusedConnection = outcome.reused;
    recordServerStatements(flow, attempt, end.report, end.at);
    // The request itself may have run: only the queue and the counters see such an attempt as
    // unused.
    const auto abandoned = wasAbandoned(end.report, flow.matchedRoute->kind, hasCallerGone(flow));
    const auto forQueue = end.result == permit_result::Superseded
            ? end.result
            : resultForQueue(end.report, abandoned);
    permit_return returned{attempt.permit.number, forQueue, end.latency,
                           decodeLoad(outcome.response), std::nullopt};
    if (end.report.leaving && !end.report.otherServer)
        returned.leavingStartMs = attempt.serverStartMs;
    returnHeldPermit(flow.router, attempt.permit, returned);
    countAttempt(flow.router.metrics, flow.service, abandoned ? forQueue : end.result);
    if (end.result == permit_result::Answered || end.result == permit_result::Failed)
        updateSmoothedLatency(flow, end.latency);
    end.response = std::move(outcome.response);
    return end;
}

auto logFailedAttempt(const request_flow &flow, const server_attempt &attempt,
                      const attempt_end &end, std::string_view nextAction) -> void
{
    const auto &report = end.report;
    logEvent(log_level::Info, "attempt_failed",
             {{"request", flow.callerRequest.id},
              {"server", attempt.permit.server},
              {"address", formatEndpoint(attempt.serverAddress)},
              {"connection", end.reusedConnection ? "reused" : "new"},
              {"ended", std::string(nameIn(permitResultNames, end.result))},
              {"transport", std::string(nameIn(transportResultNames, report.transport))},
              {"status", std::to_string(report.status)},
              {"states_not_run", report.notExecuted ? "yes" : "no"},
              {"other_server", report.otherServer ? "yes" : "no"},
              {"took_ms", std::to_string(toMilliseconds(end.latency))},
              {"next_action", std::string(nextAction)}});
}

auto logBrokenStream(const request_flow &flow, const server_attempt &attempt, body_stream &rest)
        -> void
{
    rest.read = [read = std::move(rest.read), request = flow.callerRequest.id,
                 server = attempt.permit.server](body_part_callback done) {
        read([done = std::move(done), request, server](body_part part) {
            if (part.failed)
                logEvent(log_level::Warn, "answer_broke_off",
                         {{"request", request}, {"server", server}});
            done(std::move(part));
        });
    };
}

} // namespace parsleyloft
