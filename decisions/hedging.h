// Hedging: a second attempt of a request whose first attempt takes longer than most. Decides when
// it is due, whether it is permitted, and what the end of either attempt means for the request.
#pragma once

#include "core/names.h"
#include "core/time.h"
#include "decisions/permit_queue.h"

#include <array>
#include <cstdint>
#include <optional>

namespace parsleyloft {

// Latencies are counted in ranges whose bounds grow by a fixed ratio. The last range is open.
inline constexpr std::size_t latencyRanges = 64;

// The first attempts of one route at one host. The memory does not grow with the traffic.
struct hedged_route
{
    // Latencies by range. Halved at intervals, so that recent ones count more.
    std::array<float, latencyRanges> latencies{};
    float total = 0;
    // Second attempts that the share allows now. Invariant: from 0 to the largest burst.
    double credit = 0;
};

// Adds the share of one first send to the credit.
auto recordHedgeableSend(hedged_route &route, double percent) -> void;

// Records how long a first attempt took. A cancelled one counts with the time until then.
auto recordHedgeableLatency(hedged_route &route, duration latency) -> void;

// The latency that this share of the route's attempts does not exceed, rounded up to the bound of a
// range. Empty while too few are known.
auto latencyQuantile(const hedged_route &route, double share) -> std::optional<duration>;

// How long after a first send the second attempt is due. As many attempts as the percentage allows
// take longer, but it is never a time that many usual ones exceed.
auto hedgeDelay(const hedged_route &route, double percent) -> std::optional<duration>;

// Why a second attempt is not made.
enum class hedge_denial : std::uint8_t {
    None,
    // The share of hedging.percent is used up.
    ShareSpent,
    // The repeat budget of the service is used up.
    BudgetSpent,
    // The route allows no further attempt.
    NoAttemptsLeft,
    // The attempt would hardly end before the deadline.
    NoTimeLeft,
    // The group has requests waiting, or no free slot.
    GroupBusy,
    // There is no other server.
    NoServer,
    // This host stops.
    Stopping,
};

inline constexpr name_table<hedge_denial, 8> hedgeDenialNames{{
        {hedge_denial::None, "none"},
        {hedge_denial::ShareSpent, "share_spent"},
        {hedge_denial::BudgetSpent, "budget_spent"},
        {hedge_denial::NoAttemptsLeft, "no_attempts_left"},
        {hedge_denial::NoTimeLeft, "no_time_left"},
        {hedge_denial::GroupBusy, "group_busy"},
        {hedge_denial::NoServer, "no_server"},
        {hedge_denial::Stopping, "stopping"},
}};

// A request whose second attempt is due.
struct hedge_request
{
    // Sends before and including the running one.
    std::uint32_t sends = 0;
    std::uint32_t maxAttempts = 1;
    duration remaining = 0us;
    // No attempt is made when less time than this remains.
    duration minTime = 0us;
    bool stopping = false;
};

// Decides before a permit is requested.
auto checkHedge(const hedged_route &route, const hedge_request &request) -> hedge_denial;

// Takes one second attempt from the share. Returns false when none is left.
auto takeHedge(hedged_route &route) -> bool;

// Gives back an attempt that was taken and not made.
auto returnHedge(hedged_route &route) -> void;

// The denial that follows from a queue host's refusal of the permit.
auto denialOfRefusal(refusal reason) -> hedge_denial;

enum class hedge_phase : std::uint8_t {
    // The second attempt is not due yet.
    Planned,
    // A permit for it is being requested.
    Requested,
    // Both attempts run.
    BothRun,
    // One attempt failed, the other runs.
    OneRuns,
    // The request goes on without a second attempt, or one of the two has answered it.
    Settled,
};

inline constexpr name_table<hedge_phase, 5> hedgePhaseNames{{
        {hedge_phase::Planned, "planned"},
        {hedge_phase::Requested, "requested"},
        {hedge_phase::BothRun, "both_run"},
        {hedge_phase::OneRuns, "one_runs"},
        {hedge_phase::Settled, "settled"},
}};

// Invariant: the second attempt is sent at most once, and only from Requested.
struct hedge_progress
{
    hedge_phase phase = hedge_phase::Planned;
    // True once an answer has settled the request.
    bool answered = false;
};

enum class hedge_step : std::uint8_t {
    // The result decides about the request, whose other attempt has ended or must be cancelled.
    Proceed,
    // The other attempt may still answer the request.
    Await,
    // The request has been decided without this attempt.
    Drop,
};

inline constexpr name_table<hedge_step, 3> hedgeStepNames{{
        {hedge_step::Proceed, "proceed"},
        {hedge_step::Await, "await_other_attempt"},
        {hedge_step::Drop, "drop"},
}};

// How a second attempt ended.
enum class hedge_result : std::uint8_t {
    // Its answer was sent to the caller.
    Won,
    // The first attempt was answered before it, or the caller had gone.
    Cancelled,
    // It ended without an answer.
    Failed,
};

inline constexpr name_table<hedge_result, 3> hedgeResultNames{{
        {hedge_result::Won, "won"},
        {hedge_result::Cancelled, "cancelled"},
        {hedge_result::Failed, "failed"},
}};

// Each returns false when the request has been settled.
auto startHedgeRequest(hedge_progress &progress) -> bool;
auto startSecondAttempt(hedge_progress &progress) -> bool;

// The end of one attempt. An answer decides at once, a failure only when the other does not run.
// Attempts that follow two failures always decide.
auto endHedgeAttempt(hedge_progress &progress, bool answered) -> hedge_step;

} // namespace parsleyloft
