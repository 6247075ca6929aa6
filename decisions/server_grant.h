// Grants to one backend server, as tracked by the host that may send to it.
//
// A grant states its end on the server's own clock, computed from an earlier reading of that clock.
// So a grant that arrives late doesn't last longer.
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
    // Rises with each grant sent, so that the server can refuse a grant that arrives after a later
    // one.
    std::uint64_t sequence = 0;
    // True from when the server is considered lost until it answers after all its grants have
    // ended.
    bool lost = false;
    // Invariant: every grant sent to the server, by this host or by the group's holder
    // before it, ends by then on this host's clock.
    instant grantsEndBy{};
};

enum class grant_answer {
    Renewed,
    // The server process has started anew since its last answer.
    Restarted,
    // The server was lost, all its grants have ended, and it answers again.
    Returned,
};

inline constexpr name_table<grant_answer, 3> grantAnswerNames{{
        {grant_answer::Renewed, "renewed"},
        {grant_answer::Restarted, "restarted"},
        {grant_answer::Returned, "returned"},
}};

// Resets the state when this host holds the group under another epoch: grants of the previous
// holder may still run.
auto beginGroupEpoch(server_grant_state &state, const epoch &groupEpoch, const lease_limits &limits,
                     instant now) -> void;

// The end of the next grant on the server's clock, or nothing while there is no clock reading, the
// server is lost, or the lease ended before the reading. Records the grant as sent, under a new
// sequence number.
auto beginNextGrant(server_grant_state &state, instant leaseEnds, const lease_limits &limits)
        -> std::optional<std::int64_t>;

auto recordGrantAnswer(server_grant_state &state, std::int64_t serverClock, start_number start,
                       instant now) -> grant_answer;

// Returns true when the server is considered lost.
auto recordGrantFailure(server_grant_state &state) -> bool;

// True when the server is lost and every grant sent to it has ended.
auto grantsHaveEnded(const server_grant_state &state, instant now) -> bool;

} // namespace parsleyloft
