// Whether and when a request may be repeated or sent to a second server.
#include "decisions/retry.h"

#include <algorithm>

namespace parsleyloft {

namespace {

constexpr double tokensPerRequest = 0.1;
constexpr double maxTokens = 20;

// With less time remaining than this, a repeat would not be answered in time.
constexpr duration minRemaining = 1ms;

// A second attempt is sent after this many median latencies.
constexpr int hedgeRatio = 3;
constexpr duration minHedgeDelay = 2ms;

// True when another holder may be able to serve the request.
auto mayServeElsewhere(reason cause) -> bool
{
    switch (cause) {
    case reason::WrongHolder:
    case reason::NoOwner:
    case reason::NoServer:
    case reason::Draining:
    case reason::HolderUnreachable:
        return true;
    default:
        return false;
    }
}

} // namespace

auto earnRetry(retry_budget &budget) -> void
{
    budget.tokens = std::min(maxTokens, budget.tokens + tokensPerRequest);
}

auto spendRetry(retry_budget &budget) -> bool
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

auto decideNextStep(const request_outcome &attempt, bool mayRepeat, retry_budget &budget,
                    duration remaining) -> next_step
{
    if (attempt.result == outcome::Answered || remaining < minRemaining)
        return next_step::Finish;
    if (attempt.result == outcome::NotRun && mayServeElsewhere(attempt.cause))
        return next_step::RouteAgain;
    const auto safe = mayRepeat || attempt.result == outcome::NotRun;
    const auto repeatMayHelp = attempt.cause == reason::ServerRefused
            || attempt.cause == reason::ServerFailed || attempt.cause == reason::AnswerMismatch
            || attempt.cause == reason::HostLost;
    if (safe && repeatMayHelp && spendRetry(budget))
        return next_step::Repeat;
    return next_step::Finish;
}

auto hedgeDelay(duration medianLatency) -> duration
{
    if (medianLatency == 0us)
        return 0us;
    return std::max(minHedgeDelay, medianLatency * hedgeRatio);
}

} // namespace parsleyloft
