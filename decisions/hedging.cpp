// Hedging: when a second attempt is due, whether it is permitted, and what ends a request.
#include "decisions/hedging.h"

#include <algorithm>
#include <cmath>

namespace parsleyloft {

namespace {

// The ranges reach from 1 ms to a minute. The quantile is at most a fifth too long.
constexpr duration firstBound = 1ms;
constexpr double boundRatio = 1.19;
// The counts are halved when they reach this number, so the last 2,000 attempts count at most.
constexpr float latencyWindow = 2000;
// A quantile of 0.95 has a few latencies above it then.
constexpr float minLatencies = 100;
// Second attempts are due after this share of the first ones at the earliest. Below it the usual
// spread of the work would cause them, not a slow server.
constexpr double minDelayShare = 0.8;
constexpr double maxDelayShare = 0.99;
// After a quiet time a moment in which all servers are slow gets no more second attempts than this.
constexpr double maxCredit = 10;
constexpr double percentOfAll = 100;

auto rangeOf(duration latency) -> std::size_t
{
    const auto ratio =
            static_cast<double>(latency.count()) / static_cast<double>(firstBound.count());
    if (ratio <= 1)
        return 0;
    const auto index = std::ceil(std::log(ratio) / std::log(boundRatio));
    return std::min(static_cast<std::size_t>(index), latencyRanges - 1);
}

auto boundOf(std::size_t range) -> duration
{
    const auto factor = std::pow(boundRatio, static_cast<double>(range));
    return duration(static_cast<std::int64_t>(static_cast<double>(firstBound.count()) * factor));
}

} // namespace

auto recordHedgeableSend(hedged_route &route, double percent) -> void
{
    route.credit = std::min(route.credit + percent / percentOfAll, maxCredit);
}

auto recordHedgeableLatency(hedged_route &route, duration latency) -> void
{
    ++route.latencies[rangeOf(latency)];
    if (++route.total < latencyWindow)
        return;
    route.total = 0;
    for (auto &count : route.latencies) {
        count /= 2;
        route.total += count;
    }
}

auto latencyQuantile(const hedged_route &route, double share) -> std::optional<duration>
{
    if (route.total < minLatencies)
        return std::nullopt;
    const auto wanted = static_cast<double>(route.total) * share;
    double counted = 0;
    for (std::size_t range = 0; range < latencyRanges; ++range) {
        counted += route.latencies[range];
        if (counted >= wanted)
            return boundOf(range);
    }
    return boundOf(latencyRanges - 1);
}

auto hedgeDelay(const hedged_route &route, double percent) -> std::optional<duration>
{
    const auto share = std::clamp(1 - percent / percentOfAll, minDelayShare, maxDelayShare);
    return latencyQuantile(route, share);
}

auto checkHedge(const hedged_route &route, const hedge_request &request) -> hedge_denial
{
    if (request.stopping)
        return hedge_denial::Stopping;
    if (request.sends >= request.maxAttempts)
        return hedge_denial::NoAttemptsLeft;
    const auto usual = latencyQuantile(route, 0.5).value_or(0us);
    if (request.remaining <= std::max(usual, request.minTime))
        return hedge_denial::NoTimeLeft;
    return route.credit < 1 ? hedge_denial::ShareSpent : hedge_denial::None;
}

auto takeHedge(hedged_route &route) -> bool
{
    if (route.credit < 1)
        return false;
    --route.credit;
    return true;
}

auto returnHedge(hedged_route &route) -> void
{
    route.credit = std::min(route.credit + 1, maxCredit);
}

auto denialOfRefusal(refusal reason) -> hedge_denial
{
    return reason == refusal::NoServer ? hedge_denial::NoServer : hedge_denial::GroupBusy;
}

auto startHedgeRequest(hedge_progress &progress) -> bool
{
    if (progress.phase != hedge_phase::Planned)
        return false;
    progress.phase = hedge_phase::Requested;
    return true;
}

auto startSecondAttempt(hedge_progress &progress) -> bool
{
    if (progress.phase != hedge_phase::Requested)
        return false;
    progress.phase = hedge_phase::BothRun;
    return true;
}

auto endHedgeAttempt(hedge_progress &progress, bool answered) -> hedge_step
{
    // After a failure has settled it, the request goes on with one attempt at a time.
    if (progress.phase == hedge_phase::Settled)
        return progress.answered ? hedge_step::Drop : hedge_step::Proceed;
    if (!answered && progress.phase == hedge_phase::BothRun) {
        progress.phase = hedge_phase::OneRuns;
        return hedge_step::Await;
    }
    progress.phase = hedge_phase::Settled;
    progress.answered = answered;
    return hedge_step::Proceed;
}

} // namespace parsleyloft
