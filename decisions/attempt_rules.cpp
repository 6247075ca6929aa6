// What an exchange with a backend server means, and what may follow it.
#include "decisions/attempt_rules.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// Permits that were given for servers that could not be reached, before giving up.
constexpr std::uint32_t mostUnsent = 4;
constexpr duration leastRetryAfter = 50ms;
constexpr duration mostRetryAfter = 400ms;
constexpr int callerShareDivisor = 3;

auto endedUnrun(permit_result ended) -> bool
{
    return ended == permit_result::Shed || ended == permit_result::Misdirected
            || ended == permit_result::Unreachable || ended == permit_result::Unused;
}

} // namespace

auto classifyAttempt(const attempt_report &report) -> permit_result
{
    using ends = attempt_report::transport_result;
    switch (report.transport) {
    case ends::NotSent:
        return permit_result::Unreachable;
    case ends::Lost:
        return permit_result::Lost;
    case ends::TimedOut:
        return permit_result::TimedOut;
    case ends::Cancelled:
        return permit_result::Lost;
    case ends::Answered:
        break;
    }
    if (report.status == 421)
        return permit_result::Misdirected;
    if (report.notExecuted)
        return report.otherServer ? permit_result::Misdirected : permit_result::Shed;
    // A success without the server's mark may be anybody's answer.
    if (report.status < 300)
        return report.hasServerStamp ? permit_result::Answered : permit_result::Lost;
    return report.status >= 500 ? permit_result::Failed : permit_result::Answered;
}

auto recordAttempt(attempt_history &history, permit_result ended) -> void
{
    history.lastResult = ended;
    if (ended == permit_result::Unreachable || ended == permit_result::Unused) {
        ++history.unsentPermits;
        return;
    }
    ++history.sends;
    history.mayHaveRun = history.mayHaveRun || !endedUnrun(ended);
}

auto finalAction(const attempt_history &history) -> attempt_action
{
    if (history.lastResult == permit_result::Answered
        || history.lastResult == permit_result::Failed)
        return attempt_action::Respond;
    return history.mayHaveRun ? attempt_action::Fail : attempt_action::Refuse;
}

auto nextAction(const attempt_history &history, const attempt_limits &limits, duration remaining)
        -> attempt_action
{
    if (history.lastResult == permit_result::Answered)
        return attempt_action::Respond;
    const auto mayRepeat = limits.kind == repeatability::Idempotent || !history.mayHaveRun;
    const auto attemptsLeft =
            history.sends < limits.maxAttempts && history.unsentPermits < mostUnsent;
    if (mayRepeat && attemptsLeft && remaining > limits.leastTime)
        return attempt_action::Retry;
    return finalAction(history);
}

auto retryAfter(duration expectedWait, duration remaining, std::uint64_t seed) -> duration
{
    const auto wanted = std::clamp(expectedWait, leastRetryAfter, mostRetryAfter);
    constexpr std::uint64_t steps = 1000;
    const auto spread =
            wanted * static_cast<std::int64_t>(seed % steps) / static_cast<std::int64_t>(steps);
    const auto most = std::max(remaining / callerShareDivisor, duration(0));
    return std::min(wanted + spread, most);
}

} // namespace parsleyloft
