// Grants to one backend server, as the host that may send to it keeps them.
//
// A grant names its end on the server's own clock, counted from a reading that the server
// gave earlier. So a grant that arrives late doesn't last longer.
#pragma once

#include "core/identifiers.h"
#include "core/limits.h"
#include "core/names.h"

#include <optional>

namespace parsleyloft {

struct server_grant_state
{
    // The epoch of the group under which this host grants.
    epoch groupEpoch;
    // The server's clock at its last answer, and when the answer came.
    std::int64_t serverClock = 0;
    instant clockReadAt{};
    bool clockKnown = false;
    start_number start = 0;
    std::uint32_t failures = 0;
    // Rises with each grant sent, so that the server can refuse one that was overtaken.
    std::uint64_t sequence = 0;
    // True from the loss of the server until it answers after all its grants have ended.
    bool lost = false;
    // Invariant: every grant sent to the server, by this host or by the group's holder
    // before it, ends by then on this host's clock.
    instant grantsEndBy{};
};

enum class grant_answer { Renewed, Restarted, Returned };

inline constexpr name_table<grant_answer, 3> grantAnswerNames{{
        {grant_answer::Renewed, "renewed"},
        {grant_answer::Restarted, "restarted"},
        {grant_answer::Returned, "returned"},
}};

// Starts over when the group was given to this host anew: the grants of the holder before
// it may still run.
auto beginGroupEpoch(server_grant_state &state, const epoch &groupEpoch, const lease_limits &limits,
                     instant now) -> void;

// The end of the next grant on the server's clock, or nothing while no clock reading is
// known or the server is lost. Notes that the grant will be sent, under a new sequence.
auto beginNextGrant(server_grant_state &state, instant leaseEnds, const lease_limits &limits)
        -> std::optional<std::int64_t>;

auto recordGrantAnswer(server_grant_state &state, std::int64_t serverClock, start_number start,
                       instant now) -> grant_answer;

// Returns true when the server is now taken for lost.
auto recordGrantFailure(server_grant_state &state) -> bool;

// True when the server is lost and can't hold a grant of this host any more.
auto grantsHaveEnded(const server_grant_state &state, instant now) -> bool;

} // namespace parsleyloft
