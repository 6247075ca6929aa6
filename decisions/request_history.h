// Recent requests that may run at most once, by request id, at the host that sends them.
#pragma once

#include "core/identifiers.h"
#include "core/outcome.h"
#include "core/time.h"

#include <deque>
#include <map>
#include <optional>

namespace parsleyloft {

// How long the end of a request is remembered for a caller that repeats it.
inline constexpr duration historyLength = 60s;

struct history_entry
{
    // Nothing while the request is under way.
    std::optional<request_outcome> ended;
};

struct request_history
{
    // Since when every request of the group passed through this host.
    instant since{};
    std::map<request_id, history_entry> entries;
    std::deque<std::pair<instant, request_id>> byAge;
};

// What to do with a request: run it, or answer with the verdict at once.
// repeated is set when the caller says that it sent the request before.
auto beginOnce(request_history &history, const request_id &id, bool repeated, instant now)
        -> std::optional<request_outcome>;

// Notes the end. One that is known not to have run may be sent again.
auto endOnce(request_history &history, const request_id &id, const request_outcome &ended) -> void;

auto dropOld(request_history &history, instant now) -> void;

} // namespace parsleyloft
