// The recent requests that may run at most once, by request id, at the host that sends them.
#pragma once

#include "core/identifiers.h"
#include "core/outcome.h"
#include "core/time.h"

#include <deque>
#include <map>
#include <optional>

namespace parsleyloft {

// How long the outcome of a request is kept, from its end, for a caller that repeats it.
inline constexpr duration historyRetention = 60s;

struct history_entry
{
    // Nothing while the request is running.
    std::optional<request_outcome> finalOutcome;
};

struct request_history
{
    // All requests of the group have passed through this host since then.
    instant completeSince{};
    // Invariant: a running request has an entry.
    std::map<request_id, history_entry> entries;
    // Invariant: lists each entry with an outcome once, in the order in which the requests ended.
    std::deque<std::pair<instant, request_id>> ended;
};

// Registers a request. Returns nothing if it is to run, otherwise the outcome to answer at once.
// repeated is true when the caller states that it has sent the request before.
auto beginAtMostOnce(request_history &history, const request_id &id, bool repeated, instant now)
        -> std::optional<request_outcome>;

// Records the outcome of a running request. One that is known not to have run may be sent again.
auto endAtMostOnce(request_history &history, const request_id &id,
                   const request_outcome &finalOutcome, instant now) -> void;

auto dropExpired(request_history &history, instant now) -> void;

} // namespace parsleyloft
