// What an exchange with a backend server means, and what may follow it.
#pragma once

#include "core/site.h"
#include "decisions/permit_queue.h"

namespace parsleyloft {

// What came back from a server, as far as the rules need to know.
struct attempt_report
{
    enum class transport_result : std::uint8_t {
        Answered,
        // Nothing was sent.
        NotSent,
        Lost,
        TimedOut,
        Cancelled,
    };

    transport_result transport = transport_result::Answered;
    unsigned status = 0;
    // The server's word that it did not and will not run the request.
    bool notExecuted = false;
    // The answer bears the server's mark.
    bool hasServerStamp = false;
    // The answer came from another server than the expected one.
    bool otherServer = false;
};

inline constexpr name_table<attempt_report::transport_result, 5> transportResultNames{{
        {attempt_report::transport_result::Answered, "answered"},
        {attempt_report::transport_result::NotSent, "not_sent"},
        {attempt_report::transport_result::Lost, "lost"},
        {attempt_report::transport_result::TimedOut, "timed_out"},
        {attempt_report::transport_result::Cancelled, "cancelled"},
}};

auto classifyAttempt(const attempt_report &report) -> permit_result;

// What is known of a request that is still without an answer.
struct attempt_history
{
    // Sends that arrived or may have arrived at a server, and the failed ones among them
    // that may have run.
    std::uint32_t sends = 0;
    bool mayHaveRun = false;
    // Permits that ended without a send.
    std::uint32_t unsentPermits = 0;
    permit_result lastResult = permit_result::Unused;
};

auto recordAttempt(attempt_history &history, permit_result ended) -> void;

enum class attempt_action : std::uint8_t {
    // The server's answer goes to the caller as it is.
    Respond,
    // The request may be sent to another server.
    Retry,
    // The caller is told that the request has not run.
    Refuse,
    // The caller is told that the outcome is not known.
    Fail,
};

inline constexpr name_table<attempt_action, 4> attemptActionNames{{
        {attempt_action::Respond, "respond"},
        {attempt_action::Retry, "try_again"},
        {attempt_action::Refuse, "refuse"},
        {attempt_action::Fail, "fail"},
}};

struct attempt_limits
{
    repeatability kind = repeatability::AtMostOnce;
    std::uint32_t maxAttempts = 1;
    // The least time in which another attempt is worth while.
    duration leastTime = 0us;
};

// The move after an attempt, before the budget for repeats is asked.
auto nextAction(const attempt_history &history, const attempt_limits &limits, duration remaining)
        -> attempt_action;

// How a request ends that gets no further attempt.
auto finalAction(const attempt_history &history) -> attempt_action;

// When a refused caller may come back: after the expected wait, spread so that callers who
// were refused together don't return together. At most a third of its time.
auto retryAfter(duration expectedWait, duration remaining, std::uint64_t seed) -> duration;

} // namespace parsleyloft
