// When a request may be tried again or sent to a second server, and how often.
#include "decisions/retry.h"

#include <algorithm>

namespace parsleyloft {

namespace {

constexpr double tokensPerRequest = 0.1;
constexpr double maxTokens = 20;

// With less time left than this, a repeat would not be answered.
constexpr duration leastTime = 1ms;

// A hedge is sent after this many median latencies.
constexpr int hedgeRatio = 3;
constexpr duration leastHedgeDelay = 2ms;

auto passesOver(reason why) -> bool
{
    switch (why) {
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

auto afterAttempt(const request_outcome &ended, bool mayRepeat, retry_budget &budget,
                  duration remaining) -> next_step
{
    if (ended.result == outcome::Answered || remaining < leastTime)
        return next_step::Finish;
    if (ended.result == outcome::NotRun && passesOver(ended.cause))
        return next_step::RouteAgain;
    const auto safe = mayRepeat || ended.result == outcome::NotRun;
    const auto worthwhile = ended.cause == reason::ServerRefused
            || ended.cause == reason::ServerFailed || ended.cause == reason::AnswerMismatch
            || ended.cause == reason::HostLost;
    if (safe && worthwhile && spendRetry(budget))
        return next_step::Repeat;
    return next_step::Finish;
}

auto hedgeDelay(duration medianLatency) -> duration
{
    if (medianLatency == 0us)
        return 0us;
    return std::max(leastHedgeDelay, medianLatency * hedgeRatio);
}

} // namespace parsleyloft
