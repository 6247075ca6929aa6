// Grants to one backend server, as the host that may send to it keeps them.
#include "decisions/server_grant.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// Grants that fail one after the other until the server is taken for lost.
constexpr std::uint32_t failuresUntilLost = 3;

} // namespace

auto takeOverGrants(server_grant_state &state, const epoch &groupEpoch, const lease_limits &limits,
                    instant now) -> void
{
    if (state.groupEpoch == groupEpoch)
        return;
    state = {};
    state.groupEpoch = groupEpoch;
    state.endsBy = now + lengthenedForDrift(limits.grant, limits);
}

auto nextGrantEnd(server_grant_state &state, instant leaseEnds, const lease_limits &limits)
        -> std::optional<std::int64_t>
{
    if (!state.clockKnown || state.lost)
        return std::nullopt;
    const auto left = leaseEnds - state.readAt;
    if (left <= duration::zero())
        return std::nullopt;
    ++state.sequence;
    state.endsBy = std::max(state.endsBy, leaseEnds);
    return state.serverClock + shortenedForDrift(left, limits).count();
}

auto noteGrantAnswer(server_grant_state &state, std::int64_t serverClock, start_number start,
                     instant now) -> grant_answer
{
    const auto restarted = state.clockKnown && state.start != start;
    const auto returned = state.lost;
    state.serverClock = serverClock;
    state.readAt = now;
    state.clockKnown = true;
    state.start = start;
    state.failures = 0;
    if (returned && now < state.endsBy)
        return grant_answer::Renewed;
    state.lost = false;
    if (returned)
        return grant_answer::Returned;
    return restarted ? grant_answer::Restarted : grant_answer::Renewed;
}

auto noteGrantFailure(server_grant_state &state) -> bool
{
    ++state.failures;
    state.lost = state.lost || state.failures >= failuresUntilLost;
    return state.lost;
}

auto grantsHaveEnded(const server_grant_state &state, instant now) -> bool
{
    return state.lost && now >= state.endsBy;
}

} // namespace parsleyloft
