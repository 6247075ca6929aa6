// Grants to one backend server, as tracked by the host that may send to it.
#include "decisions/server_grant.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// After this many failed grants in a row, the server is considered lost.
constexpr std::uint32_t failuresUntilLost = 3;

} // namespace

auto beginGroupEpoch(server_grant_state &state, const epoch &groupEpoch, const lease_limits &limits,
                     instant now) -> void
{
    if (state.groupEpoch == groupEpoch)
        return;
    state = {};
    state.groupEpoch = groupEpoch;
    state.grantsEndBy = now + lengthenedForDrift(limits.grant, limits);
}

auto beginNextGrant(server_grant_state &state, instant leaseEnds, const lease_limits &limits)
        -> std::optional<std::int64_t>
{
    if (!state.clockKnown || state.lost)
        return std::nullopt;
    const auto remaining = leaseEnds - state.clockReadAt;
    if (remaining <= duration::zero())
        return std::nullopt;
    ++state.sequence;
    state.grantsEndBy = std::max(state.grantsEndBy, leaseEnds);
    return state.serverClock + shortenedForDrift(remaining, limits).count();
}

auto recordGrantAnswer(server_grant_state &state, std::int64_t serverClock, start_number start,
                       instant now) -> grant_answer
{
    const auto restarted = state.clockKnown && state.start != start;
    const auto returned = state.lost;
    state.serverClock = serverClock;
    state.clockReadAt = now;
    state.clockKnown = true;
    state.start = start;
    state.failures = 0;
    if (returned && now < state.grantsEndBy)
        return grant_answer::Renewed;
    state.lost = false;
    if (returned)
        return grant_answer::Returned;
    return restarted ? grant_answer::Restarted : grant_answer::Renewed;
}

auto recordGrantFailure(server_grant_state &state) -> bool
{
    ++state.failures;
    state.lost = state.lost || state.failures >= failuresUntilLost;
    return state.lost;
}

auto grantsHaveEnded(const server_grant_state &state, instant now) -> bool
{
    return state.lost && now >= state.grantsEndBy;
}

} // namespace parsleyloft
