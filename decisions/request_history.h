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

// Since when all requests for the keys of a shard have passed through this host.
struct shard_history
{
    // A shard that another host or server has had in the meantime comes back under a higher epoch.
    epoch grantEpoch;
    instant completeSince{};
};

struct request_history
{
    std::map<shard_index, shard_history> shards;
    // Invariant: a running request has an entry.
    std::map<request_id, history_entry> entries;
    // Invariant: lists each entry with an outcome once, in the order in which the requests ended.
    std::deque<std::pair<instant, request_id>> ended;
};

struct at_most_once_request
{
    request_id id;
    // True when the caller states that it has sent the request before.
    bool repeated = false;
    // The longest time that the caller waited for its first attempt.
    duration maxWait{};
    // Nothing for work without a key.
    std::optional<shard_index> shard;
};

// Records that this host sends the requests for a shard under the epoch from now on, unless it did
// before.
auto recordShard(request_history &history, shard_index shard, const epoch &grantEpoch, instant now)
        -> void;

// Registers a request. Returns nothing if it is to run, otherwise the outcome to answer at once.
auto beginAtMostOnce(request_history &history, const at_most_once_request &request, instant now)
        -> std::optional<request_outcome>;

// Records the outcome of a running request. One that is known not to have run may be sent again.
auto endAtMostOnce(request_history &history, const request_id &id,
                   const request_outcome &finalOutcome, instant now) -> void;

auto dropExpired(request_history &history, instant now) -> void;

} // namespace parsleyloft
